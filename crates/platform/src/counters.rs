//! Counters of calls to the platform, by kind and by failure.

use std::cell::Cell;

use serde::Serialize;

use crate::store::Failure;

/// Kind of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Read,
    /// Reads all objects of a kind.
    List,
    /// Writes one object.
    Write,
    /// Waits for changes.
    Watch,
    /// Reads the list of instances.
    Instances,
}

/// Numbers of calls since the client was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Reads of one object.
    pub reads: u64,
    /// Reads of all objects of a kind.
    pub lists: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Writes whose expected version didn't match.
    pub conflicts: u64,
    /// Calls that were refused or couldn't be sent.
    pub unavailable: u64,
    /// Calls whose reply was lost.
    pub lost: u64,
    /// Calls whose reply was malformed.
    pub malformed: u64,
    /// Calls whose reply was from before the store was restored from an older copy.
    pub restored: u64,
}

/// Counts calls and their failures.
#[derive(Debug, Default)]
pub struct Meter(Cell<Counters>);

impl Meter {
    /// Returns the current counts.
    pub fn read(&self) -> Counters {
        self.0.get()
    }

    /// Counts a call.
    pub fn record_call(&self, call: Call) {
        let mut counters = self.0.get();
        match call {
            Call::Read => counters.reads += 1,
            Call::List => counters.lists += 1,
            Call::Write => counters.writes += 1,
            Call::Watch => counters.watches += 1,
            Call::Instances => counters.instances += 1,
        }
        self.0.set(counters);
    }

    /// Counts the failure of a call.
    pub fn record_failure(&self, failure: Failure) {
        let mut counters = self.0.get();
        match failure {
            Failure::Conflict { .. } => counters.conflicts += 1,
            Failure::Unavailable => counters.unavailable += 1,
            Failure::Lost => counters.lost += 1,
            Failure::Malformed => counters.malformed += 1,
            Failure::Restored => counters.restored += 1,
            Failure::Invalid | Failure::Oversized | Failure::Compacted => {}
        }
        self.0.set(counters);
    }
}

//! Counts of calls by kind, and the limits on their rates.

use std::time::{
    Duration,
    Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Span over which rates are limited and averaged.
const WINDOW: Duration = Duration::from_secs(1);

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// One object is read.
    Read,
    /// One object is written or deleted.
    Write,
    /// A kind is listed.
    List,
    /// A watch waits.
    Watch,
    /// The instance list is read.
    Instances,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of one object.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Listings of a kind.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Calls refused by a rate limit or an outage.
    pub refused: u64,
    /// All calls of the last whole second.
    pub per_second: u64,
    /// Highest count of any whole second.
    pub per_second_peak: u64,
}

impl Calls {
    /// Returns the calls since `before`; the rates stay as they are.
    pub fn since(self, before: &Self) -> Self {
        Self {
            reads: self.reads - before.reads,
            writes: self.writes - before.writes,
            lists: self.lists - before.lists,
            watches: self.watches - before.watches,
            instances: self.instances - before.instances,
            refused: self.refused - before.refused,
            ..self
        }
    }
}

/// Counts calls and refuses those over the limits.
#[derive(Debug)]
pub struct Meter {
    calls: Calls,
    reads_max: u32,
    writes_max: u32,
    window: Instant,
    reads: u32,
    writes: u32,
}

impl Meter {
    /// Makes a meter with limits in calls a second.
    pub fn new(reads_max: u32, writes_max: u32) -> Self {
        Self {
            calls: Calls::default(),
            reads_max,
            writes_max,
            window: Instant::now(),
            reads: 0,
            writes: 0,
        }
    }

    /// Counts a call; returns whether it is within the limit.
    pub fn admit(&mut self, kind: Kind) -> bool {
        self.turn();
        let counter = match kind {
            Kind::Read => &mut self.calls.reads,
            Kind::Write => &mut self.calls.writes,
            Kind::List => &mut self.calls.lists,
            Kind::Watch => &mut self.calls.watches,
            Kind::Instances => &mut self.calls.instances,
        };
        *counter += 1;
        let (used, bound) = match kind {
            Kind::Write => (&mut self.writes, self.writes_max),
            _ => (&mut self.reads, self.reads_max),
        };
        *used += 1;
        *used <= bound
    }

    /// Counts a refused call.
    pub fn refuse(&mut self) {
        self.calls.refused += 1;
    }

    /// Returns the counts.
    pub fn calls(&mut self) -> Calls {
        self.turn();
        self.calls
    }

    fn turn(&mut self) {
        let elapsed = self.window.elapsed();
        if elapsed < WINDOW {
            return;
        }
        let count = u64::from(self.reads) + u64::from(self.writes);
        self.calls.per_second = if elapsed < 2 * WINDOW { count } else { 0 };
        self.calls.per_second_peak = self.calls.per_second_peak.max(count);
        self.window = Instant::now();
        self.reads = 0;
        self.writes = 0;
    }
}

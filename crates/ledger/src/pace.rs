//! A bound on the writes a second to one partition.
//!
//! The bound is on the partition, not on the instance: the writes of all partitions together stay
//! within what the platform takes, however many instances and calls there are. Changes that arrive
//! during the wait go together into the next write.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

/// Time after which a partition may be written once more.
const INTERVAL: Duration = Duration::from_millis(200);
/// Writes that may follow each other without a wait.
const BURST: u32 = 10;

/// Writes that are allowed now.
#[derive(Debug)]
pub(crate) struct Pace {
    /// Time from which on the whole burst is allowed again.
    full_at: Cell<Option<Instant>>,
}

impl Pace {
    pub(crate) fn new() -> Self {
        Self {
            full_at: Cell::new(None),
        }
    }

    /// Returns the time to wait before the next write.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let owed = self.owed(now);
        owed.saturating_sub(INTERVAL * (BURST - 1))
    }

    /// Counts a write.
    pub(crate) fn spend(&self, now: Instant) {
        let owed = self.owed(now) + INTERVAL;
        self.full_at.set(Some(now + owed));
    }

    fn owed(&self, now: Instant) -> Duration {
        let full_at = self.full_at.get();
        full_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }
}

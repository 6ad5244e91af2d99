//! A limit on the rate of writes to one partition.
//!
//! The limit is per partition and not per instance, so that the writes of all partitions together
//! stay within the platform's capacity, however many instances and calls there are. Changes that
//! arrive during the wait are combined in the next write.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

/// Interval at which one more write is allowed.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of consecutive writes that are allowed without a wait.
const BURST_WRITES: u32 = 10;

/// Limits writes to one per [`WRITE_INTERVAL`], with bursts of up to [`BURST_WRITES`].
#[derive(Debug)]
pub(crate) struct RateLimiter {
    /// Time at which a full burst is allowed again.
    full_at: Cell<Option<Instant>>,
}

impl RateLimiter {
    pub(crate) fn new() -> Self {
        Self {
            full_at: Cell::new(None),
        }
    }

    /// Returns the time to wait before the next write.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let time_to_full = self.time_to_full(now);
        time_to_full.saturating_sub(WRITE_INTERVAL * (BURST_WRITES - 1))
    }

    /// Records a write.
    pub(crate) fn record_write(&self, now: Instant) {
        let time_to_full = self.time_to_full(now) + WRITE_INTERVAL;
        self.full_at.set(Some(now + time_to_full));
    }

    fn time_to_full(&self, now: Instant) -> Duration {
        let full_at = self.full_at.get();
        full_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }
}

//! Counts calls by kind and limits their rates.

use std::time::{
    Duration,
    Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Fixed window over which calls are counted for the rates and their limits.
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
    /// A watch waits for changes.
    Watch,
    /// The instance list is read.
    Instances,
}

/// Counts since the start of the process.
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
    /// Calls of any kind in the last complete window of one second.
    pub per_second: u64,
    /// Highest value of `per_second` so far.
    pub per_second_peak: u64,
}

impl Calls {
    /// Returns the counts since `before`; the rates are not subtracted.
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

/// Counts calls and applies the rate limits.
#[derive(Debug)]
pub struct RateLimiter {
    calls: Calls,
    reads_max: u32,
    writes_max: u32,
    window_started_at: Instant,
    window_reads: u32,
    window_writes: u32,
}

impl RateLimiter {
    /// Makes a rate limiter with limits in calls per second.
    pub fn new(reads_max: u32, writes_max: u32) -> Self {
        Self {
            calls: Calls::default(),
            reads_max,
            writes_max,
            window_started_at: Instant::now(),
            window_reads: 0,
            window_writes: 0,
        }
    }

    /// Counts a call and returns whether it is within the limit of its kind.
    pub fn admit(&mut self, kind: Kind) -> bool {
        self.roll_window();
        let counter = match kind {
            Kind::Read => &mut self.calls.reads,
            Kind::Write => &mut self.calls.writes,
            Kind::List => &mut self.calls.lists,
            Kind::Watch => &mut self.calls.watches,
            Kind::Instances => &mut self.calls.instances,
        };
        *counter += 1;
        let (used, limit) = match kind {
            Kind::Write => (&mut self.window_writes, self.writes_max),
            _ => (&mut self.window_reads, self.reads_max),
        };
        *used += 1;
        *used <= limit
    }

    /// Counts a refused call.
    pub fn refuse(&mut self) {
        self.calls.refused += 1;
    }

    /// Returns the counts and rates.
    pub fn calls(&mut self) -> Calls {
        self.roll_window();
        self.calls
    }

    fn roll_window(&mut self) {
        let elapsed = self.window_started_at.elapsed();
        if elapsed < WINDOW {
            return;
        }
        let count = u64::from(self.window_reads) + u64::from(self.window_writes);
        self.calls.per_second = if elapsed < 2 * WINDOW { count } else { 0 };
        self.calls.per_second_peak = self.calls.per_second_peak.max(count);
        self.window_started_at = Instant::now();
        self.window_reads = 0;
        self.window_writes = 0;
    }
}

//! How many sub-requests a server may have in flight: of its slots, where one instance knows them all, and by its latency, where
//! many instances share it.

use std::time::{
    Duration,
    Instant, //
};

/// Share of its slots that a server gets at the beginning of slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// Time after a shed in which further sheds don't halve the slots again.
const SHED_INTERVAL: Duration = Duration::from_millis(100);
/// Replies after which one more slot may be used.
const REPLIES_PER_SLOT: f64 = 20.0;

/// The usable slots of one server.
#[derive(Debug, Clone)]
pub struct Limit {
    max_slots: f64,
    allowed: f64,
    slow_start: Duration,
    started_at: Option<Instant>,
    shed_at: Option<Instant>,
}

impl Limit {
    /// Makes the limit of a server that isn't warming up and of which `slots` may be used.
    pub fn new(slots: usize) -> Self {
        Self {
            max_slots: slots as f64,
            allowed: slots as f64,
            slow_start: Duration::ZERO,
            started_at: None,
            shed_at: None,
        }
    }

    /// Sets the maximum number of slots that may be used.
    pub fn set_max_slots(&mut self, slots: usize) {
        let slots = slots as f64;
        if slots > self.max_slots && self.allowed >= self.max_slots {
            self.allowed = slots;
        }
        self.allowed = self.allowed.min(slots);
        self.max_slots = slots;
    }

    /// Begins slow start at `now`, for a server that is warming up.
    pub fn begin_slow_start(&mut self, now: Instant, slow_start: Duration) {
        self.started_at = Some(now);
        self.slow_start = slow_start;
    }

    /// Records that the server shed load, which halves its slots.
    pub fn record_shed(&mut self, now: Instant) {
        let recent = self
            .shed_at
            .is_some_and(|at| now.saturating_duration_since(at) < SHED_INTERVAL);
        if recent {
            return;
        }
        self.shed_at = Some(now);
        self.allowed = (self.allowed / 2.0).max(1.0);
    }

    /// Records a reply; after several replies one more slot may be used.
    pub fn record_reply(&mut self) {
        self.allowed = (self.allowed + 1.0 / REPLIES_PER_SLOT).min(self.max_slots);
    }

    /// Returns the share of its slots that the server gets at `now`: 1 after slow start, less during it.
    pub fn slow_start_share(&self, now: Instant) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_duration_since(started_at);
        if age >= self.slow_start {
            return 1.0;
        }
        let progress = age.as_secs_f64() / self.slow_start.as_secs_f64();
        MIN_SLOW_START_SHARE + (1.0 - MIN_SLOW_START_SHARE) * progress
    }

    /// Returns the number of slots that may be used at `now`, at least one.
    pub fn usable(&self, now: Instant) -> usize {
        let slow_start_limit = (self.max_slots * self.slow_start_share(now)).ceil();
        // Rounding may leave the sum of fractions of a slot just below a whole number.
        ((self.allowed + 1e-6).floor().min(slow_start_limit) as usize).max(1)
    }
}

/// Share of the latency objective that a server may take for a sub-request, its own queue included. The rest is left for the
/// wait at the instance, and for a hedge or a retry.
const LATENCY_SHARE: f64 = 0.35;
/// Replies in time, each while all of the window was in use, after which one more sub-request may be in flight.
const REPLIES_PER_STEP: f64 = 20.0;
/// Time after a late reply in which further ones don't halve the window again: they were in the server's queue together.
const LATE_INTERVAL: Duration = Duration::from_millis(100);

/// Returns whether a reply has taken so long that fewer sub-requests should be in flight at its server.
pub fn is_late(latency: Duration, objective: Duration) -> bool {
    latency > objective.mul_f64(LATENCY_SHARE)
}

/// How many sub-requests one instance may have in flight at one server.
///
/// A server accepts a sub-request on each connection of each instance and serves a few at a time. If queries arrive faster than
/// it serves them, all connections are in use, and a sub-request waits in the server's queue for longer than its query has
/// time. The instances see no queue of their own, admit the next query, and nearly all become late. With few in flight,
/// sub-requests wait at the instances, which serve the urgent ones first and refuse what would be late.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    allowed: f64,
    late_at: Option<Instant>,
}

impl Default for Window {
    /// Returns a window that only the connections limit, as nothing is known of the server yet.
    fn default() -> Self {
        Self {
            allowed: f64::INFINITY,
            late_at: None,
        }
    }
}

impl Window {
    /// Returns the number of sub-requests that may be in flight on at most `connections`.
    pub fn usable(&self, connections: usize) -> usize {
        connections.min(self.allowed as usize)
    }

    /// Records a late reply, which halves the window of at most `connections`.
    pub fn record_late(&mut self, now: Instant, connections: usize) {
        let since = self.late_at.map(|at| now.saturating_duration_since(at));
        if since.is_none_or(|since| since >= LATE_INTERVAL) {
            self.late_at = Some(now);
            self.allowed = (self.allowed.min(connections as f64) / 2.0).max(1.0);
        }
    }

    /// Records a reply in time that arrived while all of the window of at most `connections` was in use.
    pub fn record_in_time(&mut self, connections: usize) {
        if self.allowed < connections as f64 {
            self.allowed += 1.0 / REPLIES_PER_STEP;
        }
    }
}

//! How many of a server's slots may be used: slow start, and fewer slots after the server sheds load.

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

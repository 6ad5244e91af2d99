//! How many of a server's slots are used: slow start, and less after it shed.

use std::time::{
    Duration,
    Instant, //
};

/// Share of its usual work that a server gets when it starts.
const WARMTH_MIN: f64 = 0.1;
/// Sheds within this time count as one.
const SHED_INTERVAL: Duration = Duration::from_millis(100);
/// Answers that earn one slot back.
const ANSWERS_PER_SLOT: f64 = 20.0;

/// The usable slots of one server.
#[derive(Debug, Clone)]
pub struct Ramp {
    slots: f64,
    allowed: f64,
    slow_start: Duration,
    started: Option<Instant>,
    shed: Option<Instant>,
}

impl Ramp {
    /// Makes the ramp of a warm server of which `slots` may be used.
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots as f64,
            allowed: slots as f64,
            slow_start: Duration::ZERO,
            started: None,
            shed: None,
        }
    }

    /// Sets the slots that may be used at most.
    pub fn set_slots(&mut self, slots: usize) {
        let slots = slots as f64;
        if slots > self.slots && self.allowed >= self.slots {
            self.allowed = slots;
        }
        self.allowed = self.allowed.min(slots);
        self.slots = slots;
    }

    /// Starts over with a cold server.
    pub fn restart(&mut self, now: Instant, slow_start: Duration) {
        self.started = Some(now);
        self.slow_start = slow_start;
    }

    /// Notes that the server shed work: its slots are halved.
    pub fn shed(&mut self, now: Instant) {
        let recent = self
            .shed
            .is_some_and(|at| now.saturating_duration_since(at) < SHED_INTERVAL);
        if recent {
            return;
        }
        self.shed = Some(now);
        self.allowed = (self.allowed / 2.0).max(1.0);
    }

    /// Notes that the server answered: a slot comes back after some answers.
    pub fn answered(&mut self) {
        self.allowed = (self.allowed + 1.0 / ANSWERS_PER_SLOT).min(self.slots);
    }

    /// Returns the share of its usual work that the server gets now, above 0 and up to 1.
    pub fn warmth(&self, now: Instant) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = now.saturating_duration_since(started);
        if age >= self.slow_start {
            return 1.0;
        }
        let done = age.as_secs_f64() / self.slow_start.as_secs_f64();
        WARMTH_MIN + (1.0 - WARMTH_MIN) * done
    }

    /// Returns the slots that may be used now, at least one.
    pub fn usable(&self, now: Instant) -> usize {
        let cold = (self.slots * self.warmth(now)).ceil();
        // The sum of fractions of a slot may end just below the whole.
        ((self.allowed + 1e-6).floor().min(cold) as usize).max(1)
    }
}

//! Slowness of a server: its latency as a multiple of the baseline latency of the requests that it served.
//!
//! Servers pause for a moment, each at its own time, while a few are slow for seconds. A pause must not
//! cost a server its traffic, and a slow server must lose it after a few replies.

use std::time::{
    Duration,
    Instant, //
};

/// Number of latest replies considered; a pause slows one or two of them, which the median ignores.
const SAMPLES: usize = 5;
/// Time without replies in which the slowness moves half of the way to 1, so that a slow server is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Maximum slowness; higher values are recorded as this one.
const MAX_SLOWNESS: f64 = 50.0;

/// Slowness of the latest replies of one server.
#[derive(Debug, Clone, Default)]
pub struct Tracker {
    samples: [f64; SAMPLES],
    count: usize,
    next: usize,
    recorded_at: Option<Instant>,
}

impl Tracker {
    /// Records the slowness of a reply received at `now`.
    pub fn record(&mut self, now: Instant, slowness: f64) {
        self.samples[self.next] = slowness.clamp(0.0, MAX_SLOWNESS);
        self.next = (self.next + 1) % SAMPLES;
        self.count = (self.count + 1).min(SAMPLES);
        self.recorded_at = Some(now);
    }

    /// Returns the median slowness, decayed towards 1 by the time since the last reply; 1 before the first.
    pub fn current(&self, now: Instant) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return 1.0;
        };
        let mut samples = self.samples;
        let recorded = &mut samples[..self.count];
        recorded.sort_by(f64::total_cmp);
        // The lower median of an even number of samples: a single slow reply is weak evidence.
        let median = recorded[(self.count - 1) / 2];
        let age = now.saturating_duration_since(recorded_at).as_secs_f64();
        let weight = (-age / HALF_LIFE.as_secs_f64()).exp2();
        1.0 + weight * (median - 1.0)
    }
}

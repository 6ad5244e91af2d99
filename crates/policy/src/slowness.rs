//! How slow a server is against what is usual for the work that it was given.
//!
//! Load pattern: servers pause for a moment, each at its own time, while a few are slow for seconds.
//! A pause must not cost a server its traffic, and a slow server must lose it after a few answers.

use std::time::{
    Duration,
    Instant, //
};

/// Answers that are looked at; a pause spoils one or two of them.
const SAMPLES: usize = 5;
/// Time in which half of what is known of a quiet server is forgotten, so that it's tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Slowness above which no further difference is made.
const MOST: f64 = 50.0;

/// The latest answers of one server, as multiples of the usual latency.
#[derive(Debug, Clone, Default)]
pub struct Recent {
    samples: [f64; SAMPLES],
    count: usize,
    next: usize,
    at: Option<Instant>,
}

impl Recent {
    /// Records that the server took `multiple` of the usual time, as seen at `now`.
    pub fn record(&mut self, now: Instant, multiple: f64) {
        self.samples[self.next] = multiple.clamp(0.0, MOST);
        self.next = (self.next + 1) % SAMPLES;
        self.count = (self.count + 1).min(SAMPLES);
        self.at = Some(now);
    }

    /// Returns the multiple of the usual time that the server takes; 1 where nothing is known.
    pub fn get(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 1.0 };
        let mut samples = self.samples;
        let known = &mut samples[..self.count];
        known.sort_by(f64::total_cmp);
        // Of an even number the lower one: a single slow answer says little.
        let median = known[(self.count - 1) / 2];
        let age = now.saturating_duration_since(at).as_secs_f64();
        let kept = (-age / HALF_LIFE.as_secs_f64()).exp2();
        1.0 + kept * (median - 1.0)
    }
}

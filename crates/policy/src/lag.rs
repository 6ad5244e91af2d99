//! How much longer an answer of another instance takes than the work on it.
//!
//! Load pattern: instances with a tenth of a core pass their queries on. The way there and back is short,
//! but each wake-up waits for its share of the processor, and an answer that leaves the peer at the last
//! moment comes too late. What the hops took until now tells how much earlier it must leave.

use std::time::Duration;

/// Weight of the latest hop in the mean, and in the mean deviation, as in RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Mean deviations above the mean within which most hops stay. RFC 6298 takes four, for a timer that must
/// hardly ever fire early; here each one costs every query some of its time.
const DEVIATIONS: f64 = 1.0;

/// What hops took beyond the work at their other end.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    mean: f64,
    deviation: f64,
    is_known: bool,
}

impl Lag {
    /// Records a hop.
    pub fn record(&mut self, lag: Duration) {
        let lag = lag.as_secs_f64();
        if !self.is_known {
            *self = Self {
                mean: lag,
                deviation: lag / 2.0,
                is_known: true,
            };
            return;
        }
        let off = (lag - self.mean).abs();
        self.deviation += DEVIATION_WEIGHT * (off - self.deviation);
        self.mean += MEAN_WEIGHT * (lag - self.mean);
    }

    /// Returns what most hops stay within; zero where none is known.
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation)
    }
}

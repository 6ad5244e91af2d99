//! Overhead of a hop: the latency of a peer's reply minus the processing time that the peer reports.
//!
//! Instances with a tenth of a core pass their queries on to peers. The network delay is short, but each
//! wake-up waits for its share of the processor, and a reply that the peer sends at the last moment arrives
//! too late. The overhead of earlier hops says how much earlier the peer must reply.

use std::time::Duration;

/// Weights of the latest hop in the mean and in the mean deviation, as in RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Mean deviations added to the mean to cover most hops. RFC 6298 adds four, for a timer that must hardly
/// ever fire early; here each deviation takes time from every query.
const DEVIATIONS: f64 = 1.0;

/// Estimate of the hop overhead: an exponentially weighted mean and mean deviation.
#[derive(Debug, Clone, Default)]
pub struct Overhead {
    mean_s: f64,
    deviation_s: f64,
    has_samples: bool,
}

impl Overhead {
    /// Records the overhead of one hop.
    pub fn record(&mut self, overhead: Duration) {
        let overhead = overhead.as_secs_f64();
        if !self.has_samples {
            *self = Self {
                mean_s: overhead,
                deviation_s: overhead / 2.0,
                has_samples: true,
            };
            return;
        }
        let difference = (overhead - self.mean_s).abs();
        self.deviation_s += DEVIATION_WEIGHT * (difference - self.deviation_s);
        self.mean_s += MEAN_WEIGHT * (overhead - self.mean_s);
    }

    /// Returns the overhead that most hops don't exceed, or zero before the first hop is recorded.
    pub fn estimate(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }
}

//! Latency percentiles.

use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};

/// Highest latency that the histogram records; higher ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits that the histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of the latency curve in a report.
const CURVE_PERCENTILES: [f64; 19] = [
    0.0, 10.0, 25.0, 50.0, 60.0, 70.0, 75.0, 80.0, 85.0, 90.0, 92.5, 95.0, 97.0, 98.0, 99.0, 99.5,
    99.9, 99.99, 100.0,
];

/// One point of the latency curve.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Percentile, from 0 to 100.
    pub percentile: f64,
    /// Latency, in milliseconds.
    pub ms: f64,
}

/// Histogram of latencies.
#[derive(Debug)]
pub struct Latency(Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid constants"))
    }
}

impl Latency {
    /// Adds one latency, in microseconds.
    pub fn add(&mut self, us: u64) {
        self.0.saturating_record(us);
    }

    /// Returns a percentile, in milliseconds; 0 if no latency was added.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        round_3(self.0.value_at_percentile(percentile) as f64 / 1_000.0)
    }

    /// Returns the latency curve; empty if no latency was added.
    pub fn curve(&self) -> Vec<Point> {
        if self.0.is_empty() {
            return Vec::new();
        }
        let point = |percentile| Point {
            percentile,
            ms: self.percentile_ms(percentile),
        };
        CURVE_PERCENTILES.into_iter().map(point).collect()
    }
}

/// Rounds to three decimals.
pub(crate) fn round_3(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

/// Rounds to five decimals.
pub(crate) fn round_5(value: f64) -> f64 {
    (value * 100_000.0).round() / 100_000.0
}

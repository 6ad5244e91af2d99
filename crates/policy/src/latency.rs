//! Observed latencies: quantiles over a sliding window, and an exponentially weighted mean.

use std::time::{
    Duration,
    Instant, //
};

use hdrhistogram::Histogram;

/// Shortest latency that histograms resolve, in microseconds.
const MIN_LATENCY_US: u64 = 64;
/// Longest latency that histograms resolve, in microseconds; longer ones are recorded as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u64 = 5;

/// Quantiles over a sliding window of one to two intervals.
///
/// Each histogram covers one interval; the older one is dropped as a whole when an interval ends.
#[derive(Debug, Clone)]
pub struct Window {
    interval: Duration,
    rotated_at: Option<Instant>,
    current: Histogram<u32>,
    previous: Histogram<u32>,
    combined: Histogram<u32>,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

impl Window {
    /// Makes an empty window of one to two times `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            rotated_at: None,
            current: histogram(),
            previous: histogram(),
            combined: histogram(),
        }
    }

    /// Records one latency, observed at `now`.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.rotate(now);
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.current.saturating_record(us);
        self.combined.saturating_record(us);
    }

    fn rotate(&mut self, now: Instant) {
        let rotated_at = *self.rotated_at.get_or_insert(now);
        let age = now.saturating_duration_since(rotated_at);
        if age < self.interval {
            return;
        }
        self.rotated_at = Some(now);
        if age >= self.interval * 2 {
            self.previous.reset();
            self.current.reset();
            self.combined.reset();
            return;
        }
        // Each sample in `previous` is also in `combined`, so this can't fail.
        let _ = self.combined.subtract(&self.previous);
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
    }

    /// Returns the latency at `quantile` (0 to 1), or `None` while there are too few samples.
    ///
    /// It needs at least `1 / (1 - quantile)` samples, so that one of them is expected above the quantile.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let needed = (1.0 / (1.0 - quantile).max(f64::EPSILON)).ceil() as u64;
        (self.combined.len() >= needed.max(MIN_SAMPLES))
            .then(|| Duration::from_micros(self.combined.value_at_quantile(quantile)))
    }

    /// Returns the number of samples in the window.
    pub fn samples(&self) -> u64 {
        self.combined.len()
    }
}

/// Latency that every median is scaled to in a [`Shape`], as its histograms hold durations.
const SCALED_MEDIAN: Duration = Duration::from_millis(10);
/// Multiple of the median that a high quantile is assumed to be until one is known.
const DEFAULT_MULTIPLE: f64 = 4.0;
/// Samples from which on a service's own quantiles are better than the shared shape.
const MIN_OWN_SAMPLES: u64 = 1_000;

/// Latency distribution of many services, as multiples of each service's median.
///
/// A service with few requests has enough samples for a median long before it has enough for a high
/// quantile. The distribution over all services stands in for the quantile until then.
#[derive(Debug, Clone)]
pub struct Shape(Window);

impl Shape {
    /// Makes an empty shape over a window of one to two times `interval`.
    pub fn new(interval: Duration) -> Self {
        Self(Window::new(interval))
    }

    /// Records one latency of a service with the given median.
    pub fn record(&mut self, now: Instant, latency: Duration, median: Duration) {
        let multiple = latency.as_secs_f64() / median.as_secs_f64().max(1e-6);
        self.0.record(now, SCALED_MEDIAN.mul_f64(multiple.min(1e3)));
    }

    /// Returns the latency at `quantile` as a multiple of the median.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        let at = self.0.quantile(quantile)?;
        Some(at.as_secs_f64() / SCALED_MEDIAN.as_secs_f64())
    }
}

/// Returns a service's latency at a quantile: its own quantile if it has enough `samples`, else its
/// median times `multiple`.
pub fn estimate(
    own: Option<Duration>,
    samples: u64,
    median: Option<Duration>,
    multiple: Option<f64>,
) -> Option<Duration> {
    match own {
        Some(own) if samples >= MIN_OWN_SAMPLES => Some(own),
        _ => median.map(|median| median.mul_f64(multiple.unwrap_or(DEFAULT_MULTIPLE))),
    }
}

/// Weight of one sample in a [`Mean`].
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time without samples in which a [`Mean`] moves half of the way to the baseline.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Exponentially weighted mean of latencies.
#[derive(Debug, Clone, Default)]
pub struct Mean {
    mean_us: f64,
    recorded_at: Option<Instant>,
}

impl Mean {
    /// Records one latency, observed at `now`.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let us = latency.as_secs_f64() * 1e6;
        self.mean_us = match self.recorded_at {
            Some(_) => self.mean_us + SAMPLE_WEIGHT * (us - self.mean_us),
            None => us,
        };
        self.recorded_at = Some(now);
    }

    /// Returns the mean in microseconds, or `baseline_us` before the first sample.
    ///
    /// The mean decays towards `baseline_us` while nothing is recorded, so that a server that was slow
    /// once is tried again.
    pub fn get(&self, now: Instant, baseline_us: f64) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return baseline_us;
        };
        let age = now.saturating_duration_since(recorded_at).as_secs_f64();
        let weight = (-age / HALF_LIFE.as_secs_f64()).exp2();
        baseline_us + weight * (self.mean_us - baseline_us)
    }
}

//! Latencies of one service, with the quantiles in use cached.

use std::time::{
    Duration,
    Instant, //
};

use policy::latency::{
    self,
    Shape,
    Window, //
};

/// Nominal length of the sliding windows, which cover the last one to two times this.
pub(crate) const WINDOW: Duration = Duration::from_secs(10);
/// Median that is assumed while there are too few samples.
const ASSUMED_MEDIAN: Duration = Duration::from_millis(1);
/// Samples after which the cached quantiles are computed again.
const REFRESH_SAMPLES: u32 = 32;

/// Latencies of one service.
#[derive(Debug)]
pub(crate) struct Latency {
    window: Window,
    median: Option<Duration>,
    /// The quantile that `cached_latency` was computed for.
    cached_quantile: f64,
    cached_latency: Option<Duration>,
    samples_since_refresh: u32,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            window: Window::new(WINDOW),
            median: None,
            cached_quantile: 0.0,
            cached_latency: None,
            samples_since_refresh: 0,
        }
    }
}

impl Latency {
    pub(crate) fn record(&mut self, now: Instant, latency: Duration, shared: &mut SharedLatency) {
        self.window.record(now, latency);
        shared.latencies.record(now, latency);
        if let Some(median) = self.median {
            shared.record(now, latency, median);
        }
        self.samples_since_refresh += 1;
        if self.samples_since_refresh >= REFRESH_SAMPLES || self.median.is_none() {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.samples_since_refresh = 0;
        self.median = self.window.quantile(0.5);
        self.cached_latency = self.window.quantile(self.cached_quantile);
    }

    /// Returns the median, or an assumed one while there are too few samples.
    pub(crate) fn median(&self) -> Duration {
        self.median.unwrap_or(ASSUMED_MEDIAN)
    }

    /// Returns the latency at `quantile`, `None` while there are too few samples.
    pub(crate) fn quantile(
        &mut self,
        quantile: f64,
        shared: &mut SharedLatency,
    ) -> Option<Duration> {
        if self.cached_quantile != quantile {
            self.cached_quantile = quantile;
            self.refresh();
        }
        let multiple = shared.quantile(quantile);
        let median = self.median.or_else(|| shared.latencies.quantile(0.5));
        latency::estimate(self.cached_latency, self.window.samples(), median, multiple)
    }

    /// Returns the number of samples in the window.
    pub(crate) fn samples(&self) -> u64 {
        self.window.samples()
    }
}

/// Latencies of all services together, which stand in for those of a service with few samples.
#[derive(Debug)]
pub(crate) struct SharedLatency {
    shape: Shape,
    latencies: Window,
    /// The quantile that `cached_multiple` was computed for.
    cached_quantile: f64,
    cached_multiple: Option<f64>,
    samples_since_refresh: u32,
}

impl Default for SharedLatency {
    fn default() -> Self {
        Self {
            shape: Shape::new(WINDOW),
            latencies: Window::new(WINDOW),
            cached_quantile: 0.0,
            cached_multiple: None,
            samples_since_refresh: 0,
        }
    }
}

impl SharedLatency {
    fn record(&mut self, now: Instant, latency: Duration, median: Duration) {
        self.shape.record(now, latency, median);
        self.samples_since_refresh += 1;
    }

    fn quantile(&mut self, quantile: f64) -> Option<f64> {
        if self.cached_quantile != quantile || self.samples_since_refresh >= REFRESH_SAMPLES {
            self.cached_quantile = quantile;
            self.samples_since_refresh = 0;
            self.cached_multiple = self.shape.quantile(quantile);
        }
        self.cached_multiple
    }
}

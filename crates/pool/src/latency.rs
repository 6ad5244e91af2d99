//! Latencies of one service, with the quantiles that are asked for often kept at hand.

use std::time::{
    Duration,
    Instant, //
};

use policy::latency::{
    self,
    Shape,
    Window, //
};

/// Span of the windows.
pub(crate) const SPAN: Duration = Duration::from_secs(10);
/// Latency that is assumed while nothing is known.
const UNKNOWN: Duration = Duration::from_millis(1);
/// Samples after which the quantiles are computed again.
const REFRESH: u32 = 32;

/// Latencies of one service.
#[derive(Debug)]
pub(crate) struct Latency {
    window: Window,
    usual: Option<Duration>,
    asked: f64,
    answer: Option<Duration>,
    fresh: u32,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            window: Window::new(SPAN),
            usual: None,
            asked: 0.0,
            answer: None,
            fresh: 0,
        }
    }
}

impl Latency {
    pub(crate) fn record(&mut self, now: Instant, latency: Duration, common: &mut Common) {
        self.window.record(now, latency);
        common.latencies.record(now, latency);
        if let Some(median) = self.usual {
            common.record(now, latency, median);
        }
        self.fresh += 1;
        if self.fresh >= REFRESH || self.usual.is_none() {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        self.usual = self.window.quantile(0.5);
        self.answer = self.window.quantile(self.asked);
    }

    /// Returns the median.
    pub(crate) fn usual(&self) -> Duration {
        self.usual.unwrap_or(UNKNOWN)
    }

    /// Returns the latency at `quantile`, `None` while too little is known.
    pub(crate) fn quantile(&mut self, quantile: f64, common: &mut Common) -> Option<Duration> {
        if self.asked != quantile {
            self.asked = quantile;
            self.refresh();
        }
        let multiple = common.quantile(quantile);
        let median = self.usual.or_else(|| common.latencies.quantile(0.5));
        latency::estimate(self.answer, self.window.samples(), median, multiple)
    }

    /// Returns the number of samples in the window.
    pub(crate) fn samples(&self) -> u64 {
        self.window.samples()
    }
}

/// What the latencies of all services have in common.
#[derive(Debug)]
pub(crate) struct Common {
    shape: Shape,
    latencies: Window,
    asked: f64,
    answer: Option<f64>,
    fresh: u32,
}

impl Default for Common {
    fn default() -> Self {
        Self {
            shape: Shape::new(SPAN),
            latencies: Window::new(SPAN),
            asked: 0.0,
            answer: None,
            fresh: 0,
        }
    }
}

impl Common {
    fn record(&mut self, now: Instant, latency: Duration, median: Duration) {
        self.shape.record(now, latency, median);
        self.fresh += 1;
    }

    fn quantile(&mut self, quantile: f64) -> Option<f64> {
        if self.asked != quantile || self.fresh >= REFRESH {
            self.asked = quantile;
            self.fresh = 0;
            self.answer = self.shape.quantile(quantile);
        }
        self.answer
    }
}

//! Observed latencies: quantiles over a sliding window, and a decaying mean.

use std::time::{
    Duration,
    Instant, //
};

use hdrhistogram::Histogram;

/// Least latency that is told apart, in microseconds.
const LOWEST_US: u64 = 64;
/// Longest latency that is told apart, in microseconds.
const HIGHEST_US: u64 = 60_000_000;
/// Significant digits of a recorded latency.
const DIGITS: u8 = 2;
/// Samples below which no quantile is given.
const SAMPLES_MIN: u64 = 5;

/// Quantiles over the last one to two spans.
#[derive(Debug, Clone)]
pub struct Window {
    span: Duration,
    rotated: Option<Instant>,
    recent: Histogram<u32>,
    previous: Histogram<u32>,
    both: Histogram<u32>,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(LOWEST_US, HIGHEST_US, DIGITS).expect("constant bounds are valid")
}

impl Window {
    /// Makes an empty window.
    pub fn new(span: Duration) -> Self {
        Self {
            span,
            rotated: None,
            recent: histogram(),
            previous: histogram(),
            both: histogram(),
        }
    }

    /// Records one latency, observed at `now`.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        self.rotate(now);
        let us = u64::try_from(latency.as_micros()).unwrap_or(HIGHEST_US);
        self.recent.saturating_record(us);
        self.both.saturating_record(us);
    }

    fn rotate(&mut self, now: Instant) {
        let rotated = *self.rotated.get_or_insert(now);
        let age = now.saturating_duration_since(rotated);
        if age < self.span {
            return;
        }
        self.rotated = Some(now);
        if age >= self.span * 2 {
            self.previous.reset();
            self.recent.reset();
            self.both.reset();
            return;
        }
        // What was recorded into `previous` was recorded into `both`, so this can't fail.
        let _ = self.both.subtract(&self.previous);
        std::mem::swap(&mut self.recent, &mut self.previous);
        self.recent.reset();
    }

    /// Returns the latency at `quantile` (0 to 1), or `None` while there are too few samples.
    ///
    /// A quantile needs as many samples as make one of them likely to lie above it.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let needed = (1.0 / (1.0 - quantile).max(f64::EPSILON)).ceil() as u64;
        (self.both.len() >= needed.max(SAMPLES_MIN))
            .then(|| Duration::from_micros(self.both.value_at_quantile(quantile)))
    }

    /// Returns the number of samples in the window.
    pub fn samples(&self) -> u64 {
        self.both.len()
    }
}

/// Latency that stands for the median in a [`Shape`].
const UNIT: Duration = Duration::from_millis(10);
/// Multiple of the median that stands for a high quantile while nothing is known.
const MULTIPLE: f64 = 4.0;
/// Samples above which a service's own quantiles are better than the shared shape.
const OWN_SAMPLES: u64 = 1_000;

/// Latencies of many services as multiples of each one's median.
///
/// A service that is asked seldom knows its median long before it knows a high quantile. What all
/// services have in common gives the quantile until then.
#[derive(Debug, Clone)]
pub struct Shape(Window);

impl Shape {
    /// Makes an empty shape.
    pub fn new(span: Duration) -> Self {
        Self(Window::new(span))
    }

    /// Records one latency of a service with the given median.
    pub fn record(&mut self, now: Instant, latency: Duration, median: Duration) {
        let multiple = latency.as_secs_f64() / median.as_secs_f64().max(1e-6);
        self.0.record(now, UNIT.mul_f64(multiple.min(1e3)));
    }

    /// Returns the latency at `quantile` as a multiple of the median.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        let at = self.0.quantile(quantile)?;
        Some(at.as_secs_f64() / UNIT.as_secs_f64())
    }
}

/// Returns a service's latency at a quantile: its own where it has `samples` enough, else its
/// median times `multiple`.
pub fn estimate(
    own: Option<Duration>,
    samples: u64,
    median: Option<Duration>,
    multiple: Option<f64>,
) -> Option<Duration> {
    match own {
        Some(own) if samples >= OWN_SAMPLES => Some(own),
        _ => median.map(|median| median.mul_f64(multiple.unwrap_or(MULTIPLE))),
    }
}

/// Weight of one sample in a [`Mean`].
const WEIGHT: f64 = 0.1;
/// Time in which half of what a [`Mean`] says of a quiet server is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// A mean in which older samples weigh less.
#[derive(Debug, Clone, Default)]
pub struct Mean {
    us: f64,
    at: Option<Instant>,
}

impl Mean {
    /// Records one latency, observed at `now`.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        let us = latency.as_secs_f64() * 1e6;
        self.us = match self.at {
            Some(_) => self.us + WEIGHT * (us - self.us),
            None => us,
        };
        self.at = Some(now);
    }

    /// Returns the mean in microseconds.
    ///
    /// It drifts towards `usual` while nothing is recorded, so that a server that was slow once is
    /// tried again.
    pub fn get(&self, now: Instant, usual: f64) -> f64 {
        let Some(at) = self.at else { return usual };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let kept = (-age / HALF_LIFE.as_secs_f64()).exp2();
        usual + kept * (self.us - usual)
    }
}

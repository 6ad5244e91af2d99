//! Latency statistics of one route's sub-requests.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use policy::latency::Window;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(5);
/// Latency quantile that is the hedge delay.
///
/// Servers are paused for 1/25 of the time, and requests that queue behind a pause are as late. The
/// shared retry budget covers about 1/5 of the sub-requests.
const HEDGE_QUANTILE: f64 = 0.86;
/// Number of replies after which the quantiles are recomputed.
const REFRESH_EVERY_REPLIES: u32 = 32;
/// Initial baseline and hedge delay as shares of the latency objective, until latencies are known.
const BASELINE_SHARE: f64 = 0.15;
const HEDGE_DELAY_SHARE: f64 = 0.35;
/// Minimum hedge delay: within a few round trips a slow reply can't be distinguished from
/// network delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(3);

/// Baseline latency and hedge delay of one route's sub-requests.
#[derive(Debug)]
pub struct Statistics {
    window: RefCell<Window>,
    baseline: Cell<Duration>,
    hedge_delay: Cell<Duration>,
    since_refresh: Cell<u32>,
}

impl Statistics {
    /// Creates the statistics of a route with the given latency objective.
    pub fn new(objective: Duration) -> Self {
        Self {
            window: RefCell::new(Window::new(WINDOW)),
            baseline: Cell::new(objective.mul_f64(BASELINE_SHARE)),
            hedge_delay: Cell::new(objective.mul_f64(HEDGE_DELAY_SHARE)),
            since_refresh: Cell::new(0),
        }
    }

    /// Records the latency of one reply.
    pub fn record(&self, now: Instant, latency: Duration) {
        let mut window = self.window.borrow_mut();
        window.record(now, latency);
        let count = self.since_refresh.get() + 1;
        self.since_refresh.set(count);
        if count < REFRESH_EVERY_REPLIES {
            return;
        }
        self.since_refresh.set(0);
        if let Some(median) = window.quantile(0.5) {
            self.baseline.set(median.max(Duration::from_micros(100)));
        }
        if let Some(delay) = window.quantile(HEDGE_QUANTILE) {
            self.hedge_delay.set(delay.max(MIN_HEDGE_DELAY));
        }
    }

    /// Returns the baseline latency: the median.
    pub fn baseline(&self) -> Duration {
        self.baseline.get()
    }

    /// Returns the hedge delay.
    pub fn hedge_delay(&self) -> Duration {
        self.hedge_delay.get()
    }
}

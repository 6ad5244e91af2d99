//! How long the sub-requests of one route take.

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

/// Time over which latencies are looked at.
const SPAN: Duration = Duration::from_secs(5);
/// Quantile after which a sub-request is sent to another server as well.
///
/// Servers pause for a twenty-fifth of their time and what queues behind a pause is as late; the
/// shared bound covers about a fifth of the sub-requests.
const HEDGE: f64 = 0.86;
/// Answers after which the quantiles are worked out again.
const REFRESH: u32 = 32;
/// Shares of the objective that stand for the latency while nothing is known.
const USUAL_SHARE: f64 = 0.15;
const HEDGE_SHARE: f64 = 0.35;
/// Shortest wait before a hedge: less than a few round trips says nothing.
const HEDGE_LEAST: Duration = Duration::from_millis(3);

/// Latencies of one route's sub-requests.
#[derive(Debug)]
pub struct Pace {
    window: RefCell<Window>,
    usual: Cell<Duration>,
    hedge: Cell<Duration>,
    since_refresh: Cell<u32>,
}

impl Pace {
    /// Makes the pace of a route with the given objective.
    pub fn new(objective: Duration) -> Self {
        Self {
            window: RefCell::new(Window::new(SPAN)),
            usual: Cell::new(objective.mul_f64(USUAL_SHARE)),
            hedge: Cell::new(objective.mul_f64(HEDGE_SHARE)),
            since_refresh: Cell::new(0),
        }
    }

    /// Records one answer.
    pub fn record(&self, now: Instant, latency: Duration) {
        let mut window = self.window.borrow_mut();
        window.record(now, latency);
        let count = self.since_refresh.get() + 1;
        self.since_refresh.set(count);
        if count < REFRESH {
            return;
        }
        self.since_refresh.set(0);
        if let Some(median) = window.quantile(0.5) {
            self.usual.set(median.max(Duration::from_micros(100)));
        }
        if let Some(slow) = window.quantile(HEDGE) {
            self.hedge.set(slow.max(HEDGE_LEAST));
        }
    }

    /// Returns the latency in the middle.
    pub fn usual(&self) -> Duration {
        self.usual.get()
    }

    /// Returns the wait after which a sub-request is hedged.
    pub fn hedge(&self) -> Duration {
        self.hedge.get()
    }
}

//! One backend server: its connections, slots and what was observed of it.

use std::{
    cell::RefCell,
    collections::VecDeque,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use backend::Stamp;
use futures_channel::oneshot;
use policy::{
    choice::Candidate,
    latency::Mean,
    ramp::Ramp, //
};

use crate::ticket::Order;

/// Shortest rest after a failure.
const REST_MIN: Duration = Duration::from_millis(50);
/// Longest rest after many failures.
const REST_MAX: Duration = Duration::from_secs(2);
/// Failures in a row after which a server counts as out of order.
const FAILURES_OUT: u32 = 3;
/// Shortest rest after a shed.
const SHED_REST_MIN: Duration = Duration::from_millis(5);
/// Longest rest after many sheds.
const SHED_REST_MAX: Duration = Duration::from_millis(100);
/// Doublings of a rest at most.
const DOUBLINGS_MAX: u32 = 10;
/// Time that a server is left alone after it said that it drains.
const DRAIN_REST: Duration = Duration::from_secs(1);
/// Cancellations that may wait for a connection.
const CANCELS_MAX: usize = 64;
/// Latencies above this multiple of the usual one count as the multiple, so that one straggler
/// doesn't stand for the server.
const OUTLIER: f64 = 4.0;

/// What may be used of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Share {
    /// Sub-requests at the same time.
    pub(crate) slots: usize,
    /// Connections at the same time.
    pub(crate) connections: usize,
    /// Connections that are kept open ahead of need.
    pub(crate) kept: usize,
}

/// Whether a server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It takes work.
    Serving,
    /// It is marked as leaving.
    Leaving,
    /// It isn't in the catalog any more.
    Gone,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) share: Share,
    pub(crate) standing: Standing,
    /// Connections that wait for work.
    pub(crate) idle: Vec<oneshot::Sender<Order>>,
    /// Connections that are open, opening, or about to be.
    pub(crate) connections: usize,
    /// Those of them that aren't open yet.
    pub(crate) opening: usize,
    pub(crate) in_flight: usize,
    pub(crate) cancels: VecDeque<Stamp>,
    pub(crate) ramp: Ramp,
    pub(crate) mean: Mean,
    /// Failures, and sheds, since the last answer.
    pub(crate) failures: u32,
    pub(crate) sheds: u32,
    pub(crate) rests_until: Option<Instant>,
    pub(crate) used: Instant,
    pub(crate) last: u64,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) spec: Arc<config::catalog::Server>,
    pub(crate) near: bool,
    pub(crate) inner: RefCell<Inner>,
}

impl Server {
    pub(crate) fn new(spec: Arc<config::catalog::Server>, near: bool, share: Share) -> Self {
        Self {
            spec,
            near,
            inner: RefCell::new(Inner {
                share,
                standing: Standing::Serving,
                idle: Vec::new(),
                connections: 0,
                opening: 0,
                in_flight: 0,
                cancels: VecDeque::new(),
                ramp: Ramp::new(share.slots),
                mean: Mean::default(),
                failures: 0,
                sheds: 0,
                rests_until: None,
                used: Instant::now(),
                last: 0,
            }),
        }
    }

    pub(crate) fn name(&self) -> &Arc<str> {
        &self.spec.name
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.inner.borrow().standing == Standing::Serving
    }

    /// Returns whether it failed so often that work isn't kept waiting for it.
    pub(crate) fn is_out(&self) -> bool {
        let inner = self.inner.borrow();
        inner.standing != Standing::Serving || inner.failures >= FAILURES_OUT
    }

    /// Returns whether a sub-request may be sent to it now as a probe, though it is out of order.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        let inner = self.inner.borrow();
        inner.standing == Standing::Serving && usable(&inner, now) > inner.in_flight
    }

    /// Returns what the choice of a replica needs to know.
    pub(crate) fn candidate(&self, now: Instant, usual_us: f64) -> Candidate {
        let inner = self.inner.borrow();
        Candidate {
            in_flight: inner.in_flight,
            usable: if inner.idle.is_empty() {
                0
            } else {
                usable(&inner, now)
            },
            latency_us: inner.mean.get(now, usual_us),
            warmth: inner.ramp.warmth(now),
            failures: inner.failures,
            near: self.near,
            last: inner.last,
        }
    }

    /// Returns whether a slot is free but no connection is.
    pub(crate) fn lacks_connection(&self, now: Instant) -> bool {
        let inner = self.inner.borrow();
        inner.idle.is_empty() && inner.opening == 0 && usable(&inner, now) > inner.in_flight
    }

    /// Returns the slots that may be used now.
    pub(crate) fn usable(&self, now: Instant) -> usize {
        usable(&self.inner.borrow(), now)
    }

    /// Hands `order` to an idle connection.
    pub(crate) fn order(&self, mut order: Order) -> Result<(), Order> {
        let mut inner = self.inner.borrow_mut();
        while let Some(idle) = inner.idle.pop() {
            match idle.send(order) {
                Ok(()) => return Ok(()),
                Err(unsent) => order = unsent,
            }
        }
        Err(order)
    }

    /// Has the sub-request `stamp` cancelled as soon as a connection is idle.
    pub(crate) fn cancel(&self, stamp: Stamp) {
        if self.order(Order::Cancel(stamp)).is_ok() {
            return;
        }
        let mut inner = self.inner.borrow_mut();
        if inner.cancels.len() < CANCELS_MAX {
            inner.cancels.push_back(stamp);
        }
    }

    /// Notes that a sub-request was answered.
    pub(crate) fn answered(&self, now: Instant, slow_start: Duration) {
        let mut inner = self.inner.borrow_mut();
        if inner.failures >= FAILURES_OUT {
            inner.ramp.restart(now, slow_start);
        }
        inner.failures = 0;
        inner.sheds = 0;
        inner.rests_until = None;
        inner.ramp.answered();
    }

    /// Notes how long a sub-request took.
    pub(crate) fn took(&self, now: Instant, latency: Duration, usual: Duration) {
        self.inner
            .borrow_mut()
            .mean
            .record(now, latency.min(usual.mul_f64(OUTLIER)));
    }

    /// Notes that the server shed work: it gets fewer slots, and rests for the returned time.
    ///
    /// A shed is answered at once, so that fewer slots alone would not mean less work.
    pub(crate) fn shed(&self, now: Instant) -> Duration {
        let mut inner = self.inner.borrow_mut();
        inner.ramp.shed(now);
        inner.sheds = inner.sheds.saturating_add(1);
        let rest = backoff(SHED_REST_MIN, SHED_REST_MAX, inner.sheds);
        inner.rests_until = Some(now + rest);
        rest
    }

    /// Notes that the server said that it drains.
    pub(crate) fn drains(&self, now: Instant) {
        self.inner.borrow_mut().rests_until = Some(now + DRAIN_REST);
    }

    /// Notes a failure; the server rests for the returned time, longer after each.
    pub(crate) fn failed(&self, now: Instant) -> Duration {
        let mut inner = self.inner.borrow_mut();
        // What broke together counts once.
        if let Some(until) = inner.rests_until.filter(|until| now < *until) {
            return until.saturating_duration_since(now);
        }
        inner.failures = inner.failures.saturating_add(1);
        let rest = backoff(REST_MIN, REST_MAX, inner.failures);
        inner.rests_until = Some(now + rest);
        rest
    }

    /// Returns the time until the server is tried again.
    pub(crate) fn rest(&self, now: Instant) -> Duration {
        let until = self.inner.borrow().rests_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Takes a changed share.
    pub(crate) fn set_share(&self, share: Share) {
        let mut inner = self.inner.borrow_mut();
        inner.share = share;
        inner.ramp.set_slots(share.slots);
    }

    /// Takes a changed standing; a server that returns starts cold.
    pub(crate) fn set_standing(&self, standing: Standing, now: Instant, slow_start: Duration) {
        let mut inner = self.inner.borrow_mut();
        let returns = standing == Standing::Serving && inner.standing != standing;
        inner.standing = standing;
        match returns {
            true => inner.ramp.restart(now, slow_start),
            false if standing != Standing::Serving => inner.idle.clear(),
            false => {}
        }
    }

    /// Closes connections that wait for work.
    pub(crate) fn close_idle(&self) {
        self.inner.borrow_mut().idle.clear();
    }

    /// Returns whether a connection that has no work is to be closed.
    pub(crate) fn is_surplus(&self) -> bool {
        let inner = self.inner.borrow();
        inner.standing != Standing::Serving || inner.connections > inner.share.connections
    }
}

/// Returns a jittered rest that doubles with each of `times`.
fn backoff(least: Duration, most: Duration, times: u32) -> Duration {
    let doublings = times.saturating_sub(1).min(DOUBLINGS_MAX);
    let rest = (least * 2u32.pow(doublings)).min(most);
    rest.mul_f64(rand::random_range(0.5..1.0))
}

/// Returns the slots that may be used: none while it rests, one after a failure.
fn usable(inner: &Inner, now: Instant) -> usize {
    match inner.rests_until {
        _ if inner.standing != Standing::Serving => 0,
        Some(until) if now < until => 0,
        _ if inner.failures > 0 => 1,
        _ => inner.ramp.usable(now),
    }
}

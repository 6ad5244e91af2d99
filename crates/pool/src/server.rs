//! One backend server: its connections, slots, failures and latency.

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
    concurrency::Limit,
    latency::Mean, //
};

use crate::ticket::Command;

/// Backoff after the first failure, before jitter.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after consecutive failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Consecutive failures after which a server is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Backoff after the first shed, before jitter.
const MIN_SHED_BACKOFF: Duration = Duration::from_millis(5);
/// Longest backoff after consecutive sheds.
const MAX_SHED_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of doublings of a backoff, which keeps the factor from overflowing.
const MAX_DOUBLINGS: u32 = 10;
/// Backoff after a server refused a request because it is draining.
const DRAIN_BACKOFF: Duration = Duration::from_secs(1);
/// Cancellations that may wait for a connection; further ones are dropped.
const MAX_PENDING_CANCELS: usize = 64;
/// Latencies are capped at this multiple of the service's median, so that a single straggler
/// doesn't dominate the server's mean.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// Limits of what the instance may use of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Share {
    /// Concurrent sub-requests.
    pub(crate) slots: usize,
    /// Concurrent connections.
    pub(crate) max_connections: usize,
    /// Connections that are kept open ahead of need.
    pub(crate) min_connections: usize,
}

/// Whether a server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    /// It takes work.
    Serving,
    /// It is marked as leaving, so it finishes its work and gets no more.
    Draining,
    /// It is no longer in the catalog.
    Removed,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) share: Share,
    pub(crate) lifecycle: Lifecycle,
    /// Command channels of the idle connections.
    pub(crate) idle: Vec<oneshot::Sender<Command>>,
    /// Connections that are open, opening, or waiting for a backoff before they open.
    pub(crate) connections: usize,
    /// Those of `connections` that aren't open yet.
    pub(crate) opening: usize,
    pub(crate) in_flight: usize,
    /// Cancellations that wait for a connection.
    pub(crate) cancels: VecDeque<Stamp>,
    pub(crate) concurrency: Limit,
    pub(crate) mean: Mean,
    /// Consecutive failures, reset by a reply.
    pub(crate) failures: u32,
    /// Consecutive sheds, reset by a reply.
    pub(crate) sheds: u32,
    pub(crate) backoff_until: Option<Instant>,
    pub(crate) last_used_at: Instant,
    /// Number, within the service, of the last sub-request assigned to the server.
    pub(crate) last_assigned: u64,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) spec: Arc<config::catalog::Server>,
    /// Whether it is in the availability zone of the instance.
    pub(crate) same_zone: bool,
    pub(crate) inner: RefCell<Inner>,
}

impl Server {
    pub(crate) fn new(spec: Arc<config::catalog::Server>, same_zone: bool, share: Share) -> Self {
        Self {
            spec,
            same_zone,
            inner: RefCell::new(Inner {
                share,
                lifecycle: Lifecycle::Serving,
                idle: Vec::new(),
                connections: 0,
                opening: 0,
                in_flight: 0,
                cancels: VecDeque::new(),
                concurrency: Limit::new(share.slots),
                mean: Mean::default(),
                failures: 0,
                sheds: 0,
                backoff_until: None,
                last_used_at: Instant::now(),
                last_assigned: 0,
            }),
        }
    }

    pub(crate) fn name(&self) -> &Arc<str> {
        &self.spec.name
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.inner.borrow().lifecycle == Lifecycle::Serving
    }

    /// Returns whether it is ejected or not serving, so that no work waits for it.
    pub(crate) fn is_unavailable(&self) -> bool {
        let inner = self.inner.borrow();
        inner.lifecycle != Lifecycle::Serving || inner.failures >= EJECT_AFTER_FAILURES
    }

    /// Returns whether it may get a sub-request now, which probes it if it is ejected.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        let inner = self.inner.borrow();
        inner.lifecycle == Lifecycle::Serving && usable(&inner, now) > inner.in_flight
    }

    /// Returns the input for the choice of a replica.
    pub(crate) fn candidate(&self, now: Instant, median_us: f64) -> Candidate {
        let inner = self.inner.borrow();
        Candidate {
            in_flight: inner.in_flight,
            usable: if inner.idle.is_empty() {
                0
            } else {
                usable(&inner, now)
            },
            latency_us: inner.mean.get(now, median_us),
            slow_start_share: inner.concurrency.slow_start_share(now),
            failures: inner.failures,
            zone_cost: policy::choice::zone_cost(self.same_zone),
            last_assigned: inner.last_assigned,
        }
    }

    /// Returns whether a slot is free but no connection is idle or opening.
    pub(crate) fn lacks_connection(&self, now: Instant) -> bool {
        let inner = self.inner.borrow();
        inner.idle.is_empty() && inner.opening == 0 && usable(&inner, now) > inner.in_flight
    }

    /// Returns the number of slots that may be used now.
    pub(crate) fn usable(&self, now: Instant) -> usize {
        usable(&self.inner.borrow(), now)
    }

    /// Passes `command` to an idle connection, or hands it back if there is none.
    pub(crate) fn send_command(&self, mut command: Command) -> Result<(), Command> {
        let mut inner = self.inner.borrow_mut();
        while let Some(idle) = inner.idle.pop() {
            match idle.send(command) {
                Ok(()) => return Ok(()),
                Err(unsent) => command = unsent,
            }
        }
        Err(command)
    }

    /// Cancels the sub-request `stamp` as soon as a connection is idle.
    pub(crate) fn cancel(&self, stamp: Stamp) {
        if self.send_command(Command::Cancel(stamp)).is_ok() {
            return;
        }
        let mut inner = self.inner.borrow_mut();
        if inner.cancels.len() < MAX_PENDING_CANCELS {
            inner.cancels.push_back(stamp);
        }
    }

    /// Records a reply that shows the server to work; slow start begins if it was ejected.
    pub(crate) fn record_reply(&self, now: Instant, slow_start: Duration) {
        let mut inner = self.inner.borrow_mut();
        if inner.failures >= EJECT_AFTER_FAILURES {
            inner.concurrency.begin_slow_start(now, slow_start);
        }
        inner.failures = 0;
        inner.sheds = 0;
        inner.backoff_until = None;
        inner.concurrency.record_reply();
    }

    /// Records the latency of a sub-request, given the median of the service.
    pub(crate) fn record_latency(&self, now: Instant, latency: Duration, median: Duration) {
        self.inner
            .borrow_mut()
            .mean
            .record(now, latency.min(median.mul_f64(MAX_LATENCY_RATIO)));
    }

    /// Records that the server shed work; returns the backoff.
    ///
    /// The server gets fewer slots, but as it sheds a request at once, fewer slots alone would not
    /// reduce the rate of requests.
    pub(crate) fn record_shed(&self, now: Instant) -> Duration {
        let mut inner = self.inner.borrow_mut();
        inner.concurrency.record_shed(now);
        inner.sheds = inner.sheds.saturating_add(1);
        let backoff = jittered_backoff(MIN_SHED_BACKOFF, MAX_SHED_BACKOFF, inner.sheds);
        inner.backoff_until = Some(now + backoff);
        backoff
    }

    /// Records that the server refused a request because it is draining.
    pub(crate) fn record_draining(&self, now: Instant) {
        self.inner.borrow_mut().backoff_until = Some(now + DRAIN_BACKOFF);
    }

    /// Records a failure; returns the backoff, which grows with consecutive failures.
    pub(crate) fn record_failure(&self, now: Instant) -> Duration {
        let mut inner = self.inner.borrow_mut();
        // Failures during a backoff are taken to have the same cause as the one before it.
        if let Some(until) = inner.backoff_until.filter(|until| now < *until) {
            return until.saturating_duration_since(now);
        }
        inner.failures = inner.failures.saturating_add(1);
        let backoff = jittered_backoff(MIN_BACKOFF, MAX_BACKOFF, inner.failures);
        inner.backoff_until = Some(now + backoff);
        backoff
    }

    /// Returns the time left until the server is tried again.
    pub(crate) fn backoff_left(&self, now: Instant) -> Duration {
        let until = self.inner.borrow().backoff_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Applies a changed share.
    pub(crate) fn set_share(&self, share: Share) {
        let mut inner = self.inner.borrow_mut();
        inner.share = share;
        inner.concurrency.set_max_slots(share.slots);
    }

    /// Applies a changed lifecycle state; a server that serves again goes through slow start.
    pub(crate) fn set_lifecycle(&self, lifecycle: Lifecycle, now: Instant, slow_start: Duration) {
        let mut inner = self.inner.borrow_mut();
        let serves_again = lifecycle == Lifecycle::Serving && inner.lifecycle != lifecycle;
        inner.lifecycle = lifecycle;
        match serves_again {
            true => inner.concurrency.begin_slow_start(now, slow_start),
            false if lifecycle != Lifecycle::Serving => inner.idle.clear(),
            false => {}
        }
    }

    /// Closes the idle connections.
    pub(crate) fn close_idle(&self) {
        self.inner.borrow_mut().idle.clear();
    }

    /// Returns whether an idle connection is to be closed, and none to be opened.
    pub(crate) fn is_surplus(&self) -> bool {
        let inner = self.inner.borrow();
        inner.lifecycle != Lifecycle::Serving || inner.connections > inner.share.max_connections
    }
}

/// Returns a backoff that doubles with each of `count` events up to `max`, jittered to 50-100%.
fn jittered_backoff(min: Duration, max: Duration, count: u32) -> Duration {
    let doublings = count.saturating_sub(1).min(MAX_DOUBLINGS);
    let backoff = (min * 2u32.pow(doublings)).min(max);
    backoff.mul_f64(rand::random_range(0.5..1.0))
}

/// Returns the slots that may be used: none during a backoff, one after a failure.
fn usable(inner: &Inner, now: Instant) -> usize {
    match inner.backoff_until {
        _ if inner.lifecycle != Lifecycle::Serving => 0,
        Some(until) if now < until => 0,
        _ if inner.failures > 0 => 1,
        _ => inner.concurrency.usable(now),
    }
}

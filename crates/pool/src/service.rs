//! One service: its queue, replicas, retry budget and latencies.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use backend::{
    Dial,
    Outcome, //
};
use config::Preset;
use policy::{
    choice,
    hedge::{
        self,
        Lateness, //
    },
    queue,
    retry, //
};
use wire::Reason;

use crate::{
    connection,
    counters::Counters,
    latency::{
        Latency,
        SharedLatency, //
    },
    server::Server,
    ticket::{
        Command,
        Event,
        Kind,
        Ticket, //
    },
};

/// State that all services of a pool share.
#[derive(Debug)]
pub(crate) struct Shared<D> {
    pub(crate) dialer: D,
    pub(crate) zone: Arc<str>,
    pub(crate) preset: RefCell<Arc<Preset>>,
    pub(crate) counters: RefCell<Counters>,
    pub(crate) hedge_budget: RefCell<hedge::Budget>,
    pub(crate) latency: RefCell<SharedLatency>,
    pub(crate) stopping: Cell<bool>,
}

/// One service.
#[derive(Debug)]
pub(crate) struct Service<D> {
    pub(crate) name: Arc<str>,
    pub(crate) shared: Rc<Shared<D>>,
    pub(crate) owned: Cell<bool>,
    pub(crate) servers: RefCell<Vec<Rc<Server>>>,
    pub(crate) queue: RefCell<queue::Queue<Rc<Ticket>>>,
    pub(crate) retry_budget: RefCell<retry::Budget>,
    pub(crate) latency: RefCell<Latency>,
    /// Sub-requests assigned to servers.
    assigned_count: Cell<u64>,
}

impl<D: Dial> Service<D> {
    pub(crate) fn new(name: Arc<str>, shared: Rc<Shared<D>>) -> Rc<Self> {
        let preset = shared.preset.borrow().clone();
        Rc::new(Self {
            name,
            shared,
            owned: Cell::new(false),
            servers: RefCell::default(),
            queue: RefCell::new(queue::Queue::new(preset.queue)),
            retry_budget: RefCell::new(retry::Budget::new(preset.retry_budget)),
            latency: RefCell::default(),
            assigned_count: Cell::new(0),
        })
    }

    /// Assigns queued work to free slots.
    pub(crate) fn dispatch(self: &Rc<Self>) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        self.refuse_late(now);
        while let Some((ticket, server)) = self.next_dispatchable(now) {
            if let Some(key) = ticket.queue_key.take() {
                self.queue.borrow_mut().remove(&key);
            }
            ticket.notify(Event::Assigned);
            self.start(&ticket, &server, ticket.next_kind.get(), now);
            self.refuse_late(now);
        }
        self.connect_for_queued(now);
    }

    /// Returns the first queued work for which a replica has a free slot, and that replica.
    fn next_dispatchable(&self, now: Instant) -> Option<(Rc<Ticket>, Rc<Server>)> {
        let queue = self.queue.borrow();
        let servers = self.servers.borrow();
        let median_us = self.median().as_secs_f64() * 1e6;
        if !servers
            .iter()
            .any(|server| server.candidate(now, median_us).is_free())
        {
            return None;
        }
        let found = queue.iter().find_map(|(_, ticket)| {
            let server = self.choose(&servers, ticket, now, median_us)?;
            Some((ticket.clone(), server))
        });
        found
    }

    fn choose(
        &self,
        servers: &[Rc<Server>],
        ticket: &Ticket,
        now: Instant,
        median_us: f64,
    ) -> Option<Rc<Server>> {
        let candidates = servers
            .iter()
            .enumerate()
            .filter(|(_, server)| ticket.may_use(server.name()))
            .map(|(index, server)| (index, server.candidate(now, median_us)));
        choice::best(candidates).map(|index| servers[index].clone())
    }

    fn start(self: &Rc<Self>, ticket: &Rc<Ticket>, server: &Rc<Server>, kind: Kind, now: Instant) {
        if kind == Kind::Initial {
            self.retry_budget.borrow_mut().earn();
            self.shared.hedge_budget.borrow_mut().earn();
        }
        let attempt = ticket.start(server.name().clone(), now);
        self.assigned_count.set(self.assigned_count.get() + 1);
        {
            let mut inner = server.inner.borrow_mut();
            inner.in_flight += 1;
            inner.last_assigned = self.assigned_count.get();
            inner.last_used_at = now;
        }
        let command = Command::Run {
            ticket: ticket.clone(),
            kind,
            attempt,
        };
        if server.send_command(command).is_err() {
            self.return_unsent(ticket, server, kind, attempt);
        }
    }

    /// Takes back a sub-request of which no byte was sent, and queues it again if it is no hedge.
    pub(crate) fn return_unsent(
        self: &Rc<Self>,
        ticket: &Rc<Ticket>,
        server: &Rc<Server>,
        kind: Kind,
        attempt: u32,
    ) {
        server.inner.borrow_mut().in_flight -= 1;
        ticket.not_run.set(ticket.not_run.get() + 1);
        let is_awaited = ticket.finish(attempt).is_some() && ticket.awaited.get();
        match kind {
            Kind::Hedge => self.shared.hedge_budget.borrow_mut().refund(),
            _ if is_awaited => {
                if let Err(refused) = self.resubmit(ticket, kind) {
                    ticket.notify(refused.event());
                }
            }
            _ => {}
        }
        self.dispatch();
    }

    /// Sends a hedge if a slot is free, no work is queued and the hedge budget allows.
    ///
    /// Returns whether it was sent.
    pub(crate) fn hedge(self: &Rc<Self>, ticket: &Rc<Ticket>, lateness: Lateness) -> bool {
        if !self.queue.borrow().is_empty() {
            return false;
        }
        let now = Instant::now();
        let median_us = self.median().as_secs_f64() * 1e6;
        let server = self.choose(&self.servers.borrow(), ticket, now, median_us);
        let Some(server) = server.filter(|server| server.inner.borrow().failures == 0) else {
            return false;
        };
        if !self.shared.hedge_budget.borrow_mut().take(lateness) {
            return false;
        }
        self.start(ticket, &server, Kind::Hedge, now);
        true
    }

    /// Handles the outcome of a sub-request.
    pub(crate) fn handle_outcome(
        self: &Rc<Self>,
        ticket: &Rc<Ticket>,
        server: &Rc<Server>,
        kind: Kind,
        attempt: u32,
        outcome: Outcome,
    ) {
        let now = Instant::now();
        let sub_request = ticket.finish(attempt);
        {
            let mut inner = server.inner.borrow_mut();
            inner.in_flight -= 1;
            inner.last_used_at = now;
        }
        if is_not_run(&outcome) {
            ticket.not_run.set(ticket.not_run.get() + 1);
        }
        self.update_health(server, &outcome, sub_request.is_some(), now);
        match sub_request {
            Some(sub_request) => {
                if matches!(outcome, Outcome::Done(_)) {
                    let latency = now.saturating_duration_since(sub_request.started_at);
                    let median = self.median();
                    server.record_latency(now, latency, median);
                    self.record(now, latency);
                }
                ticket.notify(Event::Ended {
                    server: server.name().clone(),
                    kind,
                    outcome,
                });
            }
            None if matches!(outcome, Outcome::Done(_)) => {
                self.shared.counters.borrow_mut().late += 1;
            }
            None => {}
        }
        self.dispatch();
    }

    fn update_health(
        self: &Rc<Self>,
        server: &Rc<Server>,
        outcome: &Outcome,
        is_awaited: bool,
        now: Instant,
    ) {
        let slow_start = Duration::from_millis(self.shared.preset.borrow().slow_start_ms);
        match outcome {
            Outcome::Done(_) => server.record_reply(now, slow_start),
            Outcome::Refused(refusal) => match refusal.reason {
                backend::Reason::Shed => {
                    self.shared.counters.borrow_mut().sheds += 1;
                    let backoff = server.record_shed(now);
                    self.dispatch_after(backoff);
                }
                backend::Reason::Draining => {
                    server.record_draining(now);
                    self.dispatch_after(server.backoff_left(now));
                }
                _ => server.record_reply(now, slow_start),
            },
            Outcome::Cancelled => server.record_reply(now, slow_start),
            Outcome::BadReply(_) => {
                self.shared.counters.borrow_mut().bad_replies += 1;
                self.record_failure(server, now);
            }
            Outcome::Failed(failure) if is_awaited || failure.timeout => {
                self.record_failure(server, now)
            }
            Outcome::Failed(_) => {}
        }
    }

    /// Records a failure of `server` and backs off; refuses all queued work if no server is left.
    pub(crate) fn record_failure(self: &Rc<Self>, server: &Rc<Server>, now: Instant) {
        let backoff = server.record_failure(now);
        self.dispatch_after(backoff);
        if self.is_unavailable(now) {
            self.refuse_all(Reason::Unreachable, self.backoff_left(now));
        }
    }

    fn dispatch_after(self: &Rc<Self>, delay: Duration) {
        let service = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(delay).await;
            service.open_min_connections();
            service.dispatch();
        });
    }

    /// Drops work whose outcome is no longer awaited, and cancels its running sub-requests.
    ///
    /// Those of a call with an idempotency key aren't cancelled.
    pub(crate) fn abandon(&self, ticket: &Rc<Ticket>) {
        ticket.awaited.set(false);
        if let Some(key) = ticket.queue_key.take() {
            self.queue.borrow_mut().remove(&key);
        }
        let now = Instant::now();
        let running = std::mem::take(&mut *ticket.running.borrow_mut());
        for sub_request in running {
            // The elapsed time is only a lower bound of the latency, so it is recorded only if it
            // exceeds the median.
            let elapsed = now.saturating_duration_since(sub_request.started_at);
            if elapsed > self.median() {
                self.record(now, elapsed);
            }
            if ticket.has_key() {
                continue;
            }
            if let Some(server) = self.server(&sub_request.server) {
                self.shared.counters.borrow_mut().cancels += 1;
                server.cancel(ticket.stamp(sub_request.attempt));
            }
        }
    }

    /// Opens the connections that are kept ahead of need.
    pub(crate) fn open_min_connections(self: &Rc<Self>) {
        let servers = self.servers.borrow().clone();
        for server in servers {
            while needs_connection(&server) {
                connection::open(self, &server);
            }
        }
    }

    /// Opens connections where queued work finds a free slot but no idle connection.
    fn connect_for_queued(self: &Rc<Self>, now: Instant) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let servers = self.servers.borrow().clone();
        for server in servers {
            let is_full = {
                let inner = server.inner.borrow();
                inner.connections >= inner.share.max_connections
            };
            if !is_full && server.lacks_connection(now) {
                connection::open(self, &server);
            }
        }
    }

    pub(crate) fn server(&self, name: &str) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        servers
            .iter()
            .find(|server| &**server.name() == name)
            .cloned()
    }

    /// Returns whether a serving server is left that `ticket` may use.
    pub(crate) fn has_alternative(&self, ticket: &Ticket) -> bool {
        let servers = self.servers.borrow();
        servers
            .iter()
            .any(|server| server.is_serving() && ticket.may_use(server.name()))
    }

    /// Returns whether a server is left that `ticket` may use and that is worth waiting for, as it
    /// isn't ejected.
    pub(crate) fn has_available_alternative(&self, ticket: &Ticket) -> bool {
        let servers = self.servers.borrow();
        let mut alternatives = servers
            .iter()
            .filter(|server| ticket.may_use(server.name()));
        alternatives.any(|server| !server.is_unavailable())
    }

    /// Returns the number of slots that may be used now, over all servers.
    pub(crate) fn usable(&self, now: Instant) -> usize {
        self.servers
            .borrow()
            .iter()
            .map(|server| server.usable(now))
            .sum()
    }

    fn record(&self, now: Instant, latency: Duration) {
        let mut shared = self.shared.latency.borrow_mut();
        self.latency.borrow_mut().record(now, latency, &mut shared);
    }

    /// Returns the median latency of a sub-request.
    pub(crate) fn median(&self) -> Duration {
        self.latency.borrow().median()
    }

    /// Returns the hedge delay, `None` while there are too few samples or hedging is disabled.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        let preset = self.shared.preset.borrow();
        if preset.hedge_budget <= 0.0 {
            return None;
        }
        let quantile = hedge::quantile(preset.hedge_quantile, preset.hedge_budget);
        let mut shared = self.shared.latency.borrow_mut();
        let observed = self.latency.borrow_mut().quantile(quantile, &mut shared);
        hedge::delay(observed, Duration::from_millis(preset.hedge_min_ms))
    }
}

fn is_not_run(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Refused(_) => true,
        Outcome::Failed(failure) => !failure.sent,
        _ => false,
    }
}

fn needs_connection(server: &Server) -> bool {
    let inner = server.inner.borrow();
    let is_opening_after_failure = inner.failures > 0 && inner.opening > 0;
    inner.lifecycle == crate::server::Lifecycle::Serving
        && inner.connections < inner.share.min_connections
        && !is_opening_after_failure
}

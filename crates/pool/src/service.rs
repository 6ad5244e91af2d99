//! One service: its queue, its replicas and what was observed of them.

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
        Common,
        Latency, //
    },
    server::Server,
    ticket::{
        Event,
        Kind,
        Order,
        Ticket, //
    },
};

/// What all services of a pool share.
#[derive(Debug)]
pub(crate) struct Shared<D> {
    pub(crate) dialer: D,
    pub(crate) zone: Arc<str>,
    pub(crate) preset: RefCell<Arc<Preset>>,
    pub(crate) counters: RefCell<Counters>,
    pub(crate) hedges: RefCell<hedge::Budget>,
    pub(crate) common: RefCell<Common>,
    pub(crate) stopping: Cell<bool>,
}

/// One service.
#[derive(Debug)]
pub(crate) struct Service<D> {
    pub(crate) name: Arc<str>,
    pub(crate) shared: Rc<Shared<D>>,
    pub(crate) owned: Cell<bool>,
    pub(crate) servers: RefCell<Vec<Rc<Server>>>,
    pub(crate) queue: RefCell<queue::Deadline<Rc<Ticket>>>,
    pub(crate) retries: RefCell<retry::Budget>,
    pub(crate) latency: RefCell<Latency>,
    started: Cell<u64>,
}

impl<D: Dial> Service<D> {
    pub(crate) fn new(name: Arc<str>, shared: Rc<Shared<D>>) -> Rc<Self> {
        let preset = shared.preset.borrow().clone();
        Rc::new(Self {
            name,
            shared,
            owned: Cell::new(false),
            servers: RefCell::default(),
            queue: RefCell::new(queue::Deadline::new(preset.queue)),
            retries: RefCell::new(retry::Budget::new(preset.retry_budget)),
            latency: RefCell::default(),
            started: Cell::new(0),
        })
    }

    /// Gives queued work to free slots.
    pub(crate) fn dispatch(self: &Rc<Self>) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        self.drop_late(now);
        while let Some((ticket, server)) = self.next(now) {
            if let Some(key) = ticket.queued.take() {
                self.queue.borrow_mut().remove(&key);
            }
            ticket.tell(Event::Started);
            self.start(&ticket, &server, ticket.kind.get(), now);
            self.drop_late(now);
        }
        self.connect(now);
    }

    /// Returns the first work for which a replica has a free slot, and that replica.
    fn next(&self, now: Instant) -> Option<(Rc<Ticket>, Rc<Server>)> {
        let queue = self.queue.borrow();
        let servers = self.servers.borrow();
        let usual_us = self.usual().as_secs_f64() * 1e6;
        if !servers
            .iter()
            .any(|server| server.candidate(now, usual_us).is_free())
        {
            return None;
        }
        let found = queue.iter().find_map(|(_, ticket)| {
            let server = self.choose(&servers, ticket, now, usual_us)?;
            Some((ticket.clone(), server))
        });
        found
    }

    fn choose(
        &self,
        servers: &[Rc<Server>],
        ticket: &Ticket,
        now: Instant,
        usual_us: f64,
    ) -> Option<Rc<Server>> {
        let candidates = servers
            .iter()
            .enumerate()
            .filter(|(_, server)| ticket.may_use(server.name()))
            .map(|(index, server)| (index, server.candidate(now, usual_us)));
        choice::best(candidates).map(|index| servers[index].clone())
    }

    fn start(self: &Rc<Self>, ticket: &Rc<Ticket>, server: &Rc<Server>, kind: Kind, now: Instant) {
        if kind == Kind::First {
            self.retries.borrow_mut().earn();
            self.shared.hedges.borrow_mut().earn();
        }
        let attempt = ticket.start(server.name().clone(), now);
        self.started.set(self.started.get() + 1);
        {
            let mut inner = server.inner.borrow_mut();
            inner.in_flight += 1;
            inner.last = self.started.get();
            inner.used = now;
        }
        let order = Order::Run {
            ticket: ticket.clone(),
            kind,
            attempt,
        };
        if server.order(order).is_err() {
            self.unsent(ticket, server, kind, attempt);
        }
    }

    /// Takes back a sub-request of which no byte left; it goes to another connection.
    pub(crate) fn unsent(
        self: &Rc<Self>,
        ticket: &Rc<Ticket>,
        server: &Rc<Server>,
        kind: Kind,
        attempt: u32,
    ) {
        server.inner.borrow_mut().in_flight -= 1;
        ticket.not_run.set(ticket.not_run.get() + 1);
        let waited_for = ticket.end(attempt).is_some() && ticket.open.get();
        match kind {
            Kind::Hedge => self.shared.hedges.borrow_mut().refund(),
            _ if waited_for => {
                if let Err(refused) = self.resubmit(ticket, kind) {
                    ticket.tell(refused.event());
                }
            }
            _ => {}
        }
        self.dispatch();
    }

    /// Sends a duplicate if a slot is free now, nothing else needs it and the budget allows.
    pub(crate) fn hedge(self: &Rc<Self>, ticket: &Rc<Ticket>, lateness: Lateness) -> bool {
        if !self.queue.borrow().is_empty() {
            return false;
        }
        let now = Instant::now();
        let usual_us = self.usual().as_secs_f64() * 1e6;
        let server = self.choose(&self.servers.borrow(), ticket, now, usual_us);
        let Some(server) = server.filter(|server| server.inner.borrow().failures == 0) else {
            return false;
        };
        if !self.shared.hedges.borrow_mut().take(lateness) {
            return false;
        }
        self.start(ticket, &server, Kind::Hedge, now);
        true
    }

    /// Takes in the outcome of a sub-request.
    pub(crate) fn report(
        self: &Rc<Self>,
        ticket: &Rc<Ticket>,
        server: &Rc<Server>,
        kind: Kind,
        attempt: u32,
        outcome: Outcome,
    ) {
        let now = Instant::now();
        let run = ticket.end(attempt);
        {
            let mut inner = server.inner.borrow_mut();
            inner.in_flight -= 1;
            inner.used = now;
        }
        if is_not_run(&outcome) {
            ticket.not_run.set(ticket.not_run.get() + 1);
        }
        self.observe(server, &outcome, run.is_some(), now);
        match run {
            Some(run) => {
                if matches!(outcome, Outcome::Done(_)) {
                    let latency = now.saturating_duration_since(run.started);
                    let usual = self.usual();
                    server.took(now, latency, usual);
                    self.record(now, latency);
                }
                ticket.tell(Event::Ended {
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

    fn observe(
        self: &Rc<Self>,
        server: &Rc<Server>,
        outcome: &Outcome,
        waited_for: bool,
        now: Instant,
    ) {
        let slow_start = Duration::from_millis(self.shared.preset.borrow().slow_start_ms);
        match outcome {
            Outcome::Done(_) => server.answered(now, slow_start),
            Outcome::Refused(refusal) => match refusal.reason {
                backend::Reason::Shed => {
                    self.shared.counters.borrow_mut().sheds += 1;
                    let rest = server.shed(now);
                    self.wake_after(rest);
                }
                backend::Reason::Draining => {
                    server.drains(now);
                    self.wake_after(server.rest(now));
                }
                _ => server.answered(now, slow_start),
            },
            Outcome::Cancelled => server.answered(now, slow_start),
            Outcome::BadReply(_) => {
                self.shared.counters.borrow_mut().bad_replies += 1;
                self.failed(server, now);
            }
            Outcome::Failed(failure) if waited_for || failure.timeout => self.failed(server, now),
            Outcome::Failed(_) => {}
        }
    }

    /// Notes a failure of `server`: it rests, and if no other is left, nothing waits for it.
    pub(crate) fn failed(self: &Rc<Self>, server: &Rc<Server>, now: Instant) {
        let rest = server.failed(now);
        self.wake_after(rest);
        if self.is_out(now) {
            self.refuse_all(Reason::Unreachable, self.rest(now));
        }
    }

    fn wake_after(self: &Rc<Self>, rest: Duration) {
        let service = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(rest).await;
            service.refill();
            service.dispatch();
        });
    }

    /// Drops work that nobody waits for any more, and cancels what runs of it.
    pub(crate) fn forget(&self, ticket: &Rc<Ticket>) {
        ticket.open.set(false);
        if let Some(key) = ticket.queued.take() {
            self.queue.borrow_mut().remove(&key);
        }
        let now = Instant::now();
        let running = std::mem::take(&mut *ticket.running.borrow_mut());
        for run in running {
            // It would have taken longer still, so a short time says nothing.
            let elapsed = now.saturating_duration_since(run.started);
            if elapsed > self.usual() {
                self.record(now, elapsed);
            }
            if ticket.is_keyed() {
                continue;
            }
            if let Some(server) = self.server(&run.server) {
                self.shared.counters.borrow_mut().cancels += 1;
                server.cancel(ticket.stamp(run.attempt));
            }
        }
    }

    /// Opens the connections that are kept ahead of need.
    pub(crate) fn refill(self: &Rc<Self>) {
        let servers = self.servers.borrow().clone();
        for server in servers {
            while wants_connection(&server) {
                connection::open(self, &server);
            }
        }
    }

    /// Opens a connection for queued work that finds none idle.
    fn connect(self: &Rc<Self>, now: Instant) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let servers = self.servers.borrow().clone();
        for server in servers {
            let full = {
                let inner = server.inner.borrow();
                inner.connections >= inner.share.connections
            };
            if !full && server.lacks_connection(now) {
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

    /// Returns whether a server other than those that `ticket` avoids takes work.
    pub(crate) fn has_other(&self, ticket: &Ticket) -> bool {
        let servers = self.servers.borrow();
        servers
            .iter()
            .any(|server| server.is_serving() && ticket.may_use(server.name()))
    }

    /// Returns whether such a server is in order too, so that it is worth waiting for.
    pub(crate) fn has_other_in_order(&self, ticket: &Ticket) -> bool {
        let servers = self.servers.borrow();
        let mut others = servers
            .iter()
            .filter(|server| ticket.may_use(server.name()));
        others.any(|server| !server.is_out())
    }

    pub(crate) fn usable(&self, now: Instant) -> usize {
        self.servers
            .borrow()
            .iter()
            .map(|server| server.usable(now))
            .sum()
    }

    fn record(&self, now: Instant, latency: Duration) {
        let mut common = self.shared.common.borrow_mut();
        self.latency.borrow_mut().record(now, latency, &mut common);
    }

    /// Returns the median time of a sub-request.
    pub(crate) fn usual(&self) -> Duration {
        self.latency.borrow().usual()
    }

    /// Returns the wait before a hedge, `None` while too little is known.
    pub(crate) fn hedge_wait(&self) -> Option<Duration> {
        let preset = self.shared.preset.borrow();
        if preset.hedge_budget <= 0.0 {
            return None;
        }
        let quantile = hedge::quantile(preset.hedge_quantile, preset.hedge_budget);
        let mut common = self.shared.common.borrow_mut();
        let observed = self.latency.borrow_mut().quantile(quantile, &mut common);
        hedge::wait(observed, Duration::from_millis(preset.hedge_min_ms))
    }
}

fn is_not_run(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Refused(_) => true,
        Outcome::Failed(failure) => !failure.sent,
        _ => false,
    }
}

fn wants_connection(server: &Server) -> bool {
    let inner = server.inner.borrow();
    let one_at_a_time = inner.failures > 0 && inner.opening > 0;
    inner.standing == crate::server::Standing::Serving
        && inner.connections < inner.share.kept
        && !one_at_a_time
}

//! One backend server: what is known of it, its connections, and the work that it has.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::{
        Rc,
        Weak, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_channel::oneshot;
use http::{
    HeaderValue,
    Request, //
};
use http_body_util::Full;
use policy::{
    choice::Candidate,
    health::{
        Change,
        Health, //
    },
    slowness::Recent,
};
use serde::Serialize;

pub use crate::description::{
    Description,
    Standing, //
};
use crate::{
    link::{
        self,
        Failure,
        Handle,
        Job,
        Reply, //
    },
    service::Service,
};

/// Share of its usual work that a server gets while it warms up.
const COLD: f64 = 0.5;
/// Time after a refused connection in which none is opened ahead of work: a server that is at its
/// bound, or down, is the same a moment later.
const REFUSED_PAUSE: Duration = Duration::from_millis(3_000);
/// Time after a refused connection in which work uses those that are open: other instances close
/// theirs, or are told the same, within about as long.
const REFUSED_WORK_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for which an exchange that nobody waits for goes on, so that its connection lives:
/// longer than a server's usual pause, shorter than callers accept work to go on after they left.
const LINGER: Duration = Duration::from_millis(300);
/// Time without any answer after which a server that leaves requests unanswered counts as silent.
const SILENT: Duration = Duration::from_millis(1_000);
/// Longest time to connect to a backend server; one in reach accepts within a few round trips, and
/// one with a full queue of connections when the opening packet is sent again.
const CONNECT: Duration = Duration::from_millis(600);
/// Longest time to connect to another instance, whose work can be done here.
const CONNECT_PEER: Duration = Duration::from_millis(150);
/// Microseconds that stand for the usual latency where servers are compared.
const USUAL_US: f64 = 1_000.0;
/// Share of recent failures that counts like one failure in a row where servers are compared.
const FAILURE_SHARE: f64 = 0.1;

/// A backend server.
#[derive(Debug)]
pub struct Server {
    description: Description,
    target: HeaderValue,
    linger: Duration,
    service: Weak<Service>,
    standing: Cell<Standing>,
    warm: Cell<Instant>,
    connections: Cell<usize>,
    open: Cell<usize>,
    busy: Cell<usize>,
    last: Cell<u64>,
    closed: Cell<bool>,
    misplaced: Cell<bool>,
    refused: Cell<Option<Instant>>,
    answered: Cell<Option<Instant>>,
    idle: RefCell<Vec<Handle>>,
    waiting: RefCell<Vec<(u64, Instant, Duration)>>,
    health: RefCell<Health>,
    slowness: RefCell<Recent>,
}

/// One server in a dump.
#[derive(Debug, Serialize)]
pub struct State {
    /// Id.
    pub id: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Standing, as text.
    pub standing: &'static str,
    /// Open connections.
    pub open: usize,
    /// Exchanges that run.
    pub busy: usize,
    /// Connections that may be open.
    pub connections: usize,
    /// Whether it is out after failures.
    pub out: bool,
    /// Multiple of the usual latency.
    pub slowness: f64,
}

impl Server {
    /// Makes a backend server.
    pub(crate) fn new(description: Description, service: &Rc<Service>, now: Instant) -> Rc<Self> {
        Self::with_linger(description, service, now, LINGER)
    }

    /// Makes another instance, whose work ends at once when nobody waits for it.
    pub(crate) fn peer(description: Description, service: &Rc<Service>, now: Instant) -> Rc<Self> {
        Self::with_linger(description, service, now, Duration::ZERO)
    }

    fn with_linger(
        description: Description,
        service: &Rc<Service>,
        now: Instant,
        linger: Duration,
    ) -> Rc<Self> {
        // A server whose id can't stand in a header refuses what is meant for another one.
        let target = HeaderValue::from_str(&description.id);
        let target = target.unwrap_or_else(|_| HeaderValue::from_static("unprintable"));
        let warm = now + description.warmup;
        Rc::new(Self {
            description,
            target,
            linger,
            service: Rc::downgrade(service),
            standing: Cell::new(Standing::Ready),
            warm: Cell::new(warm),
            connections: Cell::new(1),
            open: Cell::new(0),
            busy: Cell::new(0),
            last: Cell::new(0),
            closed: Cell::new(false),
            misplaced: Cell::new(false),
            refused: Cell::new(None),
            answered: Cell::new(None),
            idle: RefCell::default(),
            waiting: RefCell::default(),
            health: RefCell::default(),
            slowness: RefCell::default(),
        })
    }

    /// Returns what the server says of itself.
    pub fn description(&self) -> &Description {
        &self.description
    }

    /// Returns the id.
    pub fn id(&self) -> &Arc<str> {
        &self.description.id
    }

    /// Returns the id as requests name it.
    pub(crate) fn target(&self) -> &HeaderValue {
        &self.target
    }

    /// Returns how long an exchange goes on that nobody waits for.
    pub(crate) fn linger(&self) -> Duration {
        self.linger
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.description.address
    }

    /// Returns whether the server is to get work.
    pub fn standing(&self) -> Standing {
        self.standing.get()
    }

    pub(crate) fn set_standing(&self, standing: Standing) {
        self.standing.set(standing);
    }

    pub(crate) fn set_connections(&self, connections: usize) {
        self.connections.set(connections);
    }

    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Notes that the address belongs to another server now.
    pub(crate) fn set_misplaced(&self) {
        self.misplaced.set(true);
        self.idle.borrow_mut().clear();
    }

    pub(crate) fn is_misplaced(&self) -> bool {
        self.misplaced.get()
    }

    /// Returns whether it may get work now, at the given standing.
    fn may_work(&self, now: Instant) -> bool {
        let health = self.health.borrow();
        let on_trial = health.is_on_trial(now) && self.busy.get() > 0;
        !self.misplaced.get() && !health.is_out(now) && !on_trial
    }

    /// Returns whether it is among the servers that get work as usual.
    pub(crate) fn is_usual(&self, now: Instant) -> bool {
        let stands = match self.standing.get() {
            Standing::Ready => true,
            Standing::Kept(until) => now < until,
            Standing::LastResort(_) => false,
        };
        stands && self.usable(now) > 0 && self.may_work(now)
    }

    /// Returns the exchanges that may run at the same time.
    pub(crate) fn usable(&self, now: Instant) -> usize {
        let refused = self.refused.get();
        let is_pausing =
            refused.is_some_and(|at| now.saturating_duration_since(at) < REFUSED_WORK_PAUSE);
        match is_pausing {
            true => self.connections.get().min(self.open.get()),
            false => self.connections.get(),
        }
    }

    /// Returns whether it may get work where no usual server can be had.
    pub(crate) fn is_last_resort(&self, now: Instant) -> bool {
        let stands = match self.standing.get() {
            Standing::Ready => true,
            Standing::Kept(until) | Standing::LastResort(until) => now < until,
        };
        stands && self.may_work(now)
    }

    /// Returns whether nothing brings it back: it has gone, and its last work is done.
    pub(crate) fn is_gone(&self, now: Instant) -> bool {
        match self.standing.get() {
            Standing::Ready => false,
            Standing::Kept(until) => now >= until,
            Standing::LastResort(until) => now >= until,
        }
    }

    /// Returns what the choice of a server looks at.
    pub(crate) fn candidate(&self, now: Instant, zone: &str, usual: Duration) -> Candidate {
        let stalled = self.longest_wait(now, usual);
        let slowness = self.slowness.borrow().get(now).max(stalled).max(0.1);
        let failures = self.health.borrow().share() / FAILURE_SHARE;
        let warmth = if now < self.warm.get() { COLD } else { 1.0 };
        Candidate {
            in_flight: self.busy.get(),
            usable: self.usable(now).max(1),
            latency_us: slowness * USUAL_US,
            warmth,
            failures: failures as u32,
            near: &*self.description.zone == zone,
            last: self.last.get(),
        }
    }

    /// Returns the requests that it serves for this instance in a second.
    pub(crate) fn rate(&self, now: Instant, usual: Duration) -> f64 {
        let slowness = self.slowness.borrow().get(now).max(0.1);
        self.usable(now) as f64 / (slowness * usual.as_secs_f64()).max(1e-6)
    }

    /// Returns how long the oldest exchange waits, as a multiple of what is usual for it.
    ///
    /// An exchange that takes longer than usual shows a pause before any answer does.
    fn longest_wait(&self, now: Instant, usual: Duration) -> f64 {
        let waiting = self.waiting.borrow();
        let multiple = |(_, since, expected): &(u64, Instant, Duration)| {
            let expected = expected.max(&usual).as_secs_f64().max(1e-4);
            now.saturating_duration_since(*since).as_secs_f64() / expected
        };
        waiting.iter().map(multiple).fold(0.0, f64::max)
    }

    /// Sends a request; `number` tells this exchange from others, `usual` is the latency expected.
    pub(crate) fn send(
        self: &Rc<Self>,
        request: Request<Full<Bytes>>,
        number: u64,
        deadline: Instant,
        usual: Duration,
        is_once: bool,
    ) -> oneshot::Receiver<Result<Reply, Failure>> {
        let (reply, receiver) = oneshot::channel();
        let now = Instant::now();
        self.busy.set(self.busy.get() + 1);
        self.last.set(number);
        self.waiting.borrow_mut().push((number, now, usual));
        let mut job = Job {
            request,
            is_once,
            deadline,
            reply,
        };
        while let Some(handle) = self.pop_idle() {
            match handle.send(job) {
                Ok(()) => return receiver,
                Err(returned) => job = *returned,
            }
        }
        link::spawn(self.clone(), Some(job));
        receiver
    }

    fn pop_idle(&self) -> Option<Handle> {
        self.idle.borrow_mut().pop()
    }

    /// Opens a connection ahead of the work, if there is none.
    pub(crate) fn warm_up(self: &Rc<Self>) {
        let refused = self.refused.get();
        let is_pausing = refused.is_some_and(|at| at.elapsed() < REFUSED_PAUSE);
        if self.open.get() == 0 && !self.closed.get() && !is_pausing {
            link::spawn(self.clone(), None);
        }
    }

    /// Notes that the exchange `number` is no longer waited for.
    pub(crate) fn forget(&self, number: u64) {
        self.waiting
            .borrow_mut()
            .retain(|(waiting, _, _)| *waiting != number);
    }

    /// Notes how long an answer took, as a multiple of what is usual.
    pub(crate) fn record(&self, now: Instant, multiple: f64) {
        self.slowness.borrow_mut().record(now, multiple);
    }

    /// Notes that the server answered.
    pub(crate) fn served(&self) {
        self.health.borrow_mut().served();
    }

    /// Returns whether it has answered anything since then.
    pub(crate) fn has_answered_since(&self, then: Instant) -> bool {
        self.answered.get().is_some_and(|at| at > then)
    }

    /// Notes that the server failed.
    pub(crate) fn failed(&self, now: Instant) -> Change {
        self.health.borrow_mut().failed(now)
    }

    /// Notes that it can't be reached at all.
    pub(crate) fn lost(&self, now: Instant) -> Change {
        self.health.borrow_mut().lost(now)
    }

    /// Returns the longest time that a new connection may take.
    pub(crate) fn connect_time(&self) -> Duration {
        match self.linger.is_zero() {
            true => CONNECT_PEER,
            false => CONNECT,
        }
    }

    /// Notes that a whole answer has come, whatever it says and whoever waits for it.
    pub(crate) fn heard(&self) {
        self.answered.set(Some(Instant::now()));
    }

    /// Notes that an exchange had no answer when it was given up.
    ///
    /// A server that has answered anything of late has a queue, and taking it out would make that of
    /// the remaining servers longer.
    pub(crate) fn fell_silent(&self) {
        let of_late = Instant::now().checked_sub(SILENT);
        let has_answered = of_late.is_some_and(|then| self.has_answered_since(then));
        if self.linger.is_zero() || has_answered {
            return;
        }
        if let Change::Out(until) = self.failed(Instant::now()) {
            let ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
            tracing::info!(server = %self.id(), service = %self.description.service, out_ms = ms, "server: silent, taken out.");
        }
    }

    /// Notes that a health check passed.
    pub(crate) fn checked(&self, now: Instant) {
        self.health.borrow_mut().checked(now);
    }

    /// Returns whether it is out after failures.
    pub fn is_out(&self, now: Instant) -> bool {
        self.health.borrow().is_out(now)
    }

    pub(crate) fn link_opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    pub(crate) fn link_closed(&self) {
        self.open.set(self.open.get() - 1);
        self.idle.borrow_mut().retain(|handle| !handle.is_closed());
    }

    /// Notes that a connection wasn't accepted, or ended before it was of use.
    pub(crate) fn link_refused(&self) {
        self.refused.set(Some(Instant::now()));
    }

    pub(crate) fn link_idle(&self, handle: Handle) {
        if !self.misplaced.get() {
            self.idle.borrow_mut().push(handle);
        }
    }

    pub(crate) fn exchange_ended(&self) {
        self.busy.set(self.busy.get() - 1);
        if let Some(service) = self.service.upgrade() {
            service.wake();
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Closes the idle connections; those in use close after their exchange.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Returns the state for a dump.
    pub fn state(&self, now: Instant) -> State {
        State {
            id: self.id().clone(),
            address: self.address(),
            standing: self.standing.get().name(),
            open: self.open.get(),
            busy: self.busy.get(),
            connections: self.connections.get(),
            out: self.is_out(now),
            slowness: self.slowness.borrow().get(now),
        }
    }
}

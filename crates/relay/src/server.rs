//! One backend server or peer: its health, its connections and its work in progress.

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
    HeaderName,
    HeaderValue,
    Request, //
};
use http_body_util::Full;
use policy::{
    abandonment,
    admission::Throughput,
    choice::{
        self,
        Candidate, //
    },
    concurrency::{
        self,
        Window, //
    },
    health::{
        Health,
        Transition, //
    },
    pause::Pause,
    rate_limit::Limit,
    slowness::Tracker,
};
use serde::Serialize;
use tracing::info;

mod notices;

pub(crate) use self::notices::Notices;
pub use crate::description::{
    Description,
    Standing, //
};
use crate::{
    connection::{
        self,
        Failure,
        Handle,
        Job,
        Reply, //
    },
    links::Links,
    quarantine::Witness,
    service::Service,
};

/// Share of its normal work that a server gets while it is warming up.
const WARM_UP_SHARE: f64 = 0.5;
/// Pause after a refused connection in which none is opened ahead of work: a server that is at its
/// connection limit, or down, is unlikely to recover within it.
const PRECONNECT_PAUSE: Duration = Duration::from_millis(3_000);
/// Pause after a refused connection in which requests use open connections only: within about this time
/// other instances close some of theirs, or are refused as well.
const NEW_CONNECTION_PAUSE: Duration = Duration::from_millis(250);
/// Time without any reply after which a timeout counts as a failure of the server.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which a server that has served a request is taken to serve a part of what it gets.
const SERVING_PERIOD: Duration = Duration::from_secs(5);
/// Connect timeout of a backend server. A reachable server accepts within a few round trips; one whose
/// accept queue is full does so when the SYN packet is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Connect timeout of a peer; shorter, as this instance can answer the request itself.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Latency of a server at its baseline, in microseconds, when servers are compared.
const BASELINE_US: f64 = 1_000.0;
/// Ratio of recent failures that weighs as much as one consecutive failure when servers are compared.
const FAILURE_RATIO: f64 = 0.1;

/// A backend server, or a peer.
#[derive(Debug)]
pub struct Server {
    description: Description,
    target: HeaderValue,
    /// None for a peer, which states nothing about itself.
    notices: Option<Notices>,
    service: Weak<Service>,
    links: Option<Rc<Links>>,
    standing: Cell<Standing>,
    said_leaving_at: Cell<Option<Instant>>,
    pause: Cell<Pause>,
    limit: Cell<Limit>,
    warm_at: Cell<Instant>,
    max_connections: Cell<usize>,
    open: Cell<usize>,
    in_flight: Cell<usize>,
    last_exchange: Cell<u64>,
    /// Cost of its zone; none if it is that of a server.
    zone_cost: Cell<Option<f64>>,
    closed: Cell<bool>,
    misplaced: Cell<bool>,
    refused_at: Cell<Option<Instant>>,
    replied_at: Cell<Option<Instant>>,
    served_at: Cell<Option<Instant>>,
    idle: RefCell<Vec<Handle>>,
    pending: RefCell<Vec<(u64, Instant, Duration)>>,
    health: RefCell<Health>,
    slowness: RefCell<Tracker>,
    /// None for a peer, which declines what it has no room for.
    window: Option<Cell<Window>>,
    abandonment: Cell<abandonment::Tracker>,
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
    /// Exchanges in progress.
    pub busy: usize,
    /// Maximum number of connections.
    pub connections: usize,
    /// Exchanges that may be in progress.
    pub window: usize,
    /// Whether it is ejected after failures.
    pub out: bool,
    /// How much longer it wants no requests, in milliseconds.
    pub pause_ms: u64,
    /// Requests a second that it takes from all instances together, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// The part of it that this instance may use, in requests a second.
    pub own_limit_per_s: Option<f64>,
    /// Latency as a multiple of the baseline.
    pub slowness: f64,
}

/// A request to send to a server.
pub(crate) struct Exchange<'a> {
    /// The request.
    pub(crate) request: Request<Full<Bytes>>,
    /// Id of the request, and the header that carries it.
    pub(crate) id: (HeaderName, HeaderValue),
    /// Identifies the exchange.
    pub(crate) number: u64,
    /// When the reply is no longer of use.
    pub(crate) deadline: Instant,
    /// Expected latency.
    pub(crate) baseline: Duration,
    /// Whether the request must run at most once.
    pub(crate) is_at_most_once: bool,
    /// Is told if the connection ends without a reply after its caller has left; none for a peer.
    pub(crate) witness: Option<Witness>,
    /// Connections that have carried the same request, where a late second copy of an earlier reply would have the id of the
    /// request, too. They carry it again only if it may be repeated and no other connection is idle.
    pub(crate) used: &'a [connection::Id],
    /// Whether it is sent on a new connection.
    pub(crate) needs_new_connection: bool,
}

/// A request that was sent.
pub(crate) struct Sent {
    /// Connection that carries it.
    pub(crate) connection: connection::Id,
    /// Receives the result.
    pub(crate) receiver: oneshot::Receiver<Result<Reply, Failure>>,
}

impl Server {
    /// Creates a backend server.
    pub(crate) fn new(
        description: Description,
        service: &Rc<Service>,
        notices: Notices,
        now: Instant,
    ) -> Rc<Self> {
        Self::with_notices(description, service, Some(notices), now)
    }

    /// Creates a peer, whose exchanges end as soon as they are abandoned.
    pub(crate) fn peer(description: Description, service: &Rc<Service>, now: Instant) -> Rc<Self> {
        Self::with_notices(description, service, None, now)
    }

    fn with_notices(
        description: Description,
        service: &Rc<Service>,
        notices: Option<Notices>,
        now: Instant,
    ) -> Rc<Self> {
        // An id that isn't a valid header value is replaced by one that every server rejects.
        let is_backend = notices.is_some();
        let target = HeaderValue::from_str(&description.id);
        let target = target.unwrap_or_else(|_| HeaderValue::from_static("unprintable"));
        let warm_at = now + description.warmup;
        Rc::new(Self {
            description,
            target,
            notices,
            service: Rc::downgrade(service),
            links: service.links().cloned(),
            standing: Cell::new(Standing::Ready),
            said_leaving_at: Cell::new(None),
            pause: Cell::default(),
            limit: Cell::default(),
            warm_at: Cell::new(warm_at),
            max_connections: Cell::new(1),
            open: Cell::new(0),
            in_flight: Cell::new(0),
            last_exchange: Cell::new(0),
            zone_cost: Cell::new(None),
            closed: Cell::new(false),
            misplaced: Cell::new(false),
            refused_at: Cell::new(None),
            replied_at: Cell::new(None),
            served_at: Cell::new(None),
            idle: RefCell::default(),
            pending: RefCell::default(),
            health: RefCell::default(),
            slowness: RefCell::default(),
            window: is_backend.then(Cell::default),
            abandonment: Cell::default(),
        })
    }

    /// Returns the description in the store.
    pub fn description(&self) -> &Description {
        &self.description
    }

    /// Returns the id.
    pub fn id(&self) -> &Arc<str> {
        &self.description.id
    }

    /// Returns the id as a header value.
    pub(crate) fn target(&self) -> &HeaderValue {
        &self.target
    }

    /// Returns whether it is one of `servers`.
    pub(crate) fn is_among(self: &Rc<Self>, servers: &[Rc<Self>]) -> bool {
        servers.iter().any(|one| Rc::ptr_eq(one, self))
    }

    fn is_peer(&self) -> bool {
        self.notices.is_none()
    }

    /// Returns how much longer an exchange continues that is abandoned now.
    pub(crate) fn linger(&self, now: Instant) -> Duration {
        match self.is_peer() {
            true => Duration::ZERO,
            false => self.abandonment.get().linger(now),
        }
    }

    /// Records that an exchange had no reply until `now`, long after it was sent.
    fn record_hang(&self, now: Instant) {
        let mut abandonment = self.abandonment.get();
        if !abandonment.is_hanging(now) {
            info!(server = %self.id(), service = %self.description.service, "server: request left without a reply.");
        }
        abandonment.record_silence(now);
        self.abandonment.set(abandonment);
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.description.address
    }

    /// Returns the standing: its eligibility by its entry in the store and by what it said in its replies.
    pub fn standing(&self) -> Standing {
        let last_resort = self
            .notices
            .as_ref()
            .map_or(Duration::ZERO, |notices| notices.last_resort);
        match (self.said_leaving_at.get(), self.standing.get()) {
            (Some(at), Standing::LastResort(until)) => {
                Standing::LastResort(until.min(at + last_resort))
            }
            (Some(at), _) => Standing::LastResort(at + last_resort),
            (None, standing) => standing,
        }
    }

    pub(crate) fn set_standing(&self, standing: Standing) {
        self.standing.set(standing);
    }

    pub(crate) fn set_max_connections(&self, connections: usize) {
        self.max_connections.set(connections);
    }

    pub(crate) fn set_zone_cost(&self, cost: f64) {
        self.zone_cost.set(Some(cost));
    }

    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Records that another server listens at the address.
    pub(crate) fn mark_misplaced(&self) {
        self.misplaced.set(true);
        self.idle.borrow_mut().clear();
    }

    pub(crate) fn is_misplaced(&self) -> bool {
        self.misplaced.get()
    }

    /// Returns whether it may get work now, regardless of its standing.
    fn may_get_work(&self, now: Instant) -> bool {
        let health = self.health.borrow();
        let is_probation_full = health.is_on_probation(now) && self.in_flight.get() > 0;
        let is_pausing = self.pause_left(now).is_some();
        !self.misplaced.get() && !is_pausing && !health.is_ejected(now) && !is_probation_full
    }

    /// Returns whether it is eligible for work.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        let standing_allows = match self.standing() {
            Standing::Ready => true,
            Standing::Kept(until) => now < until,
            Standing::LastResort(_) => false,
        };
        standing_allows && self.usable_connections(now) > 0 && self.may_get_work(now)
    }

    /// Returns how many exchanges may run concurrently.
    pub(crate) fn usable_connections(&self, now: Instant) -> usize {
        let refused_at = self.refused_at.get();
        let is_pausing =
            refused_at.is_some_and(|at| now.saturating_duration_since(at) < NEW_CONNECTION_PAUSE);
        match is_pausing {
            true => self.max_connections.get().min(self.open.get()),
            false => self.max_connections.get(),
        }
    }

    /// Returns the number of sub-requests that may be in flight.
    fn usable_window(&self, now: Instant) -> usize {
        let connections = self.usable_connections(now);
        match &self.window {
            Some(window) => window.get().usable(connections),
            None => connections,
        }
    }

    /// Returns whether it may get work if no server of the service is available.
    pub(crate) fn is_last_resort(&self, now: Instant) -> bool {
        let standing_allows = match self.standing() {
            Standing::Ready => true,
            Standing::Kept(until) | Standing::LastResort(until) => now < until,
        };
        standing_allows && self.may_get_work(now)
    }

    /// Returns whether its grace time is over, so that it can be dropped.
    pub(crate) fn is_removable(&self, now: Instant) -> bool {
        match self.standing() {
            Standing::Ready => false,
            Standing::Kept(until) => now >= until,
            Standing::LastResort(until) => now >= until,
        }
    }

    /// Returns the inputs for choosing a server.
    pub(crate) fn candidate(&self, now: Instant, zone: &str, baseline: Duration) -> Candidate {
        let stalled = self.longest_pending(now, baseline);
        let slowness = self.slowness.borrow().current(now).max(stalled).max(0.1);
        let failures = self.health.borrow().failure_ratio() / FAILURE_RATIO;
        let slow_start_share = if now < self.warm_at.get() {
            WARM_UP_SHARE
        } else {
            1.0
        };
        Candidate {
            in_flight: self.in_flight.get(),
            usable: match self.limit_wait(now).is_zero() {
                true => self.usable_window(now).max(1),
                false => 0,
            },
            latency_us: slowness * BASELINE_US,
            slow_start_share,
            failures: failures as u32,
            zone_cost: self
                .zone_cost
                .get()
                .unwrap_or_else(|| choice::zone_cost(&*self.description.zone == zone)),
            last_assigned: self.last_exchange.get(),
        }
    }

    /// Returns what it can serve for this instance.
    pub(crate) fn throughput(&self, now: Instant, baseline: Duration) -> Throughput {
        let slowness = self.slowness.borrow().current(now).max(0.1);
        let slots = self.usable_window(now);
        let by_slots_per_s = slots as f64 / (slowness * baseline.as_secs_f64()).max(1e-6);
        let own_rate = self.limit.get().own_rate();
        Throughput {
            slots,
            by_slots_per_s,
            allowed_per_s: own_rate.map_or(by_slots_per_s, |rate| rate.min(by_slots_per_s)),
        }
    }

    /// Returns the longest wait of a pending exchange as a multiple of its baseline.
    ///
    /// This detects a paused server before any reply has arrived.
    fn longest_pending(&self, now: Instant, baseline: Duration) -> f64 {
        let pending = self.pending.borrow();
        let multiple = |(_, since, expected): &(u64, Instant, Duration)| {
            let expected = expected.max(&baseline).as_secs_f64().max(1e-4);
            now.saturating_duration_since(*since).as_secs_f64() / expected
        };
        pending.iter().map(multiple).fold(0.0, f64::max)
    }

    /// Sends a request.
    pub(crate) fn send(self: &Rc<Self>, exchange: Exchange<'_>) -> Sent {
        let Exchange {
            request,
            id,
            number,
            deadline,
            baseline,
            is_at_most_once,
            witness,
            used,
            needs_new_connection,
        } = exchange;
        let (reply, receiver) = oneshot::channel();
        let now = Instant::now();
        self.in_flight.set(self.in_flight.get() + 1);
        self.last_exchange.set(number);
        self.record_sent(now);
        self.pending.borrow_mut().push((number, now, baseline));
        let mut job = Job {
            request,
            id,
            is_at_most_once,
            deadline,
            reply,
            witness,
        };
        let next_idle = || match () {
            () if needs_new_connection => None,
            () if is_at_most_once => self.pop_idle(used),
            () => self.pop_idle(used).or_else(|| self.pop_idle(&[])),
        };
        while let Some(handle) = next_idle() {
            let connection = handle.id();
            match handle.send(job) {
                Ok(()) => {
                    return Sent {
                        connection,
                        receiver,
                    }
                }
                Err(returned) => job = *returned,
            }
        }
        // A new connection takes the place of an idle one that must not be used.
        if self.open.get() >= self.usable_connections(now) {
            self.idle.borrow_mut().pop();
        }
        Sent {
            connection: connection::spawn(self.clone(), Some(job)),
            receiver,
        }
    }

    /// Returns whether a connection to it is open and idle.
    pub(crate) fn has_idle_connection(&self) -> bool {
        self.idle.borrow().iter().any(|handle| !handle.is_closed())
    }

    /// Takes the idle connection that was used last, except for those among `used`.
    fn pop_idle(&self, used: &[connection::Id]) -> Option<Handle> {
        let mut idle = self.idle.borrow_mut();
        let index = idle
            .iter()
            .rposition(|handle| !used.contains(&handle.id()))?;
        Some(idle.remove(index))
    }

    /// Opens a connection ahead of work, if there is none.
    pub(crate) fn preconnect(self: &Rc<Self>) {
        let refused_at = self.refused_at.get();
        let is_pausing = refused_at.is_some_and(|at| at.elapsed() < PRECONNECT_PAUSE);
        if self.open.get() == 0 && !self.closed.get() && !is_pausing {
            connection::spawn(self.clone(), None);
        }
    }

    /// Records that the exchange `number` is no longer waited for.
    pub(crate) fn remove_pending(&self, number: u64) {
        self.pending
            .borrow_mut()
            .retain(|(pending, _, _)| *pending != number);
    }

    /// Records the latency of a reply as a multiple of the baseline.
    pub(crate) fn record_latency(&self, now: Instant, multiple: f64) {
        self.slowness.borrow_mut().record(now, multiple);
    }

    /// Returns the median of the latest latencies as a multiple of the baseline.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.slowness.borrow().current(now)
    }

    /// Adapts the number of sub-requests that may be in flight to the latency of the fastest server of the service, after a reply
    /// on a route with this baseline latency and objective.
    ///
    /// A server that alone is slow is at fault, and gets few sub-requests anyway.
    pub(crate) fn adapt_window(&self, now: Instant, baseline: Duration, objective: Duration) {
        let Some(window) = &self.window else {
            return;
        };
        let service = self.service.upgrade();
        let slowness = service.map_or(1.0, |service| service.min_slowness(now));
        let latency = baseline.mul_f64(slowness);
        let connections = self.usable_connections(now);
        let mut adapted = window.get();
        match self.in_flight.get() + 1 >= adapted.usable(connections) {
            _ if concurrency::is_late(latency, objective) => adapted.record_late(now, connections),
            true => adapted.record_in_time(connections),
            false => {}
        }
        window.set(adapted);
    }

    /// Records a successful exchange.
    pub(crate) fn record_success(&self, now: Instant) {
        self.served_at.set(Some(now));
        self.health.borrow_mut().record_success();
    }

    /// Returns whether it has served a request recently.
    pub(crate) fn has_served_recently(&self, now: Instant) -> bool {
        let served_at = self.served_at.get();
        served_at.is_some_and(|at| now.saturating_duration_since(at) < SERVING_PERIOD)
    }

    /// Returns whether any reply has arrived since then.
    pub(crate) fn has_replied_since(&self, then: Instant) -> bool {
        self.replied_at.get().is_some_and(|at| at > then)
    }

    /// Records that it shed a request.
    pub(crate) fn record_shed(&self) {
        // A server that asks for a pause gets no requests anyway.
        if self.pause_left(Instant::now()).is_none() {
            self.health.borrow_mut().record_shed();
        }
    }

    /// Returns whether it is likely to shed or fail the next request.
    pub(crate) fn is_unreliable(&self) -> bool {
        self.health.borrow().is_unreliable()
    }

    /// Records a failure; returns whether the server is ejected by it.
    pub(crate) fn record_failure(&self, now: Instant) -> Transition {
        self.health.borrow_mut().record_failure(now)
    }

    /// Records that the server is unreachable, which ejects it at once.
    pub(crate) fn record_unreachable(&self, now: Instant) -> Transition {
        self.health.borrow_mut().record_unreachable(now)
    }

    /// Returns the connect timeout.
    pub(crate) fn connect_timeout(&self) -> Duration {
        match self.is_peer() {
            true => PEER_CONNECT_TIMEOUT,
            false => CONNECT_TIMEOUT,
        }
    }

    /// Records that a complete reply has arrived, whatever its status and whether or not anyone waits for it.
    pub(crate) fn record_reply(&self) {
        self.replied_at.set(Some(Instant::now()));
        self.record_contact();
    }

    /// Returns whether others can be reached, so that its fault isn't that of the links of this instance.
    pub(crate) async fn has_reachable_others(&self, then: Instant) -> bool {
        match &self.links {
            Some(links) => links.reach_others(self, then).await,
            None => true,
        }
    }

    /// Records that it replied or accepted a connection.
    pub(crate) fn record_contact(&self) {
        if let Some(links) = &self.links {
            links.record_contact();
        }
    }

    /// Records that its reply is overdue or that it couldn't be reached.
    pub(crate) fn record_silence(&self) {
        if let Some(links) = &self.links {
            links.record_silence(self.id());
        }
    }

    /// Records that an exchange timed out or was abandoned without a reply.
    ///
    /// A server that has sent any reply recently has a queue; ejecting it would make the queues of the
    /// remaining servers longer. Timeouts of peers are handled by [`crate::peer`].
    pub(crate) fn record_timeout(&self, sent_at: Instant) {
        if self.is_peer() {
            return;
        }
        let now = Instant::now();
        if now.saturating_duration_since(sent_at) >= abandonment::LINGER {
            self.record_hang(now);
        }
        let silent_since = now.checked_sub(SILENT_AFTER);
        if silent_since.is_some_and(|then| self.has_replied_since(then)) {
            return;
        }
        if let Transition::Ejected(until) = self.record_failure(now) {
            let ms = until.saturating_duration_since(now).as_millis() as u64;
            info!(server = %self.id(), service = %self.description.service, out_ms = ms, "server: no reply, ejected.");
        }
    }

    /// Forgets its health and latency, and that connections were refused.
    pub(crate) fn reset(&self) {
        self.health.take();
        self.slowness.take();
        self.abandonment.take();
        self.refused_at.set(None);
    }

    /// Records that a health check passed.
    pub(crate) fn record_passed_check(&self, now: Instant) {
        self.health.borrow_mut().record_check_passed(now);
    }

    /// Returns whether it is ejected after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.health.borrow().is_ejected(now)
    }

    pub(crate) fn connection_opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    pub(crate) fn connection_closed(&self) {
        self.open.set(self.open.get() - 1);
        self.idle.borrow_mut().retain(|handle| !handle.is_closed());
    }

    /// Records that a connection couldn't be opened, or ended before it was used.
    pub(crate) fn connection_refused(&self) {
        self.refused_at.set(Some(Instant::now()));
    }

    pub(crate) fn connection_idle(&self, handle: Handle) {
        if !self.misplaced.get() {
            self.idle.borrow_mut().push(handle);
        }
    }

    pub(crate) fn exchange_ended(&self) {
        self.in_flight.set(self.in_flight.get() - 1);
        if let Some(service) = self.service.upgrade() {
            service.wake_next();
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Closes idle connections; busy ones are closed after their exchange.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Returns the state for a dump.
    pub fn state(&self, now: Instant) -> State {
        State {
            id: self.id().clone(),
            address: self.address(),
            standing: self.standing().name(),
            open: self.open.get(),
            busy: self.in_flight.get(),
            connections: self.max_connections.get(),
            window: self.usable_window(now),
            out: self.is_ejected(now),
            pause_ms: self.pause_left(now).unwrap_or_default().as_millis() as u64,
            limit_per_s: self.limit.get().per_s(),
            own_limit_per_s: self.limit.get().own_rate(),
            slowness: self.slowness.borrow().current(now),
        }
    }
}

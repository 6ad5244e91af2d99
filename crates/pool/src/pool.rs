//! The pool: runs parts and calls on backend servers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        HashMap, //
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
    HttpDialer, //
};
use bytes::Bytes;
use config::{
    preset::Class,
    View, //
};
use futures_channel::mpsc::{
    self,
    UnboundedReceiver, //
};
use policy::hedge;
use uuid::Uuid;
use wire::{
    CallReply,
    CallRequest,
    CancelRequest,
    Failure,
    Head,
    Partial,
    Reason, //
};

use crate::{
    counters::Counters,
    execution::{
        Execution,
        Success, //
    },
    maintenance,
    service::{
        Service,
        Shared, //
    },
    state::{
        self,
        Dump, //
    },
    ticket::{
        Event,
        Kind,
        SentCounts,
        Ticket,
        Work, //
    },
    update, //
};

/// Part index under which a call is listed.
const CALL_INDEX: u32 = u32::MAX;
/// Status of a call that a backend server ran.
const STATUS_OK: u32 = 200;
/// Interval at which a closing pool checks whether it has drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One part of a query.
#[derive(Debug, Clone)]
pub struct PartRequest {
    /// Head of the request that the part belongs to.
    pub head: Head,
    /// Index of the part in the query.
    pub index: u32,
    /// Shard to read.
    pub shard: Arc<str>,
    /// Service that holds the shard.
    pub service: Arc<str>,
    /// The query, as JSON.
    pub body: Bytes,
    /// Time after which the result is of no use.
    pub deadline: Instant,
}

/// Request, attempt and part index of a ticket.
type TicketId = (Uuid, u32, u32);

/// The connections of one instance to backend servers.
#[derive(Debug)]
pub struct Pool<D: Dial = HttpDialer> {
    shared: Rc<Shared<D>>,
    view: RefCell<Arc<View>>,
    services: RefCell<HashMap<Arc<str>, Rc<Service<D>>>>,
    tickets: RefCell<BTreeMap<TicketId, Rc<Ticket>>>,
    weak_self: std::rc::Weak<Self>,
    maintenance_started: Cell<bool>,
    /// Whether the pool has drained, after which it opens no more connections.
    closed: Cell<bool>,
}

impl Pool<HttpDialer> {
    /// Makes a pool without connections, for an instance in availability zone `zone`.
    ///
    /// It connects to backend servers over HTTP/1.1.
    pub fn new(zone: Arc<str>) -> Rc<Self> {
        Self::with(HttpDialer::default(), zone)
    }
}

impl<D: Dial> Pool<D> {
    /// Makes a pool that connects to backend servers through `dialer`.
    pub fn with(dialer: D, zone: Arc<str>) -> Rc<Self> {
        let view = Arc::<View>::default();
        let shared = Rc::new(Shared {
            dialer,
            zone,
            preset: RefCell::new(view.preset.clone()),
            counters: RefCell::default(),
            hedge_budget: RefCell::new(hedge::Budget::new(view.preset.hedge_budget)),
            latency: RefCell::default(),
            stopping: Cell::new(false),
        });
        Rc::new_cyclic(|weak_self| Self {
            shared,
            view: RefCell::new(view),
            services: RefCell::default(),
            tickets: RefCell::default(),
            weak_self: weak_self.clone(),
            maintenance_started: Cell::new(false),
            closed: Cell::new(false),
        })
    }

    /// Applies new configuration documents; `owned` says which services this instance owns.
    ///
    /// A draining server gets no new work: queued work goes to other servers, running sub-requests
    /// are finished, then its connections are closed. When a service is no longer owned, its idle
    /// connections are closed at once; further work for it runs over a few connections that are
    /// opened on demand.
    pub fn update(&self, view: Arc<View>, owned: &dyn Fn(&str) -> bool) {
        if self.closed.get() {
            return;
        }
        self.start_maintenance();
        *self.shared.preset.borrow_mut() = view.preset.clone();
        self.shared
            .hedge_budget
            .borrow_mut()
            .set_share(view.preset.hedge_budget);
        let previous = std::mem::replace(&mut *self.view.borrow_mut(), view.clone());
        self.remove_unlisted(&view);
        for (name, listed) in &view.catalog.services {
            let owned = owned(name);
            let known = self.services.borrow().get(name).cloned();
            let service = match known {
                Some(service) => service,
                None if owned => self.add(name),
                None => continue,
            };
            update::apply(&service, listed, &view, owned, &previous);
        }
    }

    fn start_maintenance(&self) {
        if !self.maintenance_started.replace(true) {
            monoio::spawn(maintenance::run(self.weak_self.clone()));
        }
    }

    fn add(&self, name: &Arc<str>) -> Rc<Service<D>> {
        let service = Service::new(name.clone(), self.shared.clone());
        self.services
            .borrow_mut()
            .insert(name.clone(), service.clone());
        service
    }

    fn remove_unlisted(&self, view: &View) {
        let mut removed = Vec::new();
        self.services.borrow_mut().retain(|name, service| {
            let listed = view.catalog.services.contains_key(name);
            if !listed {
                removed.push(service.clone());
            }
            listed
        });
        for service in removed {
            service.refuse_all(Reason::UnknownService, Duration::ZERO);
            update::apply(
                &service,
                &config::catalog::Service::default(),
                view,
                false,
                view,
            );
        }
    }

    /// Returns the service `name`, which is added if the catalog lists it but it isn't owned.
    fn service(&self, name: &str) -> Option<Rc<Service<D>>> {
        if let Some(service) = self.services.borrow().get(name) {
            return Some(service.clone());
        }
        let view = self.view.borrow().clone();
        let (name, listed) = view.catalog.services.get_key_value(name)?;
        let service = self.add(name);
        update::apply(&service, listed, &view, false, &view);
        Some(service)
    }

    pub(crate) fn services(&self) -> Vec<Rc<Service<D>>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Runs one part of a query; always returns by its deadline.
    ///
    /// The result carries either the payload of a backend server's reply or a failure.
    pub async fn run_part(&self, request: PartRequest) -> Partial {
        let started_at = Instant::now();
        let work = Work::Part {
            index: request.index,
            shard: request.shard,
            snapshot: request.head.snapshot,
        };
        let (ticket, events) = ticket(&request.head, request.deadline, request.body, work);
        let outcome = self
            .run(&request.service, &ticket, request.index, events)
            .await;
        let sent = ticket.sent.get();
        let mut partial = Partial {
            index: request.index,
            request: request.head.request,
            attempt: request.head.attempt,
            first: sent.initial,
            hedges: sent.hedges,
            retries: sent.retries,
            elapsed_us: u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX),
            ..Partial::default()
        };
        match outcome {
            Ok(success) => {
                partial.snapshot = success.reply.snapshot;
                partial.payload = success.reply.payload;
                partial.server = success.server.to_string();
            }
            Err(failure) => partial.failure = Some(failure),
        }
        partial
    }

    /// Sends a call to one backend server; a call with an idempotency key at most once.
    ///
    /// The reply's payload is the JSON of the server's `result`.
    pub async fn run_call(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let head = request.head.unwrap_or_default();
        let work = Work::Call { key: request.key };
        let (ticket, events) = ticket(&head, deadline, request.body, work);
        match self
            .run(&request.service, &ticket, CALL_INDEX, events)
            .await
        {
            Ok(success) => CallReply {
                status: STATUS_OK,
                payload: success.reply.payload,
                server: success.server.to_string(),
                ..CallReply::default()
            },
            Err(failure) => CallReply {
                failure: Some(failure),
                ..CallReply::default()
            },
        }
    }

    async fn run(
        &self,
        service: &str,
        ticket: &Rc<Ticket>,
        index: u32,
        events: UnboundedReceiver<Event>,
    ) -> Result<Success, Failure> {
        if self.shared.stopping.get() {
            return Err(self.refuse(Reason::Stopping));
        }
        let Some(service) = self.service(service) else {
            return Err(self.refuse(Reason::UnknownService));
        };
        let _registration =
            Registration::new(self, (ticket.request, ticket.attempt, index), ticket);
        let execution = Execution::new(service, ticket.clone());
        execution.run(events).await
    }

    fn refuse(&self, reason: Reason) -> Failure {
        self.shared.counters.borrow_mut().refused.count(reason);
        Failure {
            reason: reason.into(),
            not_run: true,
            ..Failure::default()
        }
    }

    /// Cancels the queued and running work of a request: the parts that it lists, or all if it
    /// lists none.
    ///
    /// A call with an idempotency key that may have run isn't cancelled, as its outcome is still
    /// needed.
    pub fn cancel(&self, request: &CancelRequest) {
        let Ok(id) = Uuid::from_slice(&request.request) else {
            return;
        };
        let tickets = self.tickets.borrow();
        let all = (id, request.attempt, 0)..=(id, request.attempt, u32::MAX);
        let is_selected = |part: u32| request.parts.is_empty() || request.parts.contains(&part);
        tickets
            .range(all)
            .filter(|((_, _, part), _)| is_selected(*part))
            .map(|(_, ticket)| ticket)
            .filter(|ticket| !ticket.has_key() || ticket.is_not_run())
            .for_each(|ticket| ticket.notify(Event::Cancelled));
    }

    /// Returns the number of parts and calls that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.tickets.borrow().len()
    }

    /// Returns the counts of sub-requests and refusals since the pool was made.
    pub fn counters(&self) -> Counters {
        *self.shared.counters.borrow()
    }

    /// Returns the state of connections, slots and queues, as JSON of limited size.
    pub fn state(&self) -> serde_json::Value {
        let now = Instant::now();
        let mut services = self.services();
        services.sort_by(|left, right| left.name.cmp(&right.name));
        let dump = Dump {
            zone: &self.shared.zone,
            stopping: self.shared.stopping.get(),
            in_flight: self.in_flight(),
            hedge_tokens: self.shared.hedge_budget.borrow().tokens(),
            counters: self.counters(),
            services_total: services.len(),
            services: services
                .iter()
                .take(state::MAX_SERVICES)
                .map(|service| state::ServiceState::new(service, now))
                .collect(),
        };
        serde_json::to_value(dump).unwrap_or_default()
    }

    /// Drains the pool, then closes its connections.
    ///
    /// New work is refused; queued and running work is finished, for at most the preset's
    /// `drain_ms`.
    pub async fn close(self: Rc<Self>) {
        self.shared.stopping.set(true);
        let drain_timeout = Duration::from_millis(self.shared.preset.borrow().drain_ms);
        let drain_by = Instant::now() + drain_timeout;
        while self.in_flight() > 0 && Instant::now() < drain_by {
            monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.closed.set(true);
        let empty = config::catalog::Service::default();
        let view = self.view.borrow().clone();
        let services = self.services();
        for service in &services {
            update::apply(service, &empty, &view, false, &view);
        }
        let any_open = || services.iter().any(|service| has_connections(service));
        while any_open() && Instant::now() < drain_by {
            monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

fn has_connections<D: Dial>(service: &Service<D>) -> bool {
    let servers = service.servers.borrow();
    servers
        .iter()
        .any(|server| server.inner.borrow().connections > 0)
}

fn ticket(
    head: &Head,
    deadline: Instant,
    body: Bytes,
    work: Work,
) -> (Rc<Ticket>, UnboundedReceiver<Event>) {
    let (events, receiver) = mpsc::unbounded();
    let ticket = Ticket {
        request: Uuid::from_slice(&head.request).unwrap_or_default(),
        attempt: head.attempt,
        class: Class::from_number(head.class),
        deadline,
        body,
        work,
        next_kind: Cell::new(Kind::Initial),
        awaited: Cell::new(true),
        queue_key: Cell::new(None),
        sent: Cell::new(SentCounts::default()),
        assigned: Cell::new(0),
        not_run: Cell::new(0),
        excluded: RefCell::default(),
        running: RefCell::default(),
        events,
    };
    (Rc::new(ticket), receiver)
}

/// Keeps a ticket in the pool's list of those in flight, until it is dropped.
struct Registration<'a, D: Dial> {
    pool: &'a Pool<D>,
    id: TicketId,
    ticket: &'a Rc<Ticket>,
}

impl<'a, D: Dial> Registration<'a, D> {
    fn new(pool: &'a Pool<D>, id: TicketId, ticket: &'a Rc<Ticket>) -> Self {
        pool.tickets.borrow_mut().insert(id, ticket.clone());
        Self { pool, id, ticket }
    }
}

impl<D: Dial> Drop for Registration<'_, D> {
    fn drop(&mut self) {
        let mut tickets = self.pool.tickets.borrow_mut();
        let is_same = tickets
            .get(&self.id)
            .is_some_and(|ticket| Rc::ptr_eq(ticket, self.ticket));
        if is_same {
            tickets.remove(&self.id);
        }
    }
}

//! The handle that runs work on backend servers.

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
    Http, //
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
    part::{
        Answer,
        Guard, //
    },
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
        Sent,
        Ticket,
        Work, //
    },
    update,
    upkeep, //
};

/// Stands for the part index of a call.
const CALL: u32 = u32::MAX;
/// Status of a call that a backend server ran.
const OK: u32 = 200;
/// Time between two looks at whether a closing pool is drained.
const DRAIN_PERIOD: Duration = Duration::from_millis(5);

/// One part of a query.
#[derive(Debug, Clone)]
pub struct Job {
    /// What the request carries.
    pub head: Head,
    /// Position of the part in the query.
    pub index: u32,
    /// Shard to read.
    pub shard: Arc<str>,
    /// Service that holds the shard.
    pub service: Arc<str>,
    /// The query, as JSON.
    pub body: Bytes,
    /// When the answer is of no more use.
    pub deadline: Instant,
}

/// Request, attempt and part of a piece of work.
type Id = (Uuid, u32, u32);

/// The connections of one instance to backend servers.
#[derive(Debug)]
pub struct Pool<D: Dial = Http> {
    shared: Rc<Shared<D>>,
    view: RefCell<Arc<View>>,
    services: RefCell<HashMap<Arc<str>, Rc<Service<D>>>>,
    tickets: RefCell<BTreeMap<Id, Rc<Ticket>>>,
    me: std::rc::Weak<Self>,
    upkeep: Cell<bool>,
}

impl Pool<Http> {
    /// Makes a pool without connections, for an instance in availability zone `zone`.
    pub fn new(zone: Arc<str>) -> Rc<Self> {
        Self::with(Http::default(), zone)
    }
}

impl<D: Dial> Pool<D> {
    /// Makes a pool that reaches backend servers through `dialer`.
    pub fn with(dialer: D, zone: Arc<str>) -> Rc<Self> {
        let view = Arc::<View>::default();
        let shared = Rc::new(Shared {
            dialer,
            zone,
            preset: RefCell::new(view.preset.clone()),
            counters: RefCell::default(),
            hedges: RefCell::new(hedge::Budget::new(view.preset.hedge_budget)),
            common: RefCell::default(),
            stopping: Cell::new(false),
        });
        Rc::new_cyclic(|me| Self {
            shared,
            view: RefCell::new(view),
            services: RefCell::default(),
            tickets: RefCell::default(),
            me: me.clone(),
            upkeep: Cell::new(false),
        })
    }

    /// Takes in new documents and the names of the services that this instance owns now.
    ///
    /// A server that is leaving gets no new work: what is queued moves to other servers, what runs
    /// is finished, then its connections are closed. Of a service that isn't owned any more, the
    /// idle connections are closed at once; what still comes for it runs over a few connections
    /// that are opened on demand.
    pub fn update(&self, view: Arc<View>, owned: &dyn Fn(&str) -> bool) {
        self.start_upkeep();
        *self.shared.preset.borrow_mut() = view.preset.clone();
        self.shared
            .hedges
            .borrow_mut()
            .set_share(view.preset.hedge_budget);
        let before = std::mem::replace(&mut *self.view.borrow_mut(), view.clone());
        self.drop_unlisted(&view);
        for (name, listed) in &view.catalog.services {
            let owned = owned(name);
            let known = self.services.borrow().get(name).cloned();
            let service = match known {
                Some(service) => service,
                None if owned => self.add(name),
                None => continue,
            };
            update::apply(&service, listed, &view, owned, &before);
        }
    }

    fn start_upkeep(&self) {
        if !self.upkeep.replace(true) {
            monoio::spawn(upkeep::run(self.me.clone()));
        }
    }

    fn add(&self, name: &Arc<str>) -> Rc<Service<D>> {
        let service = Service::new(name.clone(), self.shared.clone());
        self.services
            .borrow_mut()
            .insert(name.clone(), service.clone());
        service
    }

    fn drop_unlisted(&self, view: &View) {
        let mut gone = Vec::new();
        self.services.borrow_mut().retain(|name, service| {
            let listed = view.catalog.services.contains_key(name);
            if !listed {
                gone.push(service.clone());
            }
            listed
        });
        for service in gone {
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

    /// Returns the service `name`, also one that isn't owned.
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

    /// Runs one part; always returns by its deadline.
    pub async fn part(&self, job: Job) -> Partial {
        let began = Instant::now();
        let work = Work::Part {
            index: job.index,
            shard: job.shard,
            snapshot: job.head.snapshot,
        };
        let (ticket, events) = ticket(&job.head, job.deadline, job.body, work);
        let outcome = self.run(&job.service, &ticket, job.index, events).await;
        let sent = ticket.sent.get();
        let mut partial = Partial {
            index: job.index,
            request: job.head.request,
            attempt: job.head.attempt,
            first: sent.first,
            hedges: sent.hedges,
            retries: sent.retries,
            elapsed_us: u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX),
            ..Partial::default()
        };
        match outcome {
            Ok(answer) => {
                partial.snapshot = answer.reply.snapshot;
                partial.payload = answer.reply.payload;
                partial.server = answer.server.to_string();
            }
            Err(failure) => partial.failure = Some(failure),
        }
        partial
    }

    /// Sends a call to one backend server; with a key exactly once or not at all.
    ///
    /// The reply's payload is the JSON of the server's `result`.
    pub async fn send(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let head = request.head.unwrap_or_default();
        let work = Work::Call { key: request.key };
        let (ticket, events) = ticket(&head, deadline, request.body, work);
        match self.run(&request.service, &ticket, CALL, events).await {
            Ok(answer) => CallReply {
                status: OK,
                payload: answer.reply.payload,
                server: answer.server.to_string(),
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
    ) -> Result<Answer, Failure> {
        if self.shared.stopping.get() {
            return Err(self.refuse(Reason::Stopping));
        }
        let Some(service) = self.service(service) else {
            return Err(self.refuse(Reason::UnknownService));
        };
        let _listed = Listed::new(self, (ticket.request, ticket.attempt, index), ticket);
        let guard = Guard::new(service, ticket.clone());
        guard.run(events).await
    }

    fn refuse(&self, reason: Reason) -> Failure {
        self.shared.counters.borrow_mut().refused.count(reason);
        Failure {
            reason: reason.into(),
            not_run: true,
            ..Failure::default()
        }
    }

    /// Abandons parts that are queued or running.
    ///
    /// A call with a key that was sent already isn't abandoned: its outcome is still wanted.
    pub fn cancel(&self, request: &CancelRequest) {
        let Ok(id) = Uuid::from_slice(&request.request) else {
            return;
        };
        let tickets = self.tickets.borrow();
        let all = (id, request.attempt, 0)..=(id, request.attempt, u32::MAX);
        let wanted = |part: u32| request.parts.is_empty() || request.parts.contains(&part);
        tickets
            .range(all)
            .filter(|((_, _, part), _)| wanted(*part))
            .map(|(_, ticket)| ticket)
            .filter(|ticket| !ticket.is_keyed() || ticket.is_not_run())
            .for_each(|ticket| ticket.tell(Event::Cancelled));
    }

    /// Returns the sub-requests that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.tickets.borrow().len()
    }

    /// Returns what the pool has done since it started.
    pub fn counters(&self) -> Counters {
        *self.shared.counters.borrow()
    }

    /// Returns connections, slots and queues, as JSON of bounded size.
    pub fn state(&self) -> serde_json::Value {
        let now = Instant::now();
        let mut services = self.services();
        services.sort_by(|one, other| one.name.cmp(&other.name));
        let dump = Dump {
            zone: &self.shared.zone,
            stopping: self.shared.stopping.get(),
            in_flight: self.in_flight(),
            hedge_tokens: self.shared.hedges.borrow().tokens(),
            counters: self.counters(),
            services_total: services.len(),
            services: services
                .iter()
                .take(state::SERVICES_MAX)
                .map(|service| state::One::new(service, now))
                .collect(),
        };
        serde_json::to_value(dump).unwrap_or_default()
    }

    /// Closes every connection once it has no exchange on it.
    ///
    /// New work is refused; what is queued or running is finished, for at most the preset's
    /// `drain_ms`.
    pub async fn close(self: Rc<Self>) {
        self.shared.stopping.set(true);
        let longest = Duration::from_millis(self.shared.preset.borrow().drain_ms);
        let until = Instant::now() + longest;
        while self.in_flight() > 0 && Instant::now() < until {
            monoio::time::sleep(DRAIN_PERIOD).await;
        }
        let empty = config::catalog::Service::default();
        let view = self.view.borrow().clone();
        let services = self.services();
        for service in &services {
            update::apply(service, &empty, &view, false, &view);
        }
        let open = || services.iter().any(|service| has_connections(service));
        while open() && Instant::now() < until {
            monoio::time::sleep(DRAIN_PERIOD).await;
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
        kind: Cell::new(Kind::First),
        open: Cell::new(true),
        queued: Cell::new(None),
        sent: Cell::new(Sent::default()),
        sends: Cell::new(0),
        not_run: Cell::new(0),
        avoid: RefCell::default(),
        running: RefCell::default(),
        events,
    };
    (Rc::new(ticket), receiver)
}

/// Keeps a ticket listed for as long as it is in flight.
struct Listed<'a, D: Dial> {
    pool: &'a Pool<D>,
    id: Id,
    ticket: &'a Rc<Ticket>,
}

impl<'a, D: Dial> Listed<'a, D> {
    fn new(pool: &'a Pool<D>, id: Id, ticket: &'a Rc<Ticket>) -> Self {
        pool.tickets.borrow_mut().insert(id, ticket.clone());
        Self { pool, id, ticket }
    }
}

impl<D: Dial> Drop for Listed<'_, D> {
    fn drop(&mut self) {
        let mut tickets = self.pool.tickets.borrow_mut();
        let mine = tickets
            .get(&self.id)
            .is_some_and(|ticket| Rc::ptr_eq(ticket, self.ticket));
        if mine {
            tickets.remove(&self.id);
        }
    }
}

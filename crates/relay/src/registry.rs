//! All backend servers, by id and by service, as the store lists them.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use policy::{
    delegate::{
        self,
        Part,
        Plan, //
    },
    extra::{
        Bound,
        Budget, //
    },
    lapse::{
        Fate,
        Outage, //
    },
    subset, //
};
use route::{
    Table,
    Target, //
};
use tracing::info;

use crate::{
    peer::{
        Member,
        Peers, //
    },
    server::{
        Description,
        Server,
        Standing, //
    },
    service::Service,
};

/// Connections to a server whose service the operator hasn't described.
const UNDESCRIBED: usize = 1;

/// What a registry has to know of its surroundings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance itself.
    pub me: Member,
    /// Bound on further sub-requests.
    pub extra: Bound,
    /// Time for which a server that leaves goes on serving.
    pub drain: Duration,
}

/// The servers and services that an instance knows.
#[derive(Debug)]
pub struct Registry {
    settings: RefCell<Settings>,
    services: RefCell<HashMap<Arc<str>, Rc<Service>>>,
    servers: RefCell<HashMap<Arc<str>, Rc<Server>>>,
    accepted: RefCell<HashMap<Arc<str>, usize>>,
    members: RefCell<Vec<Member>>,
    plan: RefCell<Plan>,
    peers: Peers,
    gathered: RefCell<HashSet<Arc<str>>>,
    knows_instances: Cell<bool>,
    outage: RefCell<Outage>,
    is_listed: Cell<bool>,
    started: Instant,
    is_young: Cell<bool>,
}

impl Registry {
    /// Makes the empty registry of an instance that was started at `started`.
    pub fn new(settings: Settings, started: Instant) -> Rc<Self> {
        let me = settings.me.clone();
        let budget = Budget::new(settings.extra, 1, started);
        let peers = Service::new(Arc::from("peers"), me.zone.clone(), budget);
        Rc::new(Self {
            settings: RefCell::new(settings),
            services: RefCell::default(),
            servers: RefCell::default(),
            accepted: RefCell::default(),
            members: RefCell::new(vec![me]),
            plan: RefCell::new(Plan::Everyone),
            peers: Peers::new(peers),
            gathered: RefCell::default(),
            knows_instances: Cell::new(false),
            outage: RefCell::default(),
            is_listed: Cell::new(false),
            started,
            is_young: Cell::new(true),
        })
    }

    /// Takes settings that have changed.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = settings;
        self.share();
    }

    /// Returns the service of that name; one that nobody described has no servers.
    pub fn service(&self, name: &Arc<str>) -> Rc<Service> {
        if let Some(service) = self.services.borrow().get(name) {
            return service.clone();
        }
        let settings = self.settings.borrow();
        let zone = settings.me.zone.clone();
        let budget = Budget::new(settings.extra, self.known_instances(), self.started);
        let service = Service::new(name.clone(), zone, budget);
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), service.clone());
        service
    }

    /// Returns the services.
    pub fn services(&self) -> Vec<Rc<Service>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Returns the servers.
    pub fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().values().cloned().collect()
    }

    /// Returns whether the store's list of servers was read at least once.
    pub fn is_listed(&self) -> bool {
        self.is_listed.get()
    }

    /// Returns the number of instances that share the servers.
    pub fn instances(&self) -> usize {
        self.members.borrow().len()
    }

    /// Returns the number of instances, 0 until the list of them was read.
    fn known_instances(&self) -> usize {
        match self.knows_instances.get() {
            true => self.instances(),
            false => 0,
        }
    }

    /// Notes that the store's list can't be read.
    pub fn store_lost(&self, now: Instant) {
        self.outage.borrow_mut().lost(now);
    }

    /// Notes that the store's list was read.
    pub fn store_reached(&self, now: Instant) {
        if self.outage.borrow_mut().reached(now) {
            info!("registry: the list of servers can be read again.");
        }
    }

    /// Takes in the whole list of servers.
    pub fn replace(&self, descriptions: Vec<Description>, now: Instant) {
        let listed: HashSet<Arc<str>> = descriptions.iter().map(|one| one.id.clone()).collect();
        let known: Vec<Arc<str>> = self.servers.borrow().keys().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            self.remove(id, now);
        }
        for description in descriptions {
            self.put(description, now);
        }
        self.is_listed.set(true);
        self.share();
    }

    /// Takes in one entry that is new or has changed.
    pub fn update(&self, description: Description, now: Instant) {
        self.put(description, now);
        self.share();
    }

    fn put(&self, description: Description, now: Instant) {
        let known = self.servers.borrow().get(&description.id).cloned();
        let standing = match description.draining {
            true => Standing::LastResort(now + self.settings.borrow().drain / 2),
            false => Standing::Ready,
        };
        match known {
            Some(server) if server.description().is_same_start(&description) => {
                let was = server.standing();
                let is_draining_on = description.draining && was != Standing::Ready;
                if !is_draining_on && was != standing {
                    info!(server = %server.id(), service = %description.service, standing = standing.name(), "registry: server changed.");
                    server.set_standing(standing);
                }
                return;
            }
            Some(server) => self.forget(&server),
            None => {}
        }
        info!(server = %description.id, service = %description.service, address = %description.address, standing = standing.name(), "registry: server found.");
        let service = self.service(&description.service);
        let id = description.id.clone();
        let server = Server::new(description, &service, now);
        server.set_standing(standing);
        service.add(server.clone());
        self.servers.borrow_mut().insert(id, server);
    }

    /// Notes that a server's entry has gone.
    pub fn remove(&self, id: &str, now: Instant) {
        let Some(server) = self.servers.borrow().get(id).cloned() else {
            return;
        };
        let drain = self.settings.borrow().drain;
        let standing = match self.outage.borrow().fate(now, drain) {
            Fate::Kept(until) => Standing::Kept(until),
            Fate::LastResort(until) => Standing::LastResort(until),
        };
        if server.standing() == Standing::Ready {
            let service = &server.description().service;
            let is_outage = matches!(standing, Standing::Kept(_));
            info!(server = %id, %service, standing = standing.name(), is_outage, "registry: entry of the server has gone.");
            server.set_standing(standing);
        }
    }

    fn forget(&self, server: &Rc<Server>) {
        server.close();
        if let Some(service) = self.services.borrow().get(&server.description().service) {
            service.remove(server);
        }
        self.servers.borrow_mut().remove(server.id());
    }

    /// Takes in the instances that share the servers.
    pub fn set_members(&self, mut members: Vec<Member>) {
        let me = self.settings.borrow().me.clone();
        members.retain(|member| member.name != me.name);
        members.push(me.clone());
        members.sort_by(|one, other| one.name.cmp(&other.name));
        self.knows_instances.set(true);
        let powers: Vec<f64> = members.iter().map(|member| member.power).collect();
        let plan = delegate::plan(&powers);
        let large = members.iter().filter(|member| plan.gathers(member.power));
        let peers = match plan.gathers(me.power) {
            true => Vec::new(),
            false => large.cloned().collect(),
        };
        let was = self.members.replace(members).len();
        let now = self.instances();
        if was != now {
            info!(
                was,
                now,
                ?plan,
                peers = peers.len(),
                "registry: instances changed."
            );
        }
        self.peers.set(peers);
        *self.plan.borrow_mut() = plan;
        self.share();
    }

    /// Returns the instances that gather queries for this one.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns whether this instance gathers its queries itself.
    pub fn gathers(&self) -> bool {
        let own = self.settings.borrow().me.power;
        self.plan.borrow().gathers(own)
    }

    /// Returns whether this instance has to know routes and servers at once: it answers requests
    /// itself, by plan or because no peer can be asked.
    pub fn answers(&self, now: Instant) -> bool {
        self.gathers() || !self.peers.is_reachable(now)
    }

    /// Returns whether the store's list can't be read at the moment.
    pub fn is_store_lost(&self) -> bool {
        self.outage.borrow().since.is_some()
    }

    /// Returns whether the service is a shard of some route.
    pub fn is_gathered(&self, service: &str) -> bool {
        self.gathered.borrow().contains(service)
    }

    /// Returns whether the instances that share the servers are known.
    pub fn knows_instances(&self) -> bool {
        self.knows_instances.get()
    }

    /// Takes in what the operator says of services.
    pub fn set_table(&self, table: &Table) {
        let described = table.services();
        let accepted = described.map(|service| (service.name.clone(), service.connections));
        *self.accepted.borrow_mut() = accepted.collect();
        let gathers = table.routes().filter_map(|route| match &route.target {
            Target::Gather(gather) => Some(&gather.services),
            _ => None,
        });
        *self.gathered.borrow_mut() = gathers.flatten().cloned().collect();
        self.share();
    }

    /// Drops the servers that have gone for good, and takes the whole share of connections once the
    /// instance is no longer new.
    pub fn sweep(&self, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        if self.is_young.get() && age >= subset::START {
            self.is_young.set(false);
            self.share();
        }
        let gone = |server: &Rc<Server>| server.is_gone(now);
        let gone: Vec<Rc<Server>> = self.servers().into_iter().filter(gone).collect();
        for server in &gone {
            info!(server = %server.id(), "registry: server dropped.");
            self.forget(server);
        }
        if !gone.is_empty() {
            self.share();
        }
    }

    /// Shares connections and budgets among the instances that are known.
    fn share(&self) {
        let settings = self.settings.borrow();
        let all = Part {
            share: 1.0,
            among: self.instances(),
        };
        let of_shards = self.plan.borrow().part(settings.me.power, all.among);
        for (name, service) in self.services.borrow().iter() {
            let part = match self.is_gathered(name) {
                true => of_shards,
                false => all,
            };
            let extra = Bound {
                allowance: settings.extra.allowance * part.share,
                ..settings.extra
            };
            let among = part.among.min(self.known_instances());
            service.share_budget(extra, among);
            self.share_connections(service, part);
        }
    }

    fn share_connections(&self, service: &Service, part: Part) {
        let accepted = self.accepted.borrow().get(service.name()).copied();
        let accepted = accepted.unwrap_or(UNDESCRIBED) as f64 * part.share;
        let servers = service.servers();
        let ready = |server: &&Rc<Server>| server.standing() == Standing::Ready;
        let ready: Vec<&Rc<Server>> = servers.iter().filter(ready).collect();
        let share = match self.knows_instances.get() {
            true => subset::share(accepted as usize, part.among, ready.len()),
            false => subset::Share::least(ready.len()),
        };
        let share = share.at_age(self.started.elapsed());
        let position = self.position();
        for (index, server) in ready.iter().enumerate() {
            let used = subset::uses(position, index, ready.len(), share);
            server.set_connections(if used { share.connections } else { 0 });
        }
    }

    /// Returns the place of this instance in the sorted fleet.
    fn position(&self) -> usize {
        let settings = self.settings.borrow();
        let members = self.members.borrow();
        let me = |member: &Member| member.name == settings.me.name;
        members.iter().position(me).unwrap_or_default()
    }
}

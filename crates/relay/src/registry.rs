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
    extra::Bound,
    lapse::{
        Fate,
        Outage, //
    },
    subset, //
};
use route::Table;
use tracing::info;

use crate::{
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
    /// Name of the instance.
    pub me: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
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
    instances: RefCell<Vec<Arc<str>>>,
    outage: RefCell<Outage>,
    is_listed: Cell<bool>,
}

impl Registry {
    /// Makes an empty registry.
    pub fn new(settings: Settings) -> Rc<Self> {
        let me = settings.me.clone();
        Rc::new(Self {
            settings: RefCell::new(settings),
            services: RefCell::default(),
            servers: RefCell::default(),
            accepted: RefCell::default(),
            instances: RefCell::new(vec![me]),
            outage: RefCell::default(),
            is_listed: Cell::new(false),
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
        let instances = self.instances.borrow().len();
        let service = Service::new(
            name.clone(),
            settings.zone.clone(),
            settings.extra,
            instances,
        );
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
        self.instances.borrow().len()
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
                    info!(server = %server.id(), service = %description.service, ?standing, "registry: server changed.");
                    server.set_standing(standing);
                }
                return;
            }
            Some(server) => self.forget(&server),
            None => {}
        }
        info!(server = %description.id, service = %description.service, address = %description.address, ?standing, "registry: server found.");
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
            info!(server = %id, %service, ?standing, "registry: entry of the server has gone.");
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
    pub fn set_instances(&self, mut instances: Vec<Arc<str>>) {
        let me = self.settings.borrow().me.clone();
        if !instances.contains(&me) {
            instances.push(me);
        }
        instances.sort();
        let was = self.instances.replace(instances).len();
        let now = self.instances();
        if was != now {
            info!(was, now, "registry: number of instances changed.");
        }
        self.share();
    }

    /// Takes in what the operator says of services.
    pub fn set_table(&self, table: &Table) {
        let described = table.services();
        let accepted = described.map(|service| (service.name.clone(), service.connections));
        *self.accepted.borrow_mut() = accepted.collect();
        self.share();
    }

    /// Drops the servers that have gone for good.
    pub fn sweep(&self, now: Instant) {
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
        let instances = self.instances.borrow();
        let settings = self.settings.borrow();
        let position = instances.iter().position(|one| *one == settings.me);
        let position = position.unwrap_or_default();
        let accepted = self.accepted.borrow();
        for (name, service) in self.services.borrow().iter() {
            service.share_budget(settings.extra, instances.len());
            let accepted = accepted.get(name).copied().unwrap_or(UNDESCRIBED);
            let servers = service.servers();
            let ready = |server: &&Rc<Server>| server.standing() == Standing::Ready;
            let ready: Vec<&Rc<Server>> = servers.iter().filter(ready).collect();
            let share = subset::share(accepted, instances.len(), ready.len());
            for (index, server) in ready.iter().enumerate() {
                let used = subset::uses(position, index, ready.len(), share);
                server.set_connections(if used { share.connections } else { 0 });
            }
        }
    }
}

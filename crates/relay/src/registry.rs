//! All backend servers, by id and by service, as the store lists them.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
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
    delegation::{
        self,
        Capacity,
        Plan, //
    },
    departure::{
        Cause,
        Departures,
        Source, //
    },
    expiry::{
        Outage,
        Retention, //
    },
    retry_budget::{
        Bound,
        Budget, //
    },
    standby, subset,
    watchers::{
        self,
        Candidate,
        Reliability, //
    },
};
use route::{
    Table,
    Target, //
};
use tracing::{
    debug,
    info, //
};
use web::Stop;

use crate::{
    drain::Drain,
    headers::HeaderNames,
    links::Links,
    peers::{
        Member,
        Peers, //
    },
    server::{
        Description,
        Notices,
        Server,
        Standing, //
    },
    service::Service,
};

/// Maximum number of connections that a server accepts from all instances together, if the operator hasn't
/// described its service.
const MAX_UNDESCRIBED_CONNECTIONS: usize = 1;

/// Heartbeats that are missed in the shortest outage of the store in which entries expire. They expire after three
/// intervals, of which one may have passed before it.
const MISSED_HEARTBEATS: u32 = 2;

/// Settings of a registry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance.
    pub local: Member,
    /// Retry budget that all instances share for each service.
    pub retry_budget: Bound,
    /// Time for which a draining server keeps serving.
    pub drain_time: Duration,
    /// Time after which a configuration has to be in force.
    pub configuration_time: Duration,
    /// Interval at which servers confirm their entries.
    pub heartbeat: Duration,
    /// Names of the headers in servers' replies.
    pub names: Rc<HeaderNames>,
}

/// How an instance learns of changes in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store, and passes on what it learns.
    Watcher,
    /// It asks the watchers.
    Reader,
}

/// The servers and services that an instance knows.
#[derive(Debug)]
pub struct Registry {
    settings: RefCell<Settings>,
    services: RefCell<HashMap<Arc<str>, Rc<Service>>>,
    servers: RefCell<HashMap<Arc<str>, Rc<Server>>>,
    max_connections: RefCell<HashMap<Arc<str>, usize>>,
    members: RefCell<Vec<Member>>,
    plan: RefCell<Plan>,
    peers: Peers,
    links: Rc<Links>,
    drain: Rc<Drain>,
    watchers: RefCell<Vec<Member>>,
    instances_listed: Stop,
    shard_services: RefCell<HashSet<Arc<str>>>,
    knows_instances: Cell<bool>,
    outage: RefCell<Outage>,
    departures: RefCell<Departures>,
    /// Servers that said in a reply that they are leaving and that aren't dropped yet.
    leaving: Rc<RefCell<Vec<Arc<str>>>>,
    /// Servers that name a limit, in requests a second.
    limits: RefCell<Vec<(Arc<str>, f64)>>,
    /// Index in `limits` of the first one that the next reply to a peer names.
    next_limit: Cell<usize>,
    is_listed: Cell<bool>,
    started_at: Instant,
    is_starting: Cell<bool>,
}

impl Registry {
    /// Creates the empty registry of an instance that was started at `started_at`.
    pub fn new(settings: Settings, started_at: Instant) -> Rc<Self> {
        let local = settings.local.clone();
        let budget = Budget::new(settings.retry_budget, 1, started_at);
        let drain = Rc::<Drain>::default();
        let peers = || {
            let name = Arc::from("peers");
            Service::new(
                name,
                local.zone.clone(),
                budget.clone(),
                None,
                drain.clone(),
            )
        };
        let peers = Peers::new(peers(), peers());
        Rc::new(Self {
            settings: RefCell::new(settings),
            services: RefCell::default(),
            servers: RefCell::default(),
            max_connections: RefCell::default(),
            members: RefCell::new(vec![local]),
            plan: RefCell::new(Plan::Everyone),
            peers,
            links: Rc::default(),
            drain,
            watchers: RefCell::default(),
            instances_listed: Stop::new(),
            shard_services: RefCell::default(),
            knows_instances: Cell::new(false),
            outage: RefCell::default(),
            departures: RefCell::default(),
            leaving: Rc::default(),
            limits: RefCell::default(),
            next_limit: Cell::new(0),
            is_listed: Cell::new(false),
            started_at,
            is_starting: Cell::new(true),
        })
    }

    /// Applies changed settings.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = settings;
        self.apply_shares();
    }

    /// Returns the service of that name, which is created without servers if it is unknown.
    pub fn service(&self, name: &Arc<str>) -> Rc<Service> {
        if let Some(service) = self.services.borrow().get(name) {
            return service.clone();
        }
        let settings = self.settings.borrow();
        let zone = settings.local.zone.clone();
        let budget = Budget::new(
            settings.retry_budget,
            self.known_instance_count(),
            self.started_at,
        );
        let links = Some(self.links.clone());
        let service = Service::new(name.clone(), zone, budget, links, self.drain.clone());
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), service.clone());
        service
    }

    /// Returns the shutdown of this instance.
    pub(crate) fn drain(&self) -> &Rc<Drain> {
        &self.drain
    }

    /// Returns all services.
    pub fn services(&self) -> Vec<Rc<Service>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Returns all servers.
    pub fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().values().cloned().collect()
    }

    /// Returns whether the servers were listed at least once.
    pub fn is_listed(&self) -> bool {
        self.is_listed.get()
    }

    /// Returns the number of instances that share the servers.
    pub fn instances(&self) -> usize {
        self.members.borrow().len()
    }

    /// Returns the number of instances; 0 until they were listed.
    fn known_instance_count(&self) -> usize {
        match self.knows_instances.get() {
            true => self.instances(),
            false => 0,
        }
    }

    /// Records that the store has been unavailable since `since`.
    pub fn store_unavailable(&self, since: Instant) {
        self.outage.borrow_mut().record_unavailable(since);
    }

    /// Records that the store is available.
    pub fn store_available(&self, now: Instant) {
        let min_expiry = self.settings.borrow().heartbeat * MISSED_HEARTBEATS;
        if self.outage.borrow_mut().record_available(now, min_expiry) {
            info!("registry: the store is available again.");
        }
    }

    /// Records that the store was restored from an older copy: it may lack entries of servers that still run, and
    /// list others that have left.
    pub fn store_restored(&self, now: Instant) {
        self.departures.borrow_mut().store_restored(now);
        self.outage.borrow_mut().record_restored(now);
    }

    /// Replaces the servers by a complete listing.
    pub fn replace(&self, descriptions: Vec<Description>, now: Instant) {
        let listed: HashSet<Arc<str>> = descriptions.iter().map(|one| one.id.clone()).collect();
        let known: Vec<Arc<str>> = self.servers.borrow().keys().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            self.remove(id, now);
        }
        for description in descriptions {
            self.upsert(description, Source::Listing, now);
        }
        self.is_listed.set(true);
        self.apply_shares();
    }

    /// Adds or updates one server whose entry was changed.
    pub fn update(&self, description: Description, now: Instant) {
        self.upsert(description, Source::Change, now);
        self.apply_shares();
    }

    /// Returns the standing of a server by its entry; none if it isn't used.
    fn listed_standing(
        &self,
        description: &Description,
        source: Source,
        now: Instant,
    ) -> Option<Standing> {
        let Description {
            id, started_at_ms, ..
        } = description;
        let mut departures = self.departures.borrow_mut();
        if description.draining {
            departures.record(id, *started_at_ms, Cause::Announced, now);
        }
        match departures.announced_at(id, *started_at_ms) {
            Some(at) => {
                let until = at + self.settings.borrow().drain_time / 2;
                (now < until).then_some(Standing::LastResort(until))
            }
            None if departures.may_return(id, *started_at_ms, source) => {
                departures.forget(id);
                Some(Standing::Ready)
            }
            None => None,
        }
    }

    fn upsert(&self, description: Description, source: Source, now: Instant) {
        let known = self.servers.borrow().get(&description.id).cloned();
        let Some(standing) = self.listed_standing(&description, source, now) else {
            debug!(server = %description.id, service = %description.service, "registry: entry ignored, the server has left.");
            return;
        };
        match known {
            Some(server) if server.description().is_same_start(&description) => {
                if server.standing() != standing {
                    info!(server = %server.id(), service = %description.service, standing = standing.name(), "registry: server changed.");
                    server.set_standing(standing);
                }
                return;
            }
            Some(server) => self.drop_server(&server),
            None => {}
        }
        info!(server = %description.id, service = %description.service, address = %description.address, standing = standing.name(), "registry: server found.");
        let service = self.service(&description.service);
        let id = description.id.clone();
        let notices = {
            let settings = self.settings.borrow();
            Notices {
                names: settings.names.clone(),
                last_resort: settings.drain_time / 2,
                announced: self.leaving.clone(),
            }
        };
        let server = Server::new(description, &service, notices, now);
        server.set_standing(standing);
        service.add(server.clone());
        self.links.add(&server);
        self.servers.borrow_mut().insert(id, server);
    }

    /// Records that a peer has had a reply of the server `id` that says that it is leaving.
    pub(crate) fn mark_leaving(&self, id: &str, now: Instant) {
        if let Some(server) = self.servers.borrow().get(id) {
            server.mark_leaving(now);
        }
    }

    /// Returns the ids of servers that said in a reply that they are leaving.
    pub(crate) fn leaving_servers(&self) -> Vec<Arc<str>> {
        self.leaving.borrow().clone()
    }

    /// Records that a peer has had a reply of the server `id` that names a limit.
    pub(crate) fn name_limit(&self, id: &str, per_s: f64, now: Instant) {
        if let Some(server) = self.servers.borrow().get(id) {
            server.name_limit(per_s, now);
        }
    }

    /// Returns the ids and the limits of servers that name one, `max` at most and others each time.
    pub(crate) fn next_limits(&self, max: usize) -> Vec<(Arc<str>, f64)> {
        let limits = self.limits.borrow();
        let count = max.min(limits.len());
        let first = self.next_limit.get();
        self.next_limit.set((first + count) % limits.len().max(1));
        let picked = limits.iter().cycle().skip(first).take(count);
        picked.cloned().collect()
    }

    /// Remembers the servers that name a limit.
    fn record_limits(&self) {
        let servers = self.servers.borrow();
        let limit = |server: &Rc<Server>| Some((server.id().clone(), server.named_limit()?));
        *self.limits.borrow_mut() = servers.values().filter_map(limit).collect();
    }

    /// Remembers the servers that said in a reply that they are leaving.
    fn record_departures(&self, now: Instant) {
        let mut departures = self.departures.borrow_mut();
        departures.expire(now);
        let mut leaving = Vec::new();
        for server in self.servers.borrow().values() {
            if let Some(at) = server.said_leaving_at() {
                let start = server.description().started_at_ms;
                departures.record(server.id(), start, Cause::Announced, at);
                leaving.push(server.id().clone());
            }
        }
        *self.leaving.borrow_mut() = leaving;
    }

    /// Records that a server's entry was removed or has expired.
    pub fn remove(&self, id: &str, now: Instant) {
        let Some(server) = self.servers.borrow().get(id).cloned() else {
            return;
        };
        let drain = self.settings.borrow().drain_time;
        let standing = match self.outage.borrow().retention(now, drain) {
            Retention::Kept(until) => Standing::Kept(until),
            Retention::LastResort(until) => Standing::LastResort(until),
        };
        self.departures.borrow_mut().record(
            server.id(),
            server.description().started_at_ms,
            Cause::Removed,
            now,
        );
        if server.standing() == Standing::Ready {
            let service = &server.description().service;
            let is_outage = matches!(standing, Standing::Kept(_));
            info!(server = %id, %service, standing = standing.name(), is_outage, "registry: entry of the server removed or expired.");
            server.set_standing(standing);
        }
    }

    fn drop_server(&self, server: &Rc<Server>) {
        server.close();
        if let Some(service) = self.services.borrow().get(&server.description().service) {
            service.remove(server);
        }
        self.servers.borrow_mut().remove(server.id());
        self.links.remove(server);
    }

    /// Sets the instances that share the servers.
    pub fn set_members(&self, mut members: Vec<Member>) {
        let local = self.settings.borrow().local.clone();
        members.retain(|member| member.name != local.name);
        members.push(local.clone());
        members.sort_by(|one, other| one.name.cmp(&other.name));
        self.knows_instances.set(true);
        let watchers = choose_watchers(&members);
        let watches = watchers.iter().any(|member| member.name == local.name);
        let watcher_count = watchers.len();
        *self.watchers.borrow_mut() = watchers;
        let cores: Vec<f64> = members.iter().map(|member| member.cores).collect();
        let plan = delegation::plan(&cores);
        let large = members.iter().filter(|member| plan.gathers(member.cores));
        let peers = match plan.gathers(local.cores) {
            true => Vec::new(),
            false => large.cloned().collect(),
        };
        let standby = choose_standby(&local, &members, &plan, &peers);
        let was = self.members.replace(members).len();
        let now = self.instances();
        if was != now {
            info!(
                was,
                now,
                ?plan,
                peers = peers.len(),
                standby = standby.len(),
                watchers = watcher_count,
                watches,
                "registry: instances changed."
            );
        }
        self.peers.set_members(peers, standby);
        *self.plan.borrow_mut() = plan;
        self.apply_shares();
        self.instances_listed.set();
    }

    /// Waits until the instances were listed at least once.
    pub(crate) fn wait_for_instances(&self) -> impl std::future::Future<Output = ()> {
        self.instances_listed.wait()
    }

    /// Returns the name of this instance.
    pub(crate) fn local_name(&self) -> Arc<str> {
        self.settings.borrow().local.name.clone()
    }

    /// Returns the availability zone of this instance.
    pub(crate) fn local_zone(&self) -> Arc<str> {
        self.settings.borrow().local.zone.clone()
    }

    /// Returns how this instance learns of changes in the store.
    pub fn store_role(&self) -> StoreRole {
        let watchers = self.watchers.borrow();
        let local = self.local_name();
        match watchers.is_empty() || watchers.iter().any(|member| member.name == local) {
            true => StoreRole::Watcher,
            false => StoreRole::Reader,
        }
    }

    /// Returns the names of the instances that watch the store.
    pub fn watcher_names(&self) -> Vec<Arc<str>> {
        let watchers = self.watchers.borrow();
        watchers.iter().map(|member| member.name.clone()).collect()
    }

    /// Returns whether other instances rely on what this one reads of the store.
    pub fn supplies_others(&self) -> bool {
        let watches = self.store_role() == StoreRole::Watcher;
        watches && self.watchers.borrow().len() < self.instances()
    }

    /// Returns the time within which a change of routes or servers must take effect.
    pub(crate) fn change_time(&self) -> Duration {
        let settings = self.settings.borrow();
        settings.drain_time.min(settings.configuration_time)
    }

    /// Returns the watchers to ask for the read number `turn` of this instance, in order, the most reliable ones first.
    pub(crate) fn watchers_to_ask(
        &self,
        turn: u64,
        reliability: impl Fn(&Member) -> Reliability,
    ) -> Vec<Member> {
        let watchers = self.watchers.borrow();
        let settings = self.settings.borrow();
        let mut groups: BTreeMap<Reliability, Vec<&Member>> = BTreeMap::new();
        for watcher in watchers.iter() {
            groups
                .entry(reliability(watcher))
                .or_default()
                .push(watcher);
        }
        let ordered = |watchers: Vec<&Member>| {
            let candidates: Vec<Candidate<'_>> =
                watchers.iter().map(|watcher| candidate(watcher)).collect();
            let order = watchers::order(&candidate(&settings.local), &candidates, turn);
            let members = order.into_iter().map(|index| watchers[index].clone());
            members.collect::<Vec<_>>()
        };
        groups.into_values().flat_map(ordered).collect()
    }

    /// Returns the instances that answer requests for this one.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the links of this instance to the servers.
    pub fn links(&self) -> Rc<Links> {
        self.links.clone()
    }

    /// Returns whether this instance gathers its queries itself.
    pub fn gathers_queries(&self) -> bool {
        let own_cores = self.settings.borrow().local.cores;
        self.plan.borrow().gathers(own_cores)
    }

    /// Returns whether this instance answers requests itself, by plan or because no peer is available, so
    /// that it needs changes of routes and servers without delay.
    pub fn answers_locally(&self, now: Instant) -> bool {
        self.gathers_queries() || !self.peers.is_reachable(now)
    }

    /// Returns whether the store is unavailable.
    pub fn is_store_unavailable(&self) -> bool {
        self.outage.borrow().unavailable_since.is_some()
    }

    /// Returns whether the service is a shard of a route.
    pub fn is_shard(&self, service: &str) -> bool {
        self.shard_services.borrow().contains(service)
    }

    /// Returns whether the instances that share the servers were listed at least once.
    pub fn knows_instances(&self) -> bool {
        self.knows_instances.get()
    }

    /// Applies the service descriptions of a new configuration.
    pub fn set_table(&self, table: &Table) {
        let described = table.services();
        let max_connections =
            described.map(|service| (service.name.clone(), service.max_connections));
        *self.max_connections.borrow_mut() = max_connections.collect();
        let gathers = table.routes().filter_map(|route| match &route.target {
            Target::Gather(gather) => Some(&gather.services),
            _ => None,
        });
        *self.shard_services.borrow_mut() = gathers.flatten().cloned().collect();
        self.apply_shares();
    }

    /// Drops the servers whose grace time is over, and takes the full share of connections once the
    /// instance has run for [`subset::STARTUP_PERIOD`].
    pub fn sweep(&self, now: Instant) {
        let age = now.saturating_duration_since(self.started_at);
        if self.is_starting.get() && age >= subset::STARTUP_PERIOD {
            self.is_starting.set(false);
            self.apply_shares();
        }
        self.record_departures(now);
        self.record_limits();
        let removable = |server: &Rc<Server>| server.is_removable(now);
        let removable: Vec<Rc<Server>> = self.servers().into_iter().filter(removable).collect();
        for server in &removable {
            info!(server = %server.id(), "registry: server dropped.");
            self.drop_server(server);
        }
        if !removable.is_empty() {
            self.apply_shares();
        }
    }

    /// Recomputes this instance's share of connections, retry budgets and rate limits.
    fn apply_shares(&self) {
        let now = Instant::now();
        let settings = self.settings.borrow();
        let whole = Capacity {
            share: 1.0,
            instances: self.instances(),
        };
        let gatherer_part = self
            .plan
            .borrow()
            .part(settings.local.cores, whole.instances);
        // Requests on every route are passed on to the instances that gather queries.
        let limit_share = match self.knows_instances.get() {
            true => gatherer_part.share / gatherer_part.instances.max(1) as f64,
            false => 0.0,
        };
        for (name, service) in self.services.borrow().iter() {
            let part = match self.is_shard(name) {
                true => gatherer_part,
                false => whole,
            };
            let retry_budget = Bound {
                allowance: settings.retry_budget.allowance * part.share,
                ..settings.retry_budget
            };
            let instances = part.instances.min(self.known_instance_count());
            service.share_budget(retry_budget, instances);
            self.share_connections(service, part);
            for server in service.servers() {
                server.set_limit_share(limit_share, now);
            }
        }
        let shard_shares = self.shard_shares();
        let shard_share = |zone: &str| shard_shares.get(zone).copied().unwrap_or_default();
        self.peers.set_zone_costs(&settings.local.zone, shard_share);
    }

    /// Returns the share of the shards that have a ready server in each zone.
    fn shard_shares(&self) -> HashMap<Arc<str>, f64> {
        let shards = self.shard_services.borrow();
        let services = self.services.borrow();
        let mut counts: HashMap<Arc<str>, f64> = HashMap::new();
        for service in shards.iter().filter_map(|name| services.get(name)) {
            let servers = service.servers();
            let ready = servers
                .iter()
                .filter(|one| one.standing() == Standing::Ready);
            let zones: HashSet<&Arc<str>> = ready.map(|one| &one.description().zone).collect();
            for zone in zones {
                *counts.entry(zone.clone()).or_default() += 1.0;
            }
        }
        let total = shards.len().max(1) as f64;
        counts.values_mut().for_each(|count| *count /= total);
        counts
    }

    fn share_connections(&self, service: &Service, part: Capacity) {
        let max_connections = self.max_connections.borrow().get(service.name()).copied();
        let max_connections =
            max_connections.unwrap_or(MAX_UNDESCRIBED_CONNECTIONS) as f64 * part.share;
        let servers = service.servers();
        let ready = |server: &&Rc<Server>| server.standing() == Standing::Ready;
        let ready: Vec<&Rc<Server>> = servers.iter().filter(ready).collect();
        let share = match self.knows_instances.get() {
            true => subset::share(max_connections as usize, part.instances, ready.len()),
            false => subset::Share::one_per_server(ready.len()),
        };
        let share = share.at_age(self.started_at.elapsed());
        let position = self.position();
        for (index, server) in ready.iter().enumerate() {
            let used = subset::is_assigned(position, index, ready.len(), share);
            server.set_max_connections(if used { share.connections } else { 0 });
        }
    }

    /// Returns the index of this instance among all instances, sorted by name.
    fn position(&self) -> usize {
        let settings = self.settings.borrow();
        let members = self.members.borrow();
        let is_local = |member: &Member| member.name == settings.local.name;
        members.iter().position(is_local).unwrap_or_default()
    }
}

fn candidate(member: &Member) -> Candidate<'_> {
    Candidate {
        name: &member.name,
        zone: &member.zone,
        cores: member.cores,
    }
}

fn choose_watchers(members: &[Member]) -> Vec<Member> {
    let candidates: Vec<Candidate<'_>> = members.iter().map(candidate).collect();
    watchers::choose(&candidates)
        .into_iter()
        .map(|index| members[index].clone())
        .collect()
}

/// Returns the instances that answer requests for the local one while its links are lost, beyond its `peers`.
fn choose_standby(
    local: &Member,
    members: &[Member],
    plan: &Plan,
    peers: &[Member],
) -> Vec<Member> {
    let others = members.iter().filter(|member| !peers.contains(member));
    let others: Vec<&Member> = others.collect();
    let candidates: Vec<Candidate<'_>> = others.iter().map(|member| candidate(member)).collect();
    standby::choose(&candidate(local), &candidates, |one| {
        plan.gathers(one.cores)
    })
    .into_iter()
    .map(|index| others[index].clone())
    .collect()
}

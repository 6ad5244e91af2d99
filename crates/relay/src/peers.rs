//! The instances that a request may be passed on to.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use policy::{
    delegation,
    hop::Overhead, //
};

use crate::{
    server::{
        Description,
        Server, //
    },
    service::Service,
};

/// Maximum number of connections to one peer; requests beyond that are answered locally.
const MAX_CONNECTIONS_PER_PEER: usize = 32;

/// An instance as its entry in the store describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Address that it listens on for peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Processor time available to it, in cores.
    pub cores: f64,
}

/// Instances that are asked for the same reason.
#[derive(Debug)]
struct Group {
    service: Rc<Service>,
    members: RefCell<Vec<Member>>,
}

impl Group {
    fn new(service: Rc<Service>) -> Self {
        Self {
            service,
            members: RefCell::default(),
        }
    }

    fn set_members(&self, members: Vec<Member>) {
        let previous = self.members.replace(members.clone());
        if previous == members {
            return;
        }
        let now = Instant::now();
        for server in self.service.servers() {
            let stays = |member: &Member| {
                let known = server.description();
                member.name == known.id
                    && member.address == known.address
                    && member.zone == known.zone
            };
            if !members.iter().any(stays) {
                server.close();
                self.service.remove(&server);
            }
        }
        for member in members {
            let known = self.service.servers();
            if !known.iter().any(|server| **server.id() == *member.name) {
                let server = Server::peer(description(member), &self.service, now);
                server.set_max_connections(MAX_CONNECTIONS_PER_PEER);
                self.service.add(server);
            }
        }
    }
}

/// The instances that answer requests for this one.
#[derive(Debug)]
pub struct Peers {
    /// Those that gather its queries; empty if it gathers them itself.
    gatherers: Group,
    /// Further ones that answer while the links of this instance are lost.
    standby: Group,
    /// Overhead of hops beyond the peer's own processing time.
    hop_overhead: RefCell<Overhead>,
}

impl Peers {
    /// Creates empty sets.
    pub(crate) fn new(gatherers: Rc<Service>, standby: Rc<Service>) -> Self {
        Self {
            gatherers: Group::new(gatherers),
            standby: Group::new(standby),
            hop_overhead: RefCell::default(),
        }
    }

    /// Returns whether any instance that gathers is available now.
    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        self.gatherers.service.is_reachable(now)
    }

    /// Returns the availability zones of the instances that gather.
    pub fn zones(&self) -> Vec<Arc<str>> {
        let peers = self.gatherers.service.servers();
        let zone = |peer: &Rc<Server>| peer.description().zone.clone();
        peers.iter().map(zone).collect()
    }

    /// Sets what the zone of each peer costs, given the share of the shards that have a server in a zone.
    pub(crate) fn set_zone_costs(&self, local_zone: &str, shard_share: impl Fn(&str) -> f64) {
        let groups = [&self.gatherers, &self.standby];
        for server in groups.iter().flat_map(|group| group.service.servers()) {
            let zone = &*server.description().zone;
            let cost = delegation::zone_cost(zone == local_zone, shard_share(zone));
            server.set_zone_cost(cost);
        }
    }

    /// Records the overhead of a hop beyond the peer's own processing time.
    pub(crate) fn record_hop_overhead(&self, overhead: Duration) {
        self.hop_overhead.borrow_mut().record(overhead);
    }

    /// Returns the expected overhead of a hop.
    pub(crate) fn hop_overhead(&self) -> Duration {
        self.hop_overhead.borrow().estimate()
    }

    /// Sets the instances that gather queries for this one, empty if it gathers them itself, and those that answer
    /// while its links are lost.
    pub(crate) fn set_members(&self, gatherers: Vec<Member>, standby: Vec<Member>) {
        self.gatherers.set_members(gatherers);
        self.standby.set_members(standby);
    }

    /// Chooses a peer that isn't among `tried`, with its service.
    pub(crate) fn try_choose(
        &self,
        baseline: Duration,
        tried: &[Rc<Server>],
        includes_standby: bool,
    ) -> Option<(Rc<Service>, Rc<Server>)> {
        let standby = includes_standby.then_some(&self.standby);
        let mut groups = std::iter::once(&self.gatherers).chain(standby);
        groups.find_map(|group| {
            let peer = group.service.try_choose(baseline, tried)?;
            Some((group.service.clone(), peer))
        })
    }
}

fn description(member: Member) -> Description {
    Description {
        id: member.name,
        service: Arc::from("peers"),
        address: member.address,
        zone: member.zone,
        slots: MAX_CONNECTIONS_PER_PEER,
        draining: false,
        warmup: Duration::ZERO,
        started_at_ms: None,
    }
}

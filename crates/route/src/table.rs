//! One version of the routes.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use crate::{
    limits::Limits,
    split::Split, //
};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once for each request of a caller.
    Once,
}

/// Services that a query is sent to all of.
#[derive(Debug, Clone, PartialEq)]
pub struct Gather {
    /// One service for each shard.
    pub services: Vec<Arc<str>>,
    /// Records in the answer.
    pub top: usize,
    /// Least share of the shards that an answer must hold, from 0 to 1.
    pub min_share: f64,
}

impl Gather {
    /// Returns the least number of shards that an answer must hold.
    pub fn min_shards(&self) -> usize {
        let shards = self.services.len();
        // A product such as 0.9 * 20 may come out just above the whole number that is meant.
        let least = (self.min_share * shards as f64 - 1e-9).ceil() as usize;
        least.clamp(1, shards.max(1))
    }
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// One server of the service.
    Service(Arc<str>),
    /// One server of one of the services.
    Split(Split),
    /// One server of each service.
    Gather(Gather),
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique in the table.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use to the caller.
    pub objective: Duration,
    /// Urgency; 0 comes first.
    pub rank: u32,
    /// Most servers that one request, or one part of a query, is sent to.
    pub attempts: usize,
    /// Where requests go.
    pub target: Target,
}

impl Route {
    /// Returns the services that requests may go to.
    pub fn services(&self) -> Vec<&Arc<str>> {
        match &self.target {
            Target::Service(service) => vec![service],
            Target::Split(split) => split.services().collect(),
            Target::Gather(gather) => gather.services.iter().collect(),
        }
    }
}

/// One service as the operator describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path of its servers' health check.
    pub health_path: Arc<str>,
    /// Connections that each of its servers accepts from all callers.
    pub connections: usize,
}

type Prefixes = HashMap<Arc<str>, Arc<Route>>;

/// All routes and services of one version.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    hosts: HashMap<String, Prefixes>,
    services: HashMap<Arc<str>, Service>,
    limits: Limits,
}

impl Table {
    /// Makes a table; of two routes with one host and prefix the later one holds.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for route in routes {
            let prefixes = hosts.entry(host_key(&route.host)).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let named = |service: Service| (service.name.clone(), service);
        Self {
            version,
            hosts,
            services: services.into_iter().map(named).collect(),
            limits,
        }
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(&host_key(host))?;
        let ends = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/');
        let mut ends: Vec<usize> = ends.map(|(index, _)| index).collect();
        ends.reverse();
        ends.into_iter().find_map(|end| prefixes.get(&path[..=end]))
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the description of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Returns the bounds on callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }
}

/// Host names don't tell upper from lower case, and the port isn't part of the name.
fn host_key(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        match port.bytes().all(|byte| byte.is_ascii_digit()) {
            true => name,
            false => host,
        }
    });
    name.to_ascii_lowercase()
}

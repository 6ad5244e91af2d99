//! One version of the routing table.

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
    /// It may run any number of times, so that it can be hedged and retried.
    Idempotent,
    /// It runs at most once for each request from a caller.
    AtMostOnce,
}

/// Target of a query that is sent to all of several services.
#[derive(Debug, Clone, PartialEq)]
pub struct Gather {
    /// One service for each shard.
    pub services: Vec<Arc<str>>,
    /// Maximum number of records in the answer.
    pub max_records: usize,
    /// Minimum share of the shards that an answer must hold, from 0 to 1.
    pub min_share: f64,
}

impl Gather {
    /// Returns the minimum number of shards that an answer must hold.
    pub fn min_shards(&self) -> usize {
        let shards = self.services.len();
        // Rounding may leave a product such as 0.9 * 20 just above the whole number.
        let min_shards = (self.min_share * shards as f64 - 1e-9).ceil() as usize;
        min_shards.clamp(1, shards.max(1))
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

/// Requests that are matched by host and path prefix, and where they go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique in the table.
    pub name: Arc<str>,
    /// Host name in the requests.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    pub kind: Kind,
    /// Longest time until the caller gets an answer.
    pub timeout: Duration,
    /// Latency objective: time within which an answer is of full use to the caller.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of sub-requests, each to another server, for one request or one shard of a query.
    pub max_attempts: usize,
    /// Service or services that requests are sent to.
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

/// A service as the operator configures it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path of its servers' health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that each of its servers accepts in total.
    pub max_connections: usize,
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
    /// Makes a table; of two routes with the same host and prefix, the later one is used.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for route in routes {
            let prefixes = hosts.entry(host_key(&route.host)).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let by_name = |service: Service| (service.name.clone(), service);
        Self {
            version,
            hosts,
            services: services.into_iter().map(by_name).collect(),
            limits,
        }
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(&host_key(host))?;
        let slashes = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/');
        let mut slashes: Vec<usize> = slashes.map(|(index, _)| index).collect();
        slashes.reverse();
        slashes
            .into_iter()
            .find_map(|slash| prefixes.get(&path[..=slash]))
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Returns the limits on callers' requests and connections.
    pub fn limits(&self) -> Limits {
        self.limits
    }
}

/// Returns the host name without the port and in lower case, as host names are case-insensitive.
fn host_key(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        match port.bytes().all(|byte| byte.is_ascii_digit()) {
            true => name,
            false => host,
        }
    });
    name.to_ascii_lowercase()
}

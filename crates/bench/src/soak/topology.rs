//! Addresses, services and configurations of a run.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
    time::Duration,
};

use adapter::Settings;
use error_stack::Report;
use policy::retry_budget::Bound;
use route::{
    Gather,
    Kind,
    Limits,
    Route,
    Service,
    Table,
    Target, //
};

use crate::{
    demo::{
        failure::Failure,
        layout::PortAllocator, //
    },
    servers::{
        content::{
            QUERY_PREFIX,
            READ_PREFIX,
            WRITE_PREFIX, //
        },
        HEALTH,
        HEARTBEAT, //
    },
};

/// Host header of the requests.
pub const HOST: &str = "soak.example";
/// Retry budget, far below the hedges and retries that the faults cause, so that it takes effect.
pub const RETRY_BUDGET: Bound = Bound {
    ratio: 0.02,
    allowance: 10.0,
    span: Duration::from_secs(10),
};
/// Time between `SIGTERM` and the kill of an instance.
pub const GRACE: Duration = Duration::from_secs(6);
/// Time for which a draining server continues to serve.
pub const SERVER_DRAIN: Duration = Duration::from_secs(2);
/// Time after which a configuration has to be in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(5);
/// Timeout of the route for queries.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of the other routes.
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Limit on the connections from all instances to a server.
const MAX_CONNECTIONS: usize = 40;
/// Maximum number of records in an answer to a query.
const MAX_RECORDS: usize = 20;
/// Servers of each service for idempotent requests: one more than the attempts that a route allows.
const READ_REPLICAS: usize = 3;
/// Services for idempotent requests, one for each version of the configuration.
const READ_SERVICES: [&str; 3] = ["read-0", "read-1", "read-2"];
/// Service for requests that must run at most once.
const WRITE_SERVICE: &str = "write";
/// Minimum number of shards.
const MIN_SHARDS: usize = 3;
/// Number of stand-in processes: the store and the proxy.
const STAND_INS: usize = 2;
/// Total number of processes for each instance.
const PROCESSES_PER_RELAY: usize = 5;
/// Minimum number of instances.
const MIN_RELAYS: usize = 3;
/// Number of processes above which a service has three servers instead of two.
const LARGE_RUN_PROCESSES: usize = 40;
/// CPU share of an instance, in cores, by its index. Some are so small that they delegate
/// work to larger ones.
const RELAY_CORES: [f64; 4] = [1.0, 0.2, 0.2, 0.5];

/// An instance.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Settings.
    pub settings: Settings,
    /// Path of the settings file.
    pub file: PathBuf,
    /// Path of its log.
    pub log: PathBuf,
    /// Address of the proxy's link that callers connect to.
    pub callers_link: SocketAddr,
    /// Address of the proxy's link to the store.
    pub store_link: SocketAddr,
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Service that the server belongs to.
    pub service: Arc<str>,
    /// Address that the server listens on.
    pub listen: SocketAddr,
    /// Address of the proxy's link that instances connect to.
    pub link: SocketAddr,
    /// Path of its log.
    pub log: PathBuf,
}

/// Addresses, instances, servers and services of a run.
#[derive(Debug)]
pub struct Topology {
    /// Address of the store.
    pub store: SocketAddr,
    /// Control address of the proxy.
    pub proxy: SocketAddr,
    /// The instances.
    pub relays: Vec<Relay>,
    /// The servers.
    pub servers: Vec<Server>,
    shards: Vec<Arc<str>>,
    /// Reserves the ports of the run.
    pub ports: PortAllocator,
}

impl Topology {
    /// Allocates addresses for a run of about `processes` processes, which keeps its files in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if there are too few free ports.
    pub fn new(processes: usize, folder: &Path) -> Result<Self, Report<Failure>> {
        let mut ports = PortAllocator::default();
        let (store, proxy) = (ports.next_address()?, ports.next_address()?);
        let relays = (processes / PROCESSES_PER_RELAY).max(MIN_RELAYS);
        let replicas = if processes > LARGE_RUN_PROCESSES {
            3
        } else {
            2
        };
        let other_servers = READ_SERVICES.len() * READ_REPLICAS + replicas;
        let shard_processes = processes.saturating_sub(relays + other_servers + STAND_INS);
        let shards: Vec<Arc<str>> = (0..(shard_processes / replicas).max(MIN_SHARDS))
            .map(|shard| format!("shard-{shard}").into())
            .collect();
        let relays = (0..relays).map(|index| relay(index, folder, &mut ports));
        let relays = relays.collect::<Result<_, _>>()?;
        let names = READ_SERVICES
            .into_iter()
            .chain([WRITE_SERVICE])
            .map(Arc::from);
        let mut servers = Vec::new();
        for service in shards.iter().cloned().chain(names) {
            let is_read_service = READ_SERVICES.contains(&&*service);
            for replica in 0..if is_read_service {
                READ_REPLICAS
            } else {
                replicas
            } {
                servers.push(Server {
                    listen: ports.next_address()?,
                    link: ports.next_address()?,
                    log: folder.join(format!("{service}-{replica}.jsonl")),
                    service: service.clone(),
                });
            }
        }
        Ok(Self {
            store,
            proxy,
            relays,
            servers,
            shards,
            ports,
        })
    }

    /// Returns the links of the proxy: the address that each listens on, and the one that it forwards to.
    pub fn links(&self) -> Vec<(SocketAddr, SocketAddr)> {
        let relays = self.relays.iter().flat_map(|relay| {
            [
                (relay.callers_link, relay.settings.callers),
                (relay.store_link, self.store),
            ]
        });
        let servers = self
            .servers
            .iter()
            .map(|server| (server.link, server.listen));
        relays.chain(servers).collect()
    }

    /// Returns a version of the configuration, from 0. Each version has a different service for idempotent
    /// requests, and different shards.
    pub fn table(&self, version: usize) -> Table {
        let shards = &self.shards;
        let queried = match version {
            0 => &shards[..shards.len() - 1],
            1 => &shards[..],
            _ => &shards[1..],
        };
        let query = Target::Gather(Gather {
            services: queried.to_vec(),
            max_records: MAX_RECORDS,
            min_share: 0.6,
        });
        let read_service = READ_SERVICES[version.min(READ_SERVICES.len() - 1)];
        let routes = vec![
            route("all", QUERY_PREFIX, Kind::Idempotent, QUERY_TIMEOUT, query),
            route(
                "read",
                READ_PREFIX,
                Kind::Idempotent,
                TIMEOUT,
                Target::Service(read_service.into()),
            ),
            route(
                "write",
                WRITE_PREFIX,
                Kind::AtMostOnce,
                TIMEOUT,
                Target::Service(WRITE_SERVICE.into()),
            ),
        ];
        let names = shards.iter().cloned().chain(
            READ_SERVICES
                .into_iter()
                .chain([WRITE_SERVICE])
                .map(Arc::from),
        );
        let services = names.map(|name| Service {
            name,
            health_path: HEALTH.into(),
            max_connections: MAX_CONNECTIONS,
        });
        let number = (version as u64 + 1) * 3;
        Table::new(number, routes, services.collect(), Limits::default())
    }
}

fn route(name: &str, prefix: &str, kind: Kind, timeout: Duration, target: Target) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        timeout,
        objective: timeout / 4,
        priority: 1,
        max_attempts: 2,
        target,
    }
}

fn relay(index: usize, folder: &Path, ports: &mut PortAllocator) -> Result<Relay, Report<Failure>> {
    let [admin, peers] = ports.next_address_pair()?;
    let store_link = ports.next_address()?;
    Ok(Relay {
        settings: Settings {
            name: format!("relay-{index}").into(),
            zone: ["a", "b"][index % 2].into(),
            callers: ports.next_address()?,
            readiness: ports.next_address()?,
            admin,
            peers,
            cores: RELAY_CORES[index % RELAY_CORES.len()],
            store: store_link,
            retry_budget: RETRY_BUDGET,
            server_drain_time: SERVER_DRAIN,
            configuration_time: CONFIGURATION_TIME,
            server_heartbeat: HEARTBEAT,
            grace: GRACE,
            is_first_start: false,
        },
        file: folder.join(format!("relay-{index}.yaml")),
        log: folder.join(format!("relay-{index}.log")),
        callers_link: ports.next_address()?,
        store_link,
    })
}

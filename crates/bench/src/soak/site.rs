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
        layout::Free, //
    },
    servers::{
        content::{
            QUERIES,
            READS,
            WRITES, //
        },
        HEALTH,
    },
};

/// Host that requests name.
pub const HOST: &str = "soak.example";
/// Bound on further sub-requests: far below what faults call for, so that it presses.
pub const EXTRA: Bound = Bound {
    ratio: 0.02,
    allowance: 10.0,
    span: Duration::from_secs(10),
};
/// Time between the signal to stop and the kill.
pub const GRACE: Duration = Duration::from_secs(6);
/// Time for which a server that leaves goes on serving.
pub const SERVER_DRAIN: Duration = Duration::from_secs(2);
/// Longest time that a caller is kept waiting for a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time that a caller is kept waiting for anything else.
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Connections to a server from all instances.
const CONNECTIONS: usize = 40;
/// Records in an answer to a query.
const TOP: usize = 20;
/// Servers of the services that requests go to which may be repeated: one more than a request may be sent to.
const READER_REPLICAS: usize = 3;
/// Services that the requests which may be repeated go to, one a version.
const READERS: [&str; 3] = ["read-0", "read-1", "read-2"];
/// Service of the requests that run once.
const WRITER: &str = "write";
/// Fewest shards.
const SHARDS_MIN: usize = 3;
/// Processes beside instances and servers: the store and the proxy.
const STANDS: usize = 2;
/// Processes for each instance.
const PROCESSES_PER_RELAY: usize = 5;
/// Fewest instances.
const RELAYS_MIN: usize = 3;
/// Processes from which a service has three servers.
const LARGE: usize = 40;
/// Processor time of an instance, in cores, by its index: some are too small to work by themselves.
const POWERS: [f64; 4] = [1.0, 0.2, 0.2, 0.5];

/// One instance.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Its settings.
    pub settings: Settings,
    /// Path of its settings file.
    pub file: PathBuf,
    /// Path of its log.
    pub log: PathBuf,
    /// The link that callers connect to.
    pub callers_link: SocketAddr,
    /// The link that it reaches the store over.
    pub store_link: SocketAddr,
}

/// One server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Service that it is one of.
    pub service: Arc<str>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The link that instances connect to.
    pub link: SocketAddr,
    /// Path of its log.
    pub log: PathBuf,
}

/// Everything of a run.
#[derive(Debug)]
pub struct Site {
    /// Address of the store.
    pub store: SocketAddr,
    /// Control address of the proxy.
    pub proxy: SocketAddr,
    /// The instances.
    pub relays: Vec<Relay>,
    /// The servers.
    pub servers: Vec<Server>,
    shards: Vec<Arc<str>>,
    /// Keeps other processes off these ports.
    pub free: Free,
}

impl Site {
    /// Lays out a run of about so many processes, with its files in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if there are too few free ports.
    pub fn new(processes: usize, folder: &Path) -> Result<Self, Report<Failure>> {
        let mut free = Free::default();
        let (store, proxy) = (free.address()?, free.address()?);
        let relays = (processes / PROCESSES_PER_RELAY).max(RELAYS_MIN);
        let replicas = if processes > LARGE { 3 } else { 2 };
        let others = READERS.len() * READER_REPLICAS + replicas;
        let left = processes.saturating_sub(relays + others + STANDS);
        let shards: Vec<Arc<str>> = (0..(left / replicas).max(SHARDS_MIN))
            .map(|shard| format!("shard-{shard}").into())
            .collect();
        let relays = (0..relays).map(|index| relay(index, folder, &mut free));
        let relays = relays.collect::<Result<_, _>>()?;
        let names = READERS.into_iter().chain([WRITER]).map(Arc::from);
        let mut servers = Vec::new();
        for service in shards.iter().cloned().chain(names) {
            let reads = READERS.contains(&&*service);
            for replica in 0..if reads { READER_REPLICAS } else { replicas } {
                servers.push(Server {
                    listen: free.address()?,
                    link: free.address()?,
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
            free,
        })
    }

    /// Returns the links of the proxy: where each listens, and what it stands for.
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

    /// Returns a version of the configuration, from 0. Each names another service for the requests
    /// that may be repeated, and other shards.
    pub fn table(&self, version: usize) -> Table {
        let shards = &self.shards;
        let named = match version {
            0 => &shards[..shards.len() - 1],
            1 => &shards[..],
            _ => &shards[1..],
        };
        let query = Target::Gather(Gather {
            services: named.to_vec(),
            max_records: TOP,
            min_share: 0.6,
        });
        let reader = READERS[version.min(READERS.len() - 1)];
        let routes = vec![
            route("all", QUERIES, Kind::Idempotent, QUERY_TIMEOUT, query),
            route(
                "read",
                READS,
                Kind::Idempotent,
                TIMEOUT,
                Target::Service(reader.into()),
            ),
            route(
                "write",
                WRITES,
                Kind::AtMostOnce,
                TIMEOUT,
                Target::Service(WRITER.into()),
            ),
        ];
        let names = shards
            .iter()
            .cloned()
            .chain(READERS.into_iter().chain([WRITER]).map(Arc::from));
        let services = names.map(|name| Service {
            name,
            health_path: HEALTH.into(),
            max_connections: CONNECTIONS,
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

fn relay(index: usize, folder: &Path, free: &mut Free) -> Result<Relay, Report<Failure>> {
    let [admin, peers] = free.pair()?;
    let store_link = free.address()?;
    Ok(Relay {
        settings: Settings {
            name: format!("relay-{index}").into(),
            zone: ["a", "b"][index % 2].into(),
            callers: free.address()?,
            readiness: free.address()?,
            admin,
            peers,
            power: POWERS[index % POWERS.len()],
            store: store_link,
            extra: EXTRA,
            server_drain: SERVER_DRAIN,
            grace: GRACE,
        },
        file: folder.join(format!("relay-{index}.yaml")),
        log: folder.join(format!("relay-{index}.log")),
        callers_link: free.address()?,
        store_link,
    })
}

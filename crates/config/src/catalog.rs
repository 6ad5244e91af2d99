//! The document of groups, shards, services and backend servers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Name, unique in the catalog.
    pub name: Arc<str>,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Maximum number of requests that it serves concurrently.
    pub slots: usize,
    /// Maximum number of connections that it accepts.
    pub connections: usize,
    /// Whether the platform lists it as leaving, so that it is drained.
    #[serde(default)]
    pub leaving: bool,
}

/// A set of backend servers that hold the same shards.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's backend servers.
    pub servers: Vec<Arc<Server>>,
}

/// A shard of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Name, unique in the snapshot.
    pub name: Arc<str>,
    /// Name of the service that holds the shard.
    pub service: Arc<str>,
}

/// An index snapshot of a group.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number; later snapshots have higher ones.
    pub number: u64,
    /// The shards, which together make up the complete index.
    pub shards: Vec<Shard>,
}

/// A group of services whose shards a query is scattered over.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Snapshots that servers may hold, newest first.
    pub snapshots: Vec<Arc<Snapshot>>,
}

/// The groups and services by which requests are routed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Groups by name.
    pub groups: BTreeMap<Arc<str>, Group>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
}

impl Catalog {
    /// Name of the store's object that holds the document.
    pub const NAME: &str = "catalog";
}

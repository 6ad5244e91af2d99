//! The log of the backend servers, and the events of a run.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
    net::SocketAddr,
    sync::Arc, //
};

use config::Catalog;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::trace::Kind;

/// How a request ended on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// It ran and was answered.
    Done,
    /// It was cancelled.
    Cancelled,
    /// It was refused by load shedding.
    Shed,
    /// Its deadline passed before it ended.
    Deadline,
    /// The backend server doesn't hold the requested snapshot.
    Snapshot,
    /// The backend server is draining.
    Draining,
    /// It ran, and its reply was lost.
    Broken,
}

impl RequestEnd {
    /// Returns the name that reports use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Cancelled => "cancelled",
            Self::Shed => "shed",
            Self::Deadline => "deadline",
            Self::Snapshot => "snapshot",
            Self::Draining => "draining",
            Self::Broken => "broken",
        }
    }
}

impl fmt::Display for RequestEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The log entry of one request on one backend server.
///
/// Times are in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    #[serde(default)]
    pub seq: u64,
    /// Backend server.
    pub server: Arc<str>,
    /// Service of the server.
    #[serde(default)]
    pub service: Arc<str>,
    /// Shard of a query.
    #[serde(default)]
    pub shard: Option<Arc<str>>,
    /// Query or call.
    pub kind: Kind,
    /// Request id; for a part, `<UUID>-<part index>`.
    pub request: Box<str>,
    /// Attempt number.
    #[serde(default)]
    pub attempt: u32,
    /// Idempotency key.
    #[serde(default)]
    pub key: Option<Box<str>>,
    /// Snapshot that was read.
    #[serde(default)]
    pub snapshot: Option<u64>,
    /// Time of arrival.
    pub arrived_us: u64,
    /// Time at which a slot was taken.
    #[serde(default)]
    pub started_us: Option<u64>,
    /// Time at which it ended.
    #[serde(default)]
    pub ended_us: Option<u64>,
    /// How it ended.
    #[serde(default)]
    pub outcome: Option<RequestEnd>,
}

impl Entry {
    /// Returns the request id without the index of the part.
    pub fn base(&self) -> &str {
        base(&self.request)
    }
}

/// Returns a request id without the index of the part.
pub fn base(request: &str) -> &str {
    request
        .get(..UUID_LENGTH)
        .filter(|_| request.as_bytes().get(UUID_LENGTH) == Some(&b'-'))
        .unwrap_or(request)
}

/// Length of a UUID in its hyphenated form, in characters.
const UUID_LENGTH: usize = 36;

/// One backend server's counters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Server {
    /// Name of the server.
    pub name: Arc<str>,
    /// Limit on concurrent requests.
    pub slots: u64,
    /// Limit on concurrent connections.
    pub connections: u64,
    /// Connections that are open now.
    pub connections_open: u64,
    /// Peak number of open connections.
    pub connections_peak: u64,
    /// Connections that were closed immediately because of the limit.
    pub connections_refused: u64,
    /// Peak number of concurrent requests.
    pub busy_peak: u64,
}

/// A period in which a backend server was marked as leaving, which means that it drains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// Backend server.
    pub server: Arc<str>,
    /// Time at which it was marked.
    pub at_us: u64,
    /// Time at which the mark was removed.
    #[serde(default)]
    pub until_us: Option<u64>,
}

/// A version of a document that the platform accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedVersion {
    /// Version of the document.
    pub version: u64,
    /// Time at which it was accepted.
    pub at_us: u64,
}

/// Names of the shards of each snapshot.
pub type Snapshots = BTreeMap<u64, BTreeSet<Arc<str>>>;

/// The log of the backend servers, and the events of the run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// One entry for each request and server.
    pub records: Vec<Entry>,
    /// Counters of every server.
    pub servers: Vec<Server>,
    /// Number of entries that were dropped because the log was full.
    pub dropped: u64,
    /// Time at which the log was read.
    pub now_us: u64,
    /// Backend servers that were marked as leaving.
    pub marks: Vec<LeavingMark>,
    /// Shards by group and snapshot; may be empty if they aren't known.
    pub groups: BTreeMap<Arc<str>, Snapshots>,
    /// Presets documents that the platform accepted; empty if they aren't known.
    pub presets: Vec<AcceptedVersion>,
    /// Addresses of instances, as opposed to that of a balancer.
    pub instances: BTreeSet<SocketAddr>,
    /// Whether instances or connections were affected by anything other than planned stops.
    pub unplanned: bool,
}

impl Log {
    /// Adds the shards of the snapshots that a catalog lists.
    pub fn add_catalog(&mut self, catalog: &Catalog) {
        for (name, group) in &catalog.groups {
            let snapshots = self.groups.entry(name.clone()).or_default();
            for snapshot in &group.snapshots {
                let shards = snapshot.shards.iter().map(|shard| shard.name.clone());
                snapshots.insert(snapshot.number, shards.collect());
            }
        }
    }

    /// Returns whether entries may be missing: some were dropped, or there is no log at all.
    pub fn is_partial(&self) -> bool {
        self.dropped > 0 || self.servers.is_empty()
    }
}

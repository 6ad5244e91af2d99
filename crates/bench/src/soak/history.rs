//! What the callers, the servers and the soak itself observed in a run.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use route::Table;

use crate::servers::{
    content::{
        QUERY_PREFIX,
        READ_PREFIX,
        WRITE_PREFIX, //
    },
    log::Arrival,
};

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A query over all shards.
    Query,
    /// An idempotent request, which may be retried.
    Read,
    /// A request that must run at most once.
    Write,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Query, Self::Read, Self::Write];

    /// Returns the path prefix of requests of this kind.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Query => QUERY_PREFIX,
            Self::Read => READ_PREFIX,
            Self::Write => WRITE_PREFIX,
        }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It hasn't ended yet.
    Pending,
    /// The caller received an answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Services that a successful answer was made by; empty for a failure.
        services: Vec<String>,
    },
    /// The connection was closed before an answer.
    Cut,
    /// The caller received bytes that aren't an HTTP response.
    Malformed,
    /// The caller's timeout, which is longer than any route's, passed without an answer.
    Unanswered,
    /// The caller closed the connection without waiting for an answer.
    Abandoned,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the instance that the request was sent to.
    pub relay: usize,
    /// Start number of that instance's process, from 0.
    pub start_number: u64,
    /// When it was sent, in microseconds since the epoch.
    pub sent_us: u64,
    /// When it ended, in microseconds since the epoch.
    pub ended_us: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// The part of the system that a disturbance affects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Component {
    /// An instance, by its index.
    Relay(usize),
    /// The store, and with it every instance.
    Store,
    /// A server or the link to it, by the name of its process.
    Server(Arc<str>),
}

/// A fault, restart or stop that the soak caused.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Affected component.
    pub component: Component,
    /// When it began, in microseconds since the epoch.
    pub from_us: u64,
    /// When it ended, in microseconds since the epoch; `u64::MAX` while it lasts.
    pub to_us: u64,
    /// Whether it is a planned stop, which the process is asked for by a signal.
    pub planned: bool,
}

/// A configuration that was written to the store.
#[derive(Debug, Clone)]
pub struct Version {
    /// When the store acknowledged the write, in microseconds since the epoch; far in the future until then.
    pub acked_us: u64,
    /// Routes and services.
    pub table: Arc<Table>,
}

/// Everything that was observed in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Requests by id.
    pub requests: BTreeMap<Arc<str>, Request>,
    /// Requests that arrived at servers.
    pub arrivals: Vec<Arrival>,
    /// Disturbances of instances, the store and servers.
    pub disturbances: Vec<Disturbance>,
    /// Configurations, oldest first.
    pub versions: Vec<Version>,
    /// Processes that exited without being asked to.
    pub exits: Vec<String>,
    /// When the last fault ended, in microseconds since the epoch.
    pub faults_ended_us: Option<u64>,
}

impl History {
    /// Returns whether an instance was disturbed between two times, or less than `before_us` before.
    pub fn is_disturbed(&self, relay: usize, from_us: u64, to_us: u64, before_us: u64) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances.any(|disturbance| {
            disturbance.affects(relay) && disturbance.overlaps(from_us, to_us, before_us)
        })
    }

    /// Returns whether a server was disturbed between two times.
    pub fn is_server_disturbed(&self, server: &str, from_us: u64, to_us: u64) -> bool {
        let is_of = |disturbance: &&Disturbance| match &disturbance.component {
            Component::Server(process) => is_start_of(server, process),
            _ => false,
        };
        let mut disturbances = self.disturbances.iter().filter(is_of);
        disturbances.any(|disturbance| disturbance.overlaps(from_us, to_us, 0))
    }
}

impl Disturbance {
    /// Returns whether it affects an instance.
    pub fn affects(&self, relay: usize) -> bool {
        self.component == Component::Relay(relay) || self.component == Component::Store
    }

    /// Returns whether it lasted at any time between two times, or ended less than `before_us` before them.
    pub fn overlaps(&self, from_us: u64, to_us: u64, before_us: u64) -> bool {
        self.from_us <= to_us && self.to_us.saturating_add(before_us) >= from_us
    }
}

/// Returns whether a server's id is one that the process registers under: the process name and a start number.
fn is_start_of(server: &str, process: &str) -> bool {
    server
        .rsplit_once('-')
        .is_some_and(|(name, _)| name == process)
}

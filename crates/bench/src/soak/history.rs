//! What the callers, the servers and the soak itself have seen.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use route::Table;

use crate::servers::{
    content::{
        QUERIES,
        READS,
        WRITES, //
    },
    log::Arrival,
};

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A query over all shards.
    Query,
    /// A request that may be repeated.
    Read,
    /// A request that runs once.
    Write,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Query, Self::Read, Self::Write];

    /// Returns the prefix of its path.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Query => QUERIES,
            Self::Read => READS,
            Self::Write => WRITES,
        }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It hasn't.
    Pending,
    /// With an answer.
    Answer {
        /// Status.
        status: u16,
        /// Services that a success names, empty for a failure.
        services: Vec<String>,
    },
    /// The connection ended without an answer.
    Cut,
    /// Bytes came that are no answer.
    Noise,
    /// The caller heard nothing for longer than it should have waited.
    Unanswered,
    /// The caller left.
    Left,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Kind.
    pub kind: Kind,
    /// Index of the instance that it was sent to.
    pub relay: usize,
    /// Number of that instance's process, from 0.
    pub start: u64,
    /// When it was sent, in microseconds since the epoch.
    pub sent_us: u64,
    /// When it ended, in microseconds since the epoch.
    pub ended_us: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// What is disturbed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// An instance, by its index.
    Relay(usize),
    /// The store, and with it every instance.
    Store,
    /// A server or the way to it, by its process.
    Server(Arc<str>),
}

/// Something that was done from outside.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Where.
    pub place: Place,
    /// Its beginning, in microseconds since the epoch.
    pub from_us: u64,
    /// Its end, `u64::MAX` while it lasts.
    pub to_us: u64,
    /// Whether it was a stop that the process was told of.
    pub planned: bool,
}

/// A configuration that the store has taken.
#[derive(Debug, Clone)]
pub struct Version {
    /// When the store acknowledged it, in microseconds since the epoch.
    pub acked_us: u64,
    /// The configuration.
    pub table: Arc<Table>,
}

/// Everything that was seen.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Requests by id.
    pub requests: BTreeMap<Arc<str>, Request>,
    /// What arrived at servers.
    pub arrivals: Vec<Arrival>,
    /// What was done to instances.
    pub disturbances: Vec<Disturbance>,
    /// Configurations, oldest first.
    pub versions: Vec<Version>,
    /// Instances that ended by themselves.
    pub exits: Vec<String>,
    /// When the last fault ended.
    pub calm_us: Option<u64>,
}

impl History {
    /// Returns whether anything was done to an instance between two times, or `before_us` earlier.
    pub fn is_disturbed(&self, relay: usize, from_us: u64, to_us: u64, before_us: u64) -> bool {
        let mut all = self.disturbances.iter();
        all.any(|one| one.touches(relay) && one.overlaps(from_us, to_us, before_us))
    }

    /// Returns whether anything was done to a server between two times.
    pub fn is_server_disturbed(&self, server: &str, from_us: u64, to_us: u64) -> bool {
        let is_of = |one: &&Disturbance| match &one.place {
            Place::Server(process) => is_start_of(server, process),
            _ => false,
        };
        let mut all = self.disturbances.iter().filter(is_of);
        all.any(|one| one.overlaps(from_us, to_us, 0))
    }
}

impl Disturbance {
    /// Returns whether an instance is disturbed.
    pub fn touches(&self, relay: usize) -> bool {
        self.place == Place::Relay(relay) || self.place == Place::Store
    }

    /// Returns whether it lasted at any time between two times, or had ended less than `before_us` earlier.
    pub fn overlaps(&self, from_us: u64, to_us: u64, before_us: u64) -> bool {
        self.from_us <= to_us && self.to_us.saturating_add(before_us) >= from_us
    }
}

/// Returns whether a server's id is one of those that its process registers under.
fn is_start_of(server: &str, process: &str) -> bool {
    server
        .rsplit_once('-')
        .is_some_and(|(name, _)| name == process)
}

//! Violations of the promises of the system.

use std::{
    fmt,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A promise of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// An answer reflects one snapshot.
    Snapshot,
    /// The stated coverage of an answer is correct.
    Coverage,
    /// A caller receives the complete answer to its own request, exactly once.
    Whole,
    /// A request that is refused as not run isn't run.
    Refusal,
    /// A request that isn't idempotent runs at most once.
    AtMostOnce,
    /// All answers to an idempotency key have the same outcome.
    Recorded,
    /// A leaving backend server receives no new work.
    Leaving,
    /// A planned stop closes no connection on a request.
    Cut,
    /// A configuration is in force in time and isn't reverted.
    Config,
    /// The connection limit of a backend server is respected.
    Connections,
}

impl Promise {
    /// Every promise.
    pub const ALL: [Self; 10] = [
        Self::Snapshot,
        Self::Coverage,
        Self::Whole,
        Self::Refusal,
        Self::AtMostOnce,
        Self::Recorded,
        Self::Leaving,
        Self::Cut,
        Self::Config,
        Self::Connections,
    ];

    /// Returns the name of the promise in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Snapshot => "snapshot",
            Self::Coverage => "coverage",
            Self::Whole => "whole",
            Self::Refusal => "refusal",
            Self::AtMostOnce => "at_most_once",
            Self::Recorded => "recorded",
            Self::Leaving => "leaving",
            Self::Cut => "cut",
            Self::Config => "config",
            Self::Connections => "connections",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// How a promise was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "finding")]
pub enum Finding {
    /// A part was read from another snapshot than the answer states.
    MixedSnapshot {
        /// Shard of the part.
        shard: Arc<str>,
        /// Snapshot stamped on the part.
        stamped: u64,
    },
    /// An answer names a shard that its snapshot doesn't have.
    ForeignShard {
        /// The shard.
        shard: Arc<str>,
    },
    /// An answer names a shard of its snapshot neither as answered nor as missing.
    UnnamedShard {
        /// The shard.
        shard: Arc<str>,
    },
    /// An answer states a snapshot that the group never had.
    UnknownSnapshot {
        /// The snapshot.
        snapshot: u64,
    },
    /// The counts of the coverage contradict each other or the parts.
    Counts {
        /// Number of shards that the answer states.
        shards: u32,
        /// Number of answered shards that the answer states.
        answered: u32,
        /// Number of missing shards that the answer names.
        missing: u32,
        /// Number of parts in the answer, if it has parts.
        parts: Option<u32>,
    },
    /// A shard is listed twice.
    RepeatedShard {
        /// The shard.
        shard: Arc<str>,
    },
    /// A shard counts as answered, but no backend server finished it for this request and snapshot.
    Unserved {
        /// The shard.
        shard: Arc<str>,
    },
    /// More shards count as answered than backend servers finished.
    UnservedCount {
        /// Number of answered shards that the answer states.
        answered: u32,
        /// Number of shards that backend servers finished.
        served: u32,
    },
    /// An answer belongs to another request.
    WrongRequest {
        /// Request id in the answer.
        found: Box<str>,
    },
    /// A call is answered with a result, but no backend server finished it.
    Invented,
    /// An answer doesn't echo the caller's request id.
    Unechoed,
    /// The hits of a part aren't those of its shard, snapshot and query.
    WrongHits {
        /// Shard of the part.
        shard: Arc<str>,
    },
    /// The merged hits aren't the top hits of the shards that contribute.
    WrongMerge,
    /// A part belongs to another request.
    WrongPart {
        /// Shard of the part.
        shard: Arc<str>,
        /// Request id stamped on the part.
        found: Box<str>,
    },
    /// A part belongs to another shard.
    WrongShard {
        /// Shard that the part is listed under.
        shard: Arc<str>,
        /// Shard stamped on the part.
        found: Arc<str>,
    },
    /// An answer with status 200 can't be decoded.
    Broken,
    /// A request has more than one answer.
    Doubled,
    /// A request was refused as not run although it was started.
    RanAnyway {
        /// Backend server that started it.
        server: Arc<str>,
    },
    /// A key was refused as not run although another send of it had been started.
    RanBefore {
        /// Backend server that started it.
        server: Arc<str>,
    },
    /// A key was refused as not run, and another send that preceded the refusal was started later.
    RanLater {
        /// Backend server that started it.
        server: Arc<str>,
    },
    /// A key was started more than once.
    Repeated {
        /// Backend servers that started it, ordered by start time.
        servers: Vec<Arc<str>>,
    },
    /// Answers to one key differ.
    Outcomes {
        /// Number of different payloads.
        count: usize,
    },
    /// Work arrived at a backend server too long after it was marked as leaving.
    Late {
        /// Request id of the work.
        request: Box<str>,
        /// Time since the mark, in microseconds.
        after_us: u64,
    },
    /// A connection was closed before the answer, although there were no faults but planned stops.
    CutOff,
    /// An instance answered with an older version of the presets than in an earlier answer.
    Reverted {
        /// Version of the earlier answer.
        from: u64,
        /// Version of this answer.
        to: u64,
    },
    /// An answer states a version that the platform never accepted.
    UnknownVersion {
        /// The version.
        version: u64,
    },
    /// A request used an old version too long after a newer one was accepted.
    StaleVersion {
        /// The version.
        version: u64,
        /// The newer version.
        newer: u64,
    },
    /// A backend server had more connections than its limit.
    OverLimit {
        /// The limit.
        limit: u64,
        /// Peak number of concurrent connections.
        peak: u64,
        /// Number of connections that were closed immediately because of the limit.
        refused: u64,
    },
}

impl Finding {
    /// Returns the promise that is broken.
    pub fn promise(&self) -> Promise {
        match self {
            Self::MixedSnapshot { .. }
            | Self::ForeignShard { .. }
            | Self::UnnamedShard { .. }
            | Self::UnknownSnapshot { .. } => Promise::Snapshot,
            Self::Counts { .. }
            | Self::RepeatedShard { .. }
            | Self::Unserved { .. }
            | Self::UnservedCount { .. } => Promise::Coverage,
            Self::WrongRequest { .. }
            | Self::WrongPart { .. }
            | Self::WrongShard { .. }
            | Self::Invented
            | Self::Unechoed
            | Self::WrongHits { .. }
            | Self::WrongMerge
            | Self::Broken
            | Self::Doubled => Promise::Whole,
            Self::RanAnyway { .. } | Self::RanBefore { .. } | Self::RanLater { .. } => {
                Promise::Refusal
            }
            Self::Repeated { .. } => Promise::AtMostOnce,
            Self::Outcomes { .. } => Promise::Recorded,
            Self::Late { .. } => Promise::Leaving,
            Self::CutOff => Promise::Cut,
            Self::Reverted { .. } | Self::UnknownVersion { .. } | Self::StaleVersion { .. } => {
                Promise::Config
            }
            Self::OverLimit { .. } => Promise::Connections,
        }
    }
}

/// One violation of a promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Request id, idempotency key or backend server that the violation concerns.
    pub subject: Box<str>,
    /// How the promise was broken.
    #[serde(flatten)]
    pub finding: Finding,
}

impl Violation {
    /// Creates a violation.
    pub(super) fn new(subject: &str, finding: Finding) -> Self {
        Self {
            subject: subject.into(),
            finding,
        }
    }
}

//! What one caller saw of one send.

use std::{
    fmt,
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::trace::Kind;

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No backend server ran it.
    NotRun,
    /// A backend server may have run it.
    MayHaveRun,
}

/// Why there is no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The address can't be connected to.
    Connect,
    /// The connection was closed before a whole answer came.
    Cut,
    /// No answer came until the caller gave up.
    Timeout,
    /// The answer can't be understood.
    Malformed,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "connect",
            Self::Cut => "cut",
            Self::Timeout => "timeout",
            Self::Malformed => "malformed",
        })
    }
}

/// Shards of an answer that don't contribute.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// Name of the shard.
    pub shard: Arc<str>,
    /// Stated reason.
    #[serde(default)]
    pub reason: Arc<str>,
}

/// The stated coverage of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards of the snapshot.
    pub shards: u32,
    /// Shards that contribute.
    pub answered: u32,
    /// The other shards.
    #[serde(default)]
    pub missing: Vec<Missing>,
}

/// One part of an answer, with what its backend server stamped on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Shard that the part is listed under.
    pub shard: Arc<str>,
    /// Backend server that the part is listed under.
    #[serde(default)]
    pub server: Arc<str>,
    /// Snapshot stamped on the payload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<u64>,
    /// Hash of the payload's hits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hits: Option<u64>,
    /// Request stamped on the payload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Box<str>>,
    /// Shard stamped on the payload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stamped: Option<Arc<str>>,
}

/// One send of a request and what came of it.
///
/// Times are in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position of the arrival in the trace.
    pub arrival: usize,
    /// Number of this send among the caller's sends of the arrival, from 1.
    pub attempt: u32,
    /// Number of the caller.
    pub caller: u32,
    /// Query or call.
    pub kind: Kind,
    /// Group or service.
    pub target: Arc<str>,
    /// Deadline that the caller stated, in milliseconds.
    pub timeout_ms: u64,
    /// Time at which the request was due.
    pub intended_us: u64,
    /// Time at which it was handed to a connection.
    pub sent_us: u64,
    /// Time of the whole answer, or at which the caller gave up.
    pub answered_us: u64,
    /// Address that it was sent to.
    pub address: SocketAddr,
    /// Id that the caller gave to the request.
    pub request: Box<str>,
    /// Idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Box<str>>,
    /// Why there is no usable answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<Fault>,
    /// Status, 0 if there is none.
    #[serde(default)]
    pub status: u16,
    /// Caller's request id as the answer's header repeats it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echoed: Option<Box<str>>,
    /// Request id in the answer's body, under which backend servers saw the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<Box<str>>,
    /// Problem type of a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<Arc<str>>,
    /// Whether a refused request ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<Run>,
    /// Snapshot of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<u64>,
    /// Version of the preset of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preset: Option<u64>,
    /// Stated coverage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
    /// Parts, or none if the answer holds merged hits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parts: Option<Vec<Part>>,
    /// Merged hits that the caller asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top: Option<u32>,
    /// Hash of the merged hits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hits: Option<u64>,
    /// Whether a call's outcome was recorded by an earlier request.
    #[serde(default)]
    pub recorded: bool,
    /// Hash of a call's payload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub payload: Option<u64>,
    /// Instance that answered, if the balancer names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<Arc<str>>,
}

impl Record {
    /// Returns whether the request was answered with a result.
    pub fn is_answered(&self) -> bool {
        self.fault.is_none() && self.status == 200
    }

    /// Returns whether the request was refused in so many words.
    pub fn is_refused(&self) -> bool {
        self.fault.is_none() && self.status != 200
    }

    /// Returns the id under which backend servers saw the request, as far as it is known.
    pub fn logged(&self) -> &str {
        self.id.as_ref().unwrap_or(&self.request)
    }

    /// Latency from the intended time, in microseconds.
    pub fn latency_us(&self) -> u64 {
        self.answered_us.saturating_sub(self.intended_us)
    }
}

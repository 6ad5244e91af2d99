//! The record of one send: the request, and what its caller got.

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
    /// The connection can't be established.
    Connect,
    /// The connection was closed before the complete answer arrived.
    Cut,
    /// The caller gave up waiting for an answer.
    Timeout,
    /// The answer can't be parsed.
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

/// A shard that an answer lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// Name of the shard.
    pub shard: Arc<str>,
    /// Reason that the answer gives.
    #[serde(default)]
    pub reason: Arc<str>,
}

/// Coverage as the answer states it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards of the snapshot.
    pub shards: u32,
    /// Shards that the answer covers.
    pub answered: u32,
    /// Shards that the answer lacks.
    #[serde(default)]
    pub missing: Vec<Missing>,
}

/// One part of an answer, with the stamps of its backend server.
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

/// One send of a request and its result.
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
    /// Timeout that the caller sent, in milliseconds.
    pub timeout_ms: u64,
    /// Time at which the request was due.
    pub intended_us: u64,
    /// Time at which it was passed to the connection pool.
    pub sent_us: u64,
    /// Time at which the complete answer arrived or the caller gave up.
    pub answered_us: u64,
    /// Address that it was sent to.
    pub address: SocketAddr,
    /// Request id that the caller chose.
    pub request: Box<str>,
    /// Idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<Box<str>>,
    /// Why there is no usable answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<Fault>,
    /// Status of the answer, 0 without one.
    #[serde(default)]
    pub status: u16,
    /// Request id in the answer's header, which should equal the caller's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echoed: Option<Box<str>>,
    /// Request id in the answer's body, under which backend servers saw the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<Box<str>>,
    /// Problem type of a refusal, [`UNREADABLE`](super::answer::UNREADABLE) if its body is no problem document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<Arc<str>>,
    /// Whether a refused request ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<Run>,
    /// Snapshot that the answer is from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<u64>,
    /// Version of the preset under which the request ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preset: Option<u64>,
    /// Coverage as the answer states it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
    /// Parts of the answer, none if it has merged hits instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parts: Option<Vec<Part>>,
    /// Number of merged hits that the caller requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top: Option<u32>,
    /// Hash of the merged hits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hits: Option<u64>,
    /// Whether a call's answer is the recorded outcome of an earlier request.
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
    /// Returns whether the request was answered with status 200 and a valid body.
    pub fn is_answered(&self) -> bool {
        self.fault.is_none() && self.status == 200
    }

    /// Returns whether the request got an answer with another status than 200.
    pub fn is_refused(&self) -> bool {
        self.fault.is_none() && self.status != 200
    }

    /// Returns the id under which backend servers log the request: the one in the answer's body, or the
    /// caller's if there is none.
    pub fn backend_request_id(&self) -> &str {
        self.id.as_ref().unwrap_or(&self.request)
    }

    /// Returns the latency from the intended time, in microseconds.
    pub fn latency_us(&self) -> u64 {
        self.answered_us.saturating_sub(self.intended_us)
    }
}

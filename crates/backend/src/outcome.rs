//! What comes of an exchange with a backend server.

use std::{
    fmt,
    time::Duration, //
};

use bytes::Bytes;

/// Outcome of one query or call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The server ran it; the reply carries the right stamps.
    Done(Reply),
    /// The server says that it didn't run it.
    Refused(Refusal),
    /// The server ended it because it was cancelled.
    Cancelled,
    /// The connection failed.
    Failed(Failure),
    /// The reply is malformed or belongs to something else; it must not be used.
    BadReply(Fault),
}

/// A whole reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Snapshot that it was read from, 0 for a call.
    pub snapshot: u64,
    /// JSON: the whole reply to a query, the result of a call.
    pub payload: Bytes,
}

/// Why a server didn't run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It doesn't hold the snapshot.
    Snapshot,
    /// It has too much work.
    Shed,
    /// It is leaving.
    Draining,
    /// The deadline passed before it began.
    Deadline,
    /// It doesn't hold the shard.
    Shard,
}

/// A server's statement that it didn't run the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Snapshots that it holds, if it said so.
    pub held: Vec<u64>,
    /// When it may be asked again, if it said so.
    pub retry_after: Option<Duration>,
}

/// A failed connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether a byte of the request may have left.
    pub sent: bool,
    /// Whether the reply didn't arrive in time, rather than the connection breaking.
    pub timeout: bool,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = if self.timeout { "timed out" } else { "broke" };
        write!(f, "connection {what}, sent: {}", self.sent)
    }
}

impl std::error::Error for Failure {}

/// What is wrong with a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It can't be read as HTTP, or is over its bound.
    Framing,
    /// Its body isn't the JSON that the protocol states.
    Body,
    /// Its status or error isn't one that the protocol states.
    Status,
    /// It names another request.
    Request,
    /// It names another attempt.
    Attempt,
    /// It names another shard.
    Shard,
    /// It was read from another snapshot.
    Snapshot,
}

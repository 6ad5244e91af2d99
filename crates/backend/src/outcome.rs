//! Outcomes of exchanges with backend servers.

use std::{
    fmt,
    time::Duration, //
};

use bytes::Bytes;

/// Outcome of one query or call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The server ran it, and the reply echoes the request's stamp.
    Done(Reply),
    /// The server refused to run it.
    Refused(Refusal),
    /// The server stopped it because it was cancelled.
    Cancelled,
    /// The connection failed.
    Failed(Failure),
    /// The reply is malformed or belongs to another request, so it must not be used.
    BadReply(Fault),
}

/// A complete reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Snapshot that was read, 0 for a call.
    pub snapshot: u64,
    /// JSON: the complete reply to a query, or the `result` field of the reply to a call.
    pub payload: Bytes,
}

/// Why a server refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It doesn't hold the snapshot.
    Snapshot,
    /// It is overloaded.
    Shed,
    /// It is draining.
    Draining,
    /// The deadline passed before the request was started.
    Deadline,
    /// It doesn't hold the shard.
    Shard,
}

/// A server's statement that it didn't run the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Reason that the server stated.
    pub reason: Reason,
    /// Snapshots that the server holds, empty if it didn't list them.
    pub held: Vec<u64>,
    /// Time after which it may be tried again, if it stated one.
    pub retry_after: Option<Duration>,
}

/// A failure of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether any byte of the request may have been sent.
    pub sent: bool,
    /// Whether the connection timed out rather than broke.
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
    /// It isn't valid HTTP, or exceeds the size limit.
    Framing,
    /// Its body isn't the JSON that the protocol specifies.
    Body,
    /// Its status or error isn't one that the protocol specifies.
    Status,
    /// It carries the id of another request.
    Request,
    /// It carries the number of another sub-request.
    Attempt,
    /// It is for another shard.
    Shard,
    /// It is from another snapshot.
    Snapshot,
}

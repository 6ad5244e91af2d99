//! Transport traits for connections to backend servers, and the requests sent over them.

use std::{
    fmt,
    future::Future,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use uuid::Uuid;

use crate::outcome::{
    Failure,
    Outcome, //
};

/// Identifies one sub-request; the backend server echoes it in its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Id of the request that the sub-request belongs to.
    pub request: Uuid,
    /// Index of the part in the query, `None` for a call.
    pub part: Option<u32>,
    /// Number of the sub-request among all those of the part or call, from 1.
    pub attempt: u32,
}

impl Stamp {
    /// Makes the stamp of a part of a query.
    pub fn part(request: Uuid, index: u32, attempt: u32) -> Self {
        Self {
            request,
            part: Some(index),
            attempt,
        }
    }

    /// Makes the stamp of a call.
    pub fn call(request: Uuid, attempt: u32) -> Self {
        Self {
            request,
            part: None,
            attempt,
        }
    }

    /// Returns the request id that is sent to the backend server.
    pub fn request_id(&self) -> RequestId {
        RequestId(self.request, self.part)
    }
}

/// Request id as backend servers see it: the UUID, followed by `-` and the index for a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestId(Uuid, Option<u32>);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut buffer = Uuid::encode_buffer();
        f.write_str(self.0.as_hyphenated().encode_lower(&mut buffer))?;
        match self.1 {
            Some(index) => write!(f, "-{index}"),
            None => Ok(()),
        }
    }
}

/// An idempotent query to one shard.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// Identifies the sub-request.
    pub stamp: Stamp,
    /// Shard to read.
    pub shard: &'a str,
    /// Snapshot that must be read.
    pub snapshot: u64,
    /// Time left until the deadline, which the server enforces too.
    pub time_left: Duration,
    /// The query, as JSON.
    pub body: Bytes,
}

/// A call to one backend server.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Identifies the sub-request.
    pub stamp: Stamp,
    /// Idempotency key, empty for an idempotent call.
    pub key: &'a str,
    /// Time left until the deadline, which the server enforces too.
    pub time_left: Duration,
    /// The call, as JSON.
    pub body: Bytes,
}

/// A finished exchange.
#[derive(Debug)]
pub struct Exchange<L> {
    /// Outcome of the query or call.
    pub outcome: Outcome,
    /// The link, if the connection can be reused.
    pub link: Option<L>,
}

/// One idle connection to a backend server.
pub trait Link: Sized + 'static {
    /// Returns whether the connection is closed or has received unsolicited bytes.
    fn is_stale(&self) -> bool;

    /// Sends a query and waits at most `timeout` for its outcome.
    fn query(self, query: Query<'_>, timeout: Duration) -> impl Future<Output = Exchange<Self>>;

    /// Sends a call and waits at most `timeout` for its outcome.
    fn call(self, call: Call<'_>, timeout: Duration) -> impl Future<Output = Exchange<Self>>;

    /// Asks the server to cancel the sub-request `stamp`, which runs on another connection.
    ///
    /// Returns the link if the connection can be reused.
    fn cancel(self, stamp: Stamp, timeout: Duration) -> impl Future<Output = Option<Self>>;

    /// Closes the connection.
    fn close(self);
}

/// Opens connections to backend servers.
pub trait Dial: 'static {
    /// Type of the opened connections.
    type Link: Link;

    /// Connects to the backend server at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the server refuses the connection or doesn't accept it in time.
    fn dial(&self, address: SocketAddr) -> impl Future<Output = Result<Self::Link, Failure>>;
}

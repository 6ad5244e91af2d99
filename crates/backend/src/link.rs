//! What the tier asks of a connection to a backend server.

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

/// Identity of one sub-request; a backend server repeats it in its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// The request.
    pub request: Uuid,
    /// Position of the part in the query, `None` for a call.
    pub part: Option<u32>,
    /// Number of this send of the part, from 1.
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

    /// Returns the name of the request towards the backend server.
    pub fn name(&self) -> Name {
        Name(self.request, self.part)
    }
}

/// Name of a request towards the backend server: the UUID, for a part with its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Name(Uuid, Option<u32>);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut buffer = Uuid::encode_buffer();
        f.write_str(self.0.as_hyphenated().encode_lower(&mut buffer))?;
        match self.1 {
            Some(index) => write!(f, "-{index}"),
            None => Ok(()),
        }
    }
}

/// An idempotent query of one shard.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// Identity of the sub-request.
    pub stamp: Stamp,
    /// Shard to read.
    pub shard: &'a str,
    /// Snapshot that the answer must be read from.
    pub snapshot: u64,
    /// Time left to the deadline, which the server honours.
    pub left: Duration,
    /// The query, as JSON.
    pub body: Bytes,
}

/// A call of one backend server.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Identity of the call.
    pub stamp: Stamp,
    /// Idempotency key, empty for an idempotent call.
    pub key: &'a str,
    /// Time left to the deadline, which the server honours.
    pub left: Duration,
    /// The call, as JSON.
    pub body: Bytes,
}

/// A finished exchange.
#[derive(Debug)]
pub struct Exchange<L> {
    /// What came of it.
    pub outcome: Outcome,
    /// The link, if it can carry another exchange.
    pub link: Option<L>,
}

/// One connection with no exchange on it.
pub trait Link: Sized + 'static {
    /// Returns whether the connection is closed or holds bytes that nobody asked for.
    fn is_stale(&self) -> bool;

    /// Runs a query and waits for its outcome for at most `wait`.
    fn query(self, query: Query<'_>, wait: Duration) -> impl Future<Output = Exchange<Self>>;

    /// Runs a call and waits for its outcome for at most `wait`.
    fn call(self, call: Call<'_>, wait: Duration) -> impl Future<Output = Exchange<Self>>;

    /// Asks the server to end a sub-request that runs on another connection.
    fn cancel(self, stamp: Stamp, wait: Duration) -> impl Future<Output = Option<Self>>;

    /// Closes the connection.
    fn close(self);
}

/// Opens links.
pub trait Dial: 'static {
    /// What is opened.
    type Link: Link;

    /// Connects to the backend server at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the server refuses or doesn't accept in time.
    fn dial(&self, address: SocketAddr) -> impl Future<Output = Result<Self::Link, Failure>>;
}

//! The handle that runs work on backend servers.

use std::{
    rc::Rc,
    sync::Arc,
    time::Instant, //
};

use bytes::Bytes;
use config::View;
use wire::{
    CallReply,
    CallRequest,
    CancelRequest,
    Head,
    Partial, //
};

/// One part of a query.
#[derive(Debug, Clone)]
pub struct Job {
    /// What the request carries.
    pub head: Head,
    /// Position of the part in the query.
    pub index: u32,
    /// Shard to read.
    pub shard: Arc<str>,
    /// Service that holds the shard.
    pub service: Arc<str>,
    /// The query, as JSON.
    pub body: Bytes,
    /// When the answer is of no more use.
    pub deadline: Instant,
}

/// The connections of one instance to backend servers.
#[derive(Debug, Default)]
pub struct Pool {}

impl Pool {
    /// Makes a pool without connections, for an instance in availability zone `zone`.
    pub fn new(zone: Arc<str>) -> Rc<Self> {
        let _ = zone;
        Rc::new(Self::default())
    }

    /// Takes in new documents and the names of the services that this instance owns now.
    ///
    /// A server that is leaving or whose service isn't owned any more gets no new work: what is
    /// queued fails as not run, what runs is finished, then its connections are closed.
    pub fn update(&self, view: Arc<View>, owned: &dyn Fn(&str) -> bool) {
        let _ = (view, owned);
    }

    /// Runs one part; always returns by its deadline.
    pub async fn part(&self, job: Job) -> Partial {
        let _ = job;
        Partial::default()
    }

    /// Sends a call to one backend server; with a key exactly once or not at all.
    pub async fn send(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let _ = (request, deadline);
        CallReply::default()
    }

    /// Abandons parts that are queued or running.
    pub fn cancel(&self, request: &CancelRequest) {
        let _ = request;
    }

    /// Returns the sub-requests that are queued or running.
    pub fn in_flight(&self) -> usize {
        0
    }

    /// Returns connections, slots and queues, as JSON of bounded size.
    pub fn state(&self) -> serde_json::Value {
        serde_json::Value::Null
    }

    /// Closes every connection once it has no exchange on it.
    pub async fn close(self: Rc<Self>) {}
}

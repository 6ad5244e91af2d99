//! What a replay holds.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use policy::{
    completion::{
        Deadlines,
        Progress, //
    },
    retry_budget::Budget,
    slowness::Tracker,
};
use relay::latency::Statistics;

/// A query that was taken on.
#[derive(Debug)]
pub(super) struct Query {
    /// Instance that runs it.
    pub(super) instance: usize,
    /// Latency objective and deadline.
    pub(super) deadlines: Deadlines,
    /// How far it is.
    pub(super) progress: Progress,
    /// Whether it has ended.
    pub(super) is_over: bool,
    /// When it arrived.
    pub(super) arrived: Duration,
}

/// The piece of a query that one shard answers.
#[derive(Debug, Clone)]
pub(super) struct Part {
    /// The query.
    pub(super) query: usize,
    /// The shard.
    pub(super) shard: usize,
    /// When it was sent first.
    pub(super) sent: Duration,
    /// Servers that it was sent to.
    pub(super) servers: Vec<usize>,
    /// Whether it was answered or has failed.
    pub(super) is_done: bool,
}

/// A server, as it is.
#[derive(Debug, Default)]
pub(super) struct Server {
    /// Requests that it works on.
    pub(super) running: usize,
    /// Parts that wait there.
    pub(super) queue: VecDeque<usize>,
}

/// A server, as one instance sees it.
#[derive(Debug, Default, Clone)]
pub(super) struct View {
    /// Parts that the instance has sent there.
    pub(super) in_flight: usize,
    /// Slowness of its latest replies.
    pub(super) slowness: Tracker,
    /// Number of the last part that was sent there.
    pub(super) last: u64,
}

/// An instance.
pub(super) struct Member {
    /// Servers as it sees them.
    pub(super) views: Vec<View>,
    /// Parts that wait for a server of each shard.
    pub(super) queues: Vec<VecDeque<usize>>,
    /// Retry budget of each shard.
    pub(super) budgets: Vec<Budget>,
    /// Latencies of its sub-requests.
    pub(super) latency: Statistics,
}

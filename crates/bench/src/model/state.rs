//! State of the simulated queries, servers and instances.

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

/// An admitted query.
#[derive(Debug)]
pub(super) struct Query {
    /// Instance that runs it.
    pub(super) instance: usize,
    /// Its objective and deadline.
    pub(super) times: Deadlines,
    /// Shards answered and failed so far.
    pub(super) progress: Progress,
    /// Whether it was answered or has failed.
    pub(super) is_over: bool,
    /// When it arrived.
    pub(super) arrived_at: Duration,
}

/// The part of a query that goes to one shard.
#[derive(Debug, Clone)]
pub(super) struct Part {
    /// The query.
    pub(super) query: usize,
    /// The shard.
    pub(super) shard: usize,
    /// When its initial sub-request was sent.
    pub(super) sent_at: Duration,
    /// Servers to which it was sent.
    pub(super) servers: Vec<usize>,
    /// Whether it was answered or has failed.
    pub(super) is_done: bool,
}

/// Actual state of a server.
#[derive(Debug, Default)]
pub(super) struct Server {
    /// Sub-requests that it runs.
    pub(super) running: usize,
    /// Parts in its queue.
    pub(super) queue: VecDeque<usize>,
}

/// State of a server as one instance knows it.
#[derive(Debug, Default, Clone)]
pub(super) struct View {
    /// Sub-requests that the instance has in flight there.
    pub(super) in_flight: usize,
    /// Recent latency as a multiple of the baseline.
    pub(super) slowness: Tracker,
    /// Sequence number of the last sub-request sent there; the least recently used of equal servers is chosen.
    pub(super) last_sequence: u64,
}

/// An instance.
pub(super) struct Instance {
    /// What it knows of each server.
    pub(super) views: Vec<View>,
    /// Parts that wait for a free server, by shard.
    pub(super) queues: Vec<VecDeque<usize>>,
    /// Budgets of hedges and retries, by shard.
    pub(super) retry_budgets: Vec<Budget>,
    /// Latencies of its sub-requests.
    pub(super) latencies: Statistics,
}

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
    concurrency::Window,
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
    pub(super) deadlines: Deadlines,
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
    /// Sub-requests that the instance may have in flight there.
    pub(super) window: Window,
    /// Recent latency as a multiple of the baseline.
    pub(super) slowness: Tracker,
    /// Sequence number of the last sub-request sent there; the least recently used of equal servers is chosen.
    pub(super) last_sequence: u64,
}

/// Parts that wait for a free server of one shard.
#[derive(Debug, Default, Clone)]
pub(super) struct Queue {
    in_time: VecDeque<usize>,
    late: VecDeque<usize>,
}

impl Queue {
    /// Returns the number of parts that are expected to be served in time.
    pub(super) fn in_time(&self) -> usize {
        self.in_time.len()
    }

    /// Queues a part; a late one waits behind all others.
    pub(super) fn push(&mut self, part: usize, is_late: bool) {
        match is_late {
            true => self.late.push_back(part),
            false => self.in_time.push_back(part),
        }
    }

    /// Removes the part that is sent next.
    pub(super) fn pop(&mut self) -> Option<usize> {
        self.in_time.pop_front().or_else(|| self.late.pop_front())
    }
}

/// An instance.
pub(super) struct Instance {
    /// What it knows of each server.
    pub(super) views: Vec<View>,
    /// Parts that wait for a free server, by shard.
    pub(super) queues: Vec<Queue>,
    /// Budgets of hedges and retries, by shard.
    pub(super) retry_budgets: Vec<Budget>,
    /// Latencies of its sub-requests.
    pub(super) latencies: Statistics,
}

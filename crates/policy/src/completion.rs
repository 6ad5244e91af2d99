//! When a query stops waiting for its remaining shards.
//!
//! Each server pauses for a moment every few seconds, so that most queries over many shards meet a
//! paused one. An answer that misses the latency objective is of little use to its caller, while a
//! partial answer that lacks one shard out of twenty is nearly as good as a complete one.

use std::time::{
    Duration,
    Instant, //
};

/// Time limits of one query.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// When the answer must be sent to reach the caller within the latency objective.
    pub objective: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// State of a query's shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Shards that have replied.
    pub answered: usize,
    /// Shards from which no reply will come.
    pub failed: usize,
    /// Number of shards of the query.
    pub total: usize,
    /// Minimum number of shards that an answer must hold.
    pub min_shards: usize,
}

impl Progress {
    fn is_settled(self) -> bool {
        self.answered + self.failed >= self.total
    }

    fn has_min_shards(self) -> bool {
        self.answered >= self.min_shards
    }

    fn has_too_many_failures(self) -> bool {
        self.total - self.failed.min(self.total) < self.min_shards
    }
}

/// Next step of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Answer with the shards that have replied.
    Answer,
    /// Fail: the minimum number of shards can't be reached in time.
    GiveUp,
    /// Wait for a shard's reply, at most until this instant.
    Wait(Instant),
}

/// Returns the next step of a query at `now`.
pub fn next_step(now: Instant, deadlines: Deadlines, progress: Progress) -> Step {
    if progress.has_too_many_failures() {
        return Step::GiveUp;
    }
    if progress.is_settled() {
        return Step::Answer;
    }
    match progress.has_min_shards() {
        true if now >= deadlines.objective.min(deadlines.deadline) => Step::Answer,
        true => Step::Wait(deadlines.objective.min(deadlines.deadline)),
        false if now >= deadlines.deadline => Step::GiveUp,
        false if now >= deadlines.objective => Step::Wait(deadlines.deadline),
        false => Step::Wait(deadlines.objective.min(deadlines.deadline)),
    }
}

/// Returns the time at which an answer must be sent to reach the caller within `objective`.
///
/// `margin` covers the network delay of the request and of the answer, and the wait for the processor;
/// `waited` is how long the caller had already waited when the request arrived.
pub fn answer_by(
    arrived_at: Instant,
    waited: Duration,
    objective: Duration,
    margin: Duration,
) -> Instant {
    // An objective too short for margin and wait can't be met by waiting less, so half of it is kept for the
    // work.
    arrived_at + objective.saturating_sub(margin + waited).max(objective / 2)
}

/// Share of the margin that opening a connection takes: a round trip, as for the request and its answer, but
/// without the wait for the processor.
const CONNECT_MARGIN_SHARE: f64 = 0.5;

/// Returns how long a caller had already waited when the first request on its connection arrived.
pub fn connection_wait(margin: Duration) -> Duration {
    margin.mul_f64(CONNECT_MARGIN_SHARE)
}

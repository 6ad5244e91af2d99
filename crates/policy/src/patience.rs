//! When a query stops waiting for its last shards.
//!
//! Load pattern: each server pauses for a moment every few seconds, so that most queries over many
//! shards meet a paused one. An answer that misses the objective is of little use to its caller, one
//! that lacks a shard out of twenty is nearly as good as the whole.

use std::time::{
    Duration,
    Instant, //
};

/// The times that bound one query.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// When the answer must leave to reach the caller within the objective.
    pub objective: Instant,
    /// When the caller no longer waits.
    pub deadline: Instant,
}

/// How far a query is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Shards that answered.
    pub answered: usize,
    /// Shards that can't answer any more.
    pub failed: usize,
    /// All shards.
    pub total: usize,
    /// Shards that an answer needs.
    pub least: usize,
}

impl Progress {
    fn is_over(self) -> bool {
        self.answered + self.failed >= self.total
    }

    fn is_enough(self) -> bool {
        self.answered >= self.least
    }

    fn is_hopeless(self) -> bool {
        self.total - self.failed.min(self.total) < self.least
    }
}

/// What a query does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It answers with the shards that it has.
    Answer,
    /// It gives up: the shards that are needed can't be had in time.
    GiveUp,
    /// It waits for a shard, until then at most.
    Wait(Instant),
}

/// Decides what a query does at `now`.
pub fn step(now: Instant, times: Times, progress: Progress) -> Step {
    if progress.is_hopeless() {
        return Step::GiveUp;
    }
    if progress.is_over() {
        return Step::Answer;
    }
    match progress.is_enough() {
        true if now >= times.objective.min(times.deadline) => Step::Answer,
        true => Step::Wait(times.objective.min(times.deadline)),
        false if now >= times.deadline => Step::GiveUp,
        false if now >= times.objective => Step::Wait(times.deadline),
        false => Step::Wait(times.objective.min(times.deadline)),
    }
}

/// Returns the time at which an answer must leave to reach the caller within `objective`.
///
/// `margin` covers the way of the request and of the answer, and the wait for the processor; `waited` is
/// what had passed for the caller before the request arrived.
pub fn leave_by(
    arrived: Instant,
    waited: Duration,
    objective: Duration,
    margin: Duration,
) -> Instant {
    // An objective that is too short for both isn't met by waiting less.
    arrived + objective.saturating_sub(margin + waited).max(objective / 2)
}

/// Share of the margin that opening a connection takes beforehand: a way there and back, as for the request
/// and its answer, without the wait for the processor.
const OPENING: f64 = 0.5;

/// Returns what had passed for a caller before the first request on its connection arrived.
pub fn opening(margin: Duration) -> Duration {
    margin.mul_f64(OPENING)
}

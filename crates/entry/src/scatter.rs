//! Hands the parts of a query to the instance that owns them and streams back their partials.

use std::time::Instant;

use bytes::Bytes;
use config::catalog::Snapshot;
use fleet::Member;
use futures_util::{
    stream::FuturesUnordered,
    StreamExt, //
};
use platform::Store;
use pool::PartRequest;
use std::{
    rc::Rc,
    sync::Arc, //
};
use wire::{
    client::Error,
    Head,
    Part,
    Partial,
    ScatterRequest, //
};

use crate::router::Router;

/// One query as it is scattered.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The request's id.
    pub request: Bytes,
    /// Group that is queried.
    pub group: Arc<str>,
    /// Snapshot that the query is pinned to.
    pub snapshot: Arc<Snapshot>,
    /// Version of the presets in force at admission.
    pub presets: u64,
    /// Number of the run's first attempt.
    ///
    /// Two runs of a query share no attempt, so that what cancels the first leaves the second alone.
    pub first: u32,
    /// Number of the admission class.
    pub class: u32,
    /// Shards that an answer covers at least.
    pub least: usize,
    /// The query, as JSON.
    pub body: Bytes,
    /// When partials are of no more use.
    pub deadline: Instant,
}

/// Parts that go to the same instance.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The instance.
    pub member: Rc<Member>,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// Positions of the parts in the snapshot.
    pub parts: Vec<u32>,
}

impl Plan {
    fn head(&self, attempt: u32) -> Head {
        let left = self.deadline.saturating_duration_since(Instant::now());
        Head {
            request: self.request.clone(),
            attempt,
            snapshot: self.snapshot.number,
            budget_us: left.as_micros() as u64,
            presets: self.presets,
            class: self.class,
        }
    }

    fn part(&self, index: u32) -> Part {
        let shard = &self.snapshot.shards[index as usize];
        Part {
            index,
            shard: shard.name.to_string(),
            service: shard.service.to_string(),
        }
    }

    fn job(&self, index: u32, attempt: u32) -> PartRequest {
        let shard = &self.snapshot.shards[index as usize];
        PartRequest {
            head: self.head(attempt),
            index,
            shard: shard.name.clone(),
            service: shard.service.clone(),
            body: self.body.clone(),
            deadline: self.deadline,
        }
    }

    /// Returns whether `partial` is an outcome of `batch` of this query.
    pub fn matches(&self, batch: &Batch, partial: &Partial) -> bool {
        let belongs = partial.request == self.request
            && partial.attempt == batch.attempt
            && batch.parts.contains(&partial.index);
        belongs && (partial.failure.is_some() || partial.snapshot == self.snapshot.number)
    }
}

/// Runs `batch` and hands each partial to `take`, until it has taken one for every part.
///
/// `take` returns false for a partial that isn't one of the batch.
///
/// # Errors
///
/// Fails if the instance can't be reached or goes away first.
pub async fn scatter<S: Store>(
    router: &Router<S>,
    plan: &Plan,
    batch: &Batch,
    take: impl Fn(Partial) -> bool,
) -> Result<(), Error> {
    if router.fleet.is_local(&batch.member) {
        run_here(router, plan, batch, take).await;
        return Ok(());
    }
    let request = ScatterRequest {
        head: Some(plan.head(batch.attempt)),
        group: plan.group.to_string(),
        parts: batch.parts.iter().map(|index| plan.part(*index)).collect(),
        body: plan.body.clone(),
        marks: marks(router, plan, batch),
    };
    let mut partials = router.peers.scatter(batch.member.address, request).await?;
    let mut left = batch.parts.len();
    while left > 0 {
        let partial = partials.message().await.map_err(|_| Error::Broken)?;
        left -= usize::from(take(partial.ok_or(Error::Broken)?));
    }
    Ok(())
}

/// Returns the marks that the owner may not have heard of yet.
fn marks<S: Store>(router: &Router<S>, plan: &Plan, batch: &Batch) -> Vec<wire::Mark> {
    let services = batch.parts.iter().map(|index| {
        let shard = &plan.snapshot.shards[*index as usize];
        &*shard.service
    });
    router.fleet.marks_for(services)
}

async fn run_here<S: Store>(
    router: &Router<S>,
    plan: &Plan,
    batch: &Batch,
    take: impl Fn(Partial) -> bool,
) {
    let jobs = batch
        .parts
        .iter()
        .map(|index| plan.job(*index, batch.attempt));
    let mut running: FuturesUnordered<_> = jobs.map(|job| router.pool.run_part(job)).collect();
    while let Some(partial) = running.next().await {
        take(partial);
    }
}

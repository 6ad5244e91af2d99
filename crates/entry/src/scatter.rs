//! Sends the parts of a query to the instance that owns them and streams back their partials.

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

/// A query to scatter: what its parts have in common.
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
    /// Two runs of a query have different attempt numbers, so that cancelling the first run doesn't
    /// cancel parts of the second.
    pub first_attempt: u32,
    /// Number of the admission class.
    pub class: u32,
    /// Minimum number of shards that an answer covers.
    pub min_shards: usize,
    /// The query, as JSON.
    pub body: Bytes,
    /// Time after which partials are no longer used.
    pub deadline: Instant,
}

/// Parts that are sent to the same instance in one request.
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
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        Head {
            request: self.request.clone(),
            attempt,
            snapshot: self.snapshot.number,
            budget_us: remaining.as_micros() as u64,
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

    fn part_request(&self, index: u32, attempt: u32) -> PartRequest {
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

    /// Returns whether `partial` is an outcome of `batch` of this query. A payload also has to be read
    /// from the plan's snapshot.
    pub fn matches(&self, batch: &Batch, partial: &Partial) -> bool {
        let is_of_batch = partial.request == self.request
            && partial.attempt == batch.attempt
            && batch.parts.contains(&partial.index);
        is_of_batch && (partial.failure.is_some() || partial.snapshot == self.snapshot.number)
    }
}

/// Runs `batch` and passes each partial to `accept`, until it has accepted one for every part.
///
/// `accept` returns false for a partial that isn't one of the batch.
///
/// # Errors
///
/// Fails if the instance can't be reached, or if the stream ends before every part has a partial.
pub async fn scatter<S: Store>(
    router: &Router<S>,
    plan: &Plan,
    batch: &Batch,
    accept: impl Fn(Partial) -> bool,
) -> Result<(), Error> {
    if router.fleet.is_local(&batch.member) {
        run_locally(router, plan, batch, accept).await;
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
    let mut remaining = batch.parts.len();
    while remaining > 0 {
        let partial = partials.message().await.map_err(|_| Error::Broken)?;
        remaining -= usize::from(accept(partial.ok_or(Error::Broken)?));
    }
    Ok(())
}

/// Returns the recently changed marks of the batch's services, which the owner may not have received
/// yet.
fn marks<S: Store>(router: &Router<S>, plan: &Plan, batch: &Batch) -> Vec<wire::Mark> {
    let services = batch.parts.iter().map(|index| {
        let shard = &plan.snapshot.shards[*index as usize];
        &*shard.service
    });
    router.fleet.marks_for(services)
}

async fn run_locally<S: Store>(
    router: &Router<S>,
    plan: &Plan,
    batch: &Batch,
    accept: impl Fn(Partial) -> bool,
) {
    let requests = batch
        .parts
        .iter()
        .map(|index| plan.part_request(*index, batch.attempt));
    let mut running: FuturesUnordered<_> = requests
        .map(|part_request| router.pool.run_part(part_request))
        .collect();
    while let Some(partial) = running.next().await {
        accept(partial);
    }
}

//! Runs one query: pins it to a snapshot, gathers the partials, merges them and reports the coverage.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use config::catalog::{
    Group,
    Snapshot, //
};
use platform::Store;
use wire::{
    Partial,
    Reason, //
};

use crate::{
    answer::{
        self,
        Coverage,
        Merged,
        Missing,
        Preset, //
    },
    collector::part_may_have_run,
    entry::Entry,
    gather::{
        gather,
        Gathered,
        MAX_ATTEMPTS, //
    },
    problem::{
        Kind,
        Problem,
        Run, //
    },
    request::{
        Head,
        Query, //
    },
    scatter::Plan,
};

/// Time before the deadline that is reserved for merging and for sending the answer to the caller.
const MERGE_MARGIN: Duration = Duration::from_millis(3);
/// Minimum time left for a second run on another snapshot.
const MIN_RERUN_TIME: Duration = Duration::from_millis(20);

/// Runs a query of the group `name` and returns the answer's body.
///
/// # Errors
///
/// Fails if the group is unknown or has no snapshot, if fewer shards replied than the preset accepts,
/// or if the answer can't be written.
pub async fn run<S: Store>(
    entry: &Entry<S>,
    head: &Head,
    name: &str,
    query: &Query,
) -> Result<Bytes, Problem> {
    let (name, group) = head
        .view
        .catalog
        .groups
        .get_key_value(name)
        .ok_or_else(|| {
            Problem::new(
                Kind::UnknownGroup,
                Run::NotRun,
                format!("no such group: {name}"),
            )
        })?;
    let snapshot = entry
        .snapshots
        .select(group)
        .ok_or_else(|| Problem::new(Kind::Unavailable, Run::NotRun, "the group has no snapshot"))?;
    let mut plan = plan(head, name, snapshot, query);
    let mut gathered = gather(&entry.router, &entry.probe_delay, &plan).await;
    entry.meter.record_sub_requests(&gathered.partials);
    if let Some(snapshot) = rerun_snapshot(entry, head, group, &plan, &gathered.partials) {
        entry.meter.record_rerun();
        let rerun_plan = Plan {
            first_attempt: plan.first_attempt + MAX_ATTEMPTS,
            min_shards: min_shards(head, &snapshot),
            snapshot,
            ..plan.clone()
        };
        let rerun = gather(&entry.router, &entry.probe_delay, &rerun_plan).await;
        entry.meter.record_sub_requests(&rerun.partials);
        let either_may_have_run = may_have_run(&gathered) || may_have_run(&rerun);
        // The runs read different snapshots and can't be merged; the one that covers more is used.
        if count_missing(&rerun.partials) < count_missing(&gathered.partials) {
            (plan, gathered) = (rerun_plan, rerun);
        }
        gathered.may_have_run = either_may_have_run;
    }
    finish(entry, head, query, &plan, &gathered)
}

fn plan(head: &Head, group: &Arc<str>, snapshot: &Arc<Snapshot>, query: &Query) -> Plan {
    Plan {
        request: Bytes::copy_from_slice(head.id.as_bytes()),
        group: group.clone(),
        snapshot: snapshot.clone(),
        presets: head.view.versions.presets,
        first_attempt: 1,
        class: head.view.preset.class(group).number(),
        min_shards: min_shards(head, snapshot),
        body: Bytes::copy_from_slice(query.query.get().as_bytes()),
        deadline: head.deadline - MERGE_MARGIN,
    }
}

/// Returns the minimum number of shards that an answer covers, which is 1 or more.
fn min_shards(head: &Head, snapshot: &Snapshot) -> usize {
    let shards = snapshot.shards.len() as f64 * head.view.preset.coverage_min;
    (shards.ceil() as usize).max(1)
}

/// Returns the snapshot for a second run: another one that fewer services are known to lack, if
/// services no longer or not yet hold the pinned one and enough time is left.
///
/// Records which snapshots those services hold.
fn rerun_snapshot<S>(
    entry: &Entry<S>,
    head: &Head,
    group: &Group,
    plan: &Plan,
    partials: &[Option<Partial>],
) -> Option<Arc<Snapshot>> {
    let mut lacking = 0;
    for (shard, partial) in plan.snapshot.shards.iter().zip(partials) {
        let failure = partial
            .as_ref()
            .and_then(|partial| partial.failure.as_ref());
        match failure {
            Some(failure) if failure.reason() == Reason::SnapshotGone => {
                entry.snapshots.record(&shard.service, &failure.held);
                lacking += 1;
            }
            _ => {}
        }
    }
    if lacking == 0 || head.time_left() < MIN_RERUN_TIME {
        return None;
    }
    let other = entry.snapshots.select(group)?;
    let is_better =
        other.number != plan.snapshot.number && entry.snapshots.count_lacking(other) < lacking;
    is_better.then(|| other.clone())
}

/// Returns the number of shards without a payload.
fn count_missing(partials: &[Option<Partial>]) -> usize {
    let is_missing = |partial: &&Option<Partial>| match partial {
        None => true,
        Some(partial) => partial.failure.is_some(),
    };
    partials.iter().filter(is_missing).count()
}

fn finish<S>(
    entry: &Entry<S>,
    head: &Head,
    query: &Query,
    plan: &Plan,
    gathered: &Gathered,
) -> Result<Bytes, Problem> {
    let partials = &gathered.partials;
    let merged = merged(plan, partials);
    let coverage = coverage(plan, partials, merged.len());
    entry.meter.record_coverage(&plan.group, &coverage);
    if coverage.missing.is_empty() {
        entry
            .meter
            .record_overhead(head.arrived_at.elapsed(), partials);
    }
    if merged.len() < plan.min_shards {
        return Err(too_few_shards(plan, gathered, &coverage));
    }
    let head = answer::Head {
        request: head.id.to_string(),
        group: &plan.group,
        snapshot: plan.snapshot.number,
        preset: Preset {
            name: &head.view.presets.in_force,
            version: plan.presets,
        },
        coverage,
    };
    match query.top {
        Some(top) => answer::write_top(&head, &merged, top),
        None => answer::write_parts(&head, &merged)
            .map_err(|error| Problem::new(Kind::BadReply, Run::MayHaveRun, error.to_string())),
    }
}

fn merged<'a>(plan: &'a Plan, partials: &'a [Option<Partial>]) -> Vec<Merged<'a>> {
    let shards = plan.snapshot.shards.iter().zip(partials);
    shards
        .filter_map(|(shard, partial)| Some((&*shard.name, partial.as_ref()?)))
        .filter(|(_, partial)| partial.failure.is_none())
        .collect()
}

fn coverage<'a>(plan: &'a Plan, partials: &'a [Option<Partial>], answered: usize) -> Coverage<'a> {
    let shards = plan.snapshot.shards.iter().zip(partials);
    let missing = shards.filter_map(|(shard, partial)| {
        let reason = match partial {
            None if is_past_deadline(plan) => "deadline".to_owned(),
            None => "unreachable".to_owned(),
            Some(partial) => reason_name(partial.failure.as_ref()?.reason()),
        };
        Some(Missing {
            shard: &shard.name,
            reason,
        })
    });
    Coverage {
        shards: plan.snapshot.shards.len(),
        answered,
        missing: missing.collect(),
    }
}

/// Returns whether the deadline has passed. If not, a part has no outcome because no instance was
/// left to run it.
fn is_past_deadline(plan: &Plan) -> bool {
    Instant::now() >= plan.deadline
}

/// Returns the name of a reason in answers, such as `snapshot_gone`.
fn reason_name(reason: Reason) -> String {
    let name = reason.as_str_name();
    name.strip_prefix("REASON_").unwrap_or(name).to_lowercase()
}

/// Returns whether a backend server may have run a part of the query.
fn may_have_run(gathered: &Gathered) -> bool {
    let outcomes = &gathered.partials;
    gathered.may_have_run
        || outcomes
            .iter()
            .any(|part| part.as_ref().is_none_or(part_may_have_run))
}

/// Returns the problem of a query for which too few shards replied.
fn too_few_shards(plan: &Plan, gathered: &Gathered, coverage: &Coverage<'_>) -> Problem {
    let partials = &gathered.partials;
    let any_may_have_run = may_have_run(gathered);
    let failures = || partials.iter().flatten().filter_map(|p| p.failure.as_ref());
    let overloaded = failures().any(|failure| {
        matches!(
            failure.reason(),
            Reason::QueueFull | Reason::Shed | Reason::Overloaded
        )
    });
    let late = (is_past_deadline(plan) && partials.iter().any(Option::is_none))
        || failures().any(|failure| failure.reason() == Reason::Deadline);
    let kind = match (overloaded, late) {
        (true, _) => Kind::Overloaded,
        (false, true) => Kind::Deadline,
        (false, false) => Kind::Coverage,
    };
    let retry_after_ms = failures().map(|failure| failure.retry_after_ms).max();
    let detail = format!(
        "{} of {} shards of snapshot {} answered",
        coverage.answered, coverage.shards, plan.snapshot.number
    );
    Problem::new(kind, Run::from_not_run(!any_may_have_run), detail).retry_after(
        Duration::from_millis(retry_after_ms.unwrap_or_default().max(1_000)),
    )
}

//! Runs one query: pins a snapshot, gathers, and answers with what was really merged.

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
    collector::ran,
    entry::Entry,
    gather::{
        gather,
        Gathered,
        ATTEMPTS, //
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

/// Time before the deadline that is kept for merging and for the way back.
const MERGE: Duration = Duration::from_millis(3);
/// Least time left for a second run on another snapshot.
const RERUN_MIN: Duration = Duration::from_millis(20);

/// Runs the query of `name` and returns the answer's body.
///
/// # Errors
///
/// Fails if the group is unknown or if fewer shards answered than the preset accepts.
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
        .pins
        .choose(group)
        .ok_or_else(|| Problem::new(Kind::Unavailable, Run::NotRun, "the group has no snapshot"))?;
    let mut plan = plan(head, name, snapshot, query);
    let mut gathered = gather(&entry.router, &entry.patience, &plan).await;
    entry.meter.sub_requests(&gathered.partials);
    if let Some(snapshot) = second(entry, head, group, &plan, &gathered.partials) {
        entry.meter.rerun();
        let again = Plan {
            first: plan.first + ATTEMPTS,
            least: least(head, &snapshot),
            snapshot,
            ..plan.clone()
        };
        let other = gather(&entry.router, &entry.patience, &again).await;
        entry.meter.sub_requests(&other.partials);
        let ran = may_have_run(&gathered) || may_have_run(&other);
        // Each run is of one snapshot; the one that covers more is answered with.
        if lost(&other.partials) < lost(&gathered.partials) {
            (plan, gathered) = (again, other);
        }
        gathered.may_have_run = ran;
    }
    finish(entry, head, query, &plan, &gathered)
}

fn plan(head: &Head, group: &Arc<str>, snapshot: &Arc<Snapshot>, query: &Query) -> Plan {
    Plan {
        request: Bytes::copy_from_slice(head.id.as_bytes()),
        group: group.clone(),
        snapshot: snapshot.clone(),
        presets: head.view.versions.presets,
        first: 1,
        class: head.view.preset.class(group).number(),
        least: least(head, snapshot),
        body: Bytes::copy_from_slice(query.query.get().as_bytes()),
        deadline: head.deadline - MERGE,
    }
}

/// Returns the shards that an answer covers at least, never none.
fn least(head: &Head, snapshot: &Snapshot) -> usize {
    let shards = snapshot.shards.len() as f64 * head.view.preset.coverage_min;
    (shards.ceil() as usize).max(1)
}

/// Returns the snapshot for a second run, if services no longer or not yet hold the pinned one and
/// fewer are known to lack another.
fn second<S>(
    entry: &Entry<S>,
    head: &Head,
    group: &Group,
    plan: &Plan,
    partials: &[Option<Partial>],
) -> Option<Arc<Snapshot>> {
    let mut gone = 0;
    for (shard, partial) in plan.snapshot.shards.iter().zip(partials) {
        let failure = partial
            .as_ref()
            .and_then(|partial| partial.failure.as_ref());
        match failure {
            Some(failure) if failure.reason() == Reason::SnapshotGone => {
                entry.pins.learn(&shard.service, &failure.held);
                gone += 1;
            }
            _ => {}
        }
    }
    if gone == 0 || head.left() < RERUN_MIN {
        return None;
    }
    let other = entry.pins.choose(group)?;
    let better = other.number != plan.snapshot.number && entry.pins.lacking(other) < gone;
    better.then(|| other.clone())
}

fn lost(partials: &[Option<Partial>]) -> usize {
    let is_lost = |partial: &&Option<Partial>| match partial {
        None => true,
        Some(partial) => partial.failure.is_some(),
    };
    partials.iter().filter(is_lost).count()
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
    entry.meter.coverage(&plan.group, &coverage);
    if coverage.missing.is_empty() {
        entry.meter.overhead(head.arrived.elapsed(), partials);
    }
    if merged.len() < plan.least {
        return Err(too_little(plan, gathered, &coverage));
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
            None if is_late(plan) => "deadline".to_owned(),
            None => "unreachable".to_owned(),
            Some(partial) => name(partial.failure.as_ref()?.reason()),
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

/// Returns whether the deadline has passed; otherwise a part without an outcome has nobody to run it.
fn is_late(plan: &Plan) -> bool {
    Instant::now() >= plan.deadline
}

/// Returns the reason as callers read it, such as `snapshot_gone`.
fn name(reason: Reason) -> String {
    let name = reason.as_str_name();
    name.strip_prefix("REASON_").unwrap_or(name).to_lowercase()
}

/// Returns whether a byte of the query may have reached a backend server that ran it.
fn may_have_run(gathered: &Gathered) -> bool {
    let outcomes = &gathered.partials;
    gathered.may_have_run || outcomes.iter().any(|part| part.as_ref().is_none_or(ran))
}

/// Makes the refusal of a query that too few shards answered.
fn too_little(plan: &Plan, gathered: &Gathered, coverage: &Coverage<'_>) -> Problem {
    let partials = &gathered.partials;
    let ran = may_have_run(gathered);
    let failures = || partials.iter().flatten().filter_map(|p| p.failure.as_ref());
    let overloaded = failures().any(|failure| {
        matches!(
            failure.reason(),
            Reason::QueueFull | Reason::Shed | Reason::Overloaded
        )
    });
    let late = (is_late(plan) && partials.iter().any(Option::is_none))
        || failures().any(|failure| failure.reason() == Reason::Deadline);
    let kind = match (overloaded, late) {
        (true, _) => Kind::Overloaded,
        (false, true) => Kind::Deadline,
        (false, false) => Kind::Coverage,
    };
    let after = failures().map(|failure| failure.retry_after_ms).max();
    let detail = format!(
        "{} of {} shards of snapshot {} answered",
        coverage.answered, coverage.shards, plan.snapshot.number
    );
    Problem::new(kind, Run::from_not_run(!ran), detail)
        .retry_after(Duration::from_millis(after.unwrap_or_default().max(1_000)))
}

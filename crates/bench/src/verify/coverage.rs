//! Checks the coverage that an answer states.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use super::{
    index::Index,
    log::RequestEnd,
    violation::{
        Finding,
        Violation, //
    },
};
use crate::replay::{
    record::{
        Coverage,
        Part, //
    },
    Record,
};

/// Checks the coverage of one answer against its parts and the log.
pub(super) fn check(record: &Record, index: &Index<'_>, violations: &mut Vec<Violation>) {
    let Some(coverage) = record.coverage.as_ref().filter(|_| record.is_answered()) else {
        return;
    };
    let mut findings = Vec::new();
    check_counts(record, coverage, &mut findings);
    check_repeats(record, coverage, &mut findings);
    if index.complete {
        check_finished(record, coverage, index, &mut findings);
    }
    let violation = |finding| Violation::new(&record.request, finding);
    violations.extend(findings.into_iter().map(violation));
}

fn check_counts(record: &Record, coverage: &Coverage, findings: &mut Vec<Finding>) {
    let missing = coverage.missing.len() as u32;
    let parts = record.parts.as_ref().map(|parts| parts.len() as u32);
    let adds_up = u64::from(coverage.answered) + u64::from(missing) == u64::from(coverage.shards);
    if adds_up && parts.is_none_or(|parts| parts == coverage.answered) {
        return;
    }
    findings.push(Finding::Counts {
        shards: coverage.shards,
        answered: coverage.answered,
        missing,
        parts,
    });
}

fn check_repeats(record: &Record, coverage: &Coverage, findings: &mut Vec<Finding>) {
    let parts = record.parts.iter().flatten().map(|part| &part.shard);
    let missing = coverage.missing.iter().map(|missing| &missing.shard);
    let mut seen = BTreeSet::new();
    for shard in parts.chain(missing) {
        if !seen.insert(shard) {
            findings.push(Finding::RepeatedShard {
                shard: shard.clone(),
            });
        }
    }
}

/// Checks that backend servers finished the query on each shard that counts as answered.
fn check_finished(
    record: &Record,
    coverage: &Coverage,
    index: &Index<'_>,
    findings: &mut Vec<Finding>,
) {
    let finished = finished(record, index);
    if let Some(parts) = &record.parts {
        let unfinished = parts.iter().filter(|part| !is_finished(part, &finished));
        findings.extend(unfinished.map(|part| Finding::Unserved {
            shard: part.shard.clone(),
        }));
        return;
    }
    let missing = |shard: &Arc<str>| coverage.missing.iter().any(|item| item.shard == *shard);
    let shards: BTreeSet<_> = finished.iter().map(|(shard, _)| shard).collect();
    let count = shards.into_iter().filter(|shard| !missing(shard)).count() as u32;
    if count < coverage.answered {
        findings.push(Finding::UnservedCount {
            answered: coverage.answered,
            served: count,
        });
    }
}

/// Returns the shards, and their servers, that finished the request on the answer's snapshot.
fn finished(record: &Record, index: &Index<'_>) -> BTreeSet<(Arc<str>, Arc<str>)> {
    let entries = index.request(record.backend_request_id()).iter();
    entries
        .filter(|entry| {
            entry.outcome == Some(RequestEnd::Done) && entry.snapshot == record.snapshot
        })
        .filter_map(|entry| Some((entry.shard.clone()?, entry.server.clone())))
        .collect()
}

fn is_finished(part: &Part, finished: &BTreeSet<(Arc<str>, Arc<str>)>) -> bool {
    match part.server.is_empty() {
        true => finished.iter().any(|(shard, _)| *shard == part.shard),
        false => finished.contains(&(part.shard.clone(), part.server.clone())),
    }
}

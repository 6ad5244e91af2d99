//! Whether the coverage of an answer is true.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use super::{
    index::Index,
    log::End,
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

/// Recomputes the coverage of one answer from its parts and from the log.
pub(super) fn check(record: &Record, index: &Index<'_>, violations: &mut Vec<Violation>) {
    let Some(coverage) = record.coverage.as_ref().filter(|_| record.is_answered()) else {
        return;
    };
    let mut found = Vec::new();
    check_counts(record, coverage, &mut found);
    check_repeats(record, coverage, &mut found);
    if index.complete {
        check_served(record, coverage, index, &mut found);
    }
    let violation = |finding| Violation::new(&record.request, finding);
    violations.extend(found.into_iter().map(violation));
}

fn check_counts(record: &Record, coverage: &Coverage, found: &mut Vec<Finding>) {
    let missing = coverage.missing.len() as u32;
    let parts = record.parts.as_ref().map(|parts| parts.len() as u32);
    let adds_up = u64::from(coverage.answered) + u64::from(missing) == u64::from(coverage.shards);
    if adds_up && parts.is_none_or(|parts| parts == coverage.answered) {
        return;
    }
    found.push(Finding::Counts {
        shards: coverage.shards,
        answered: coverage.answered,
        missing,
        parts,
    });
}

fn check_repeats(record: &Record, coverage: &Coverage, found: &mut Vec<Finding>) {
    let parts = record.parts.iter().flatten().map(|part| &part.shard);
    let missing = coverage.missing.iter().map(|missing| &missing.shard);
    let mut seen = BTreeSet::new();
    for shard in parts.chain(missing) {
        if !seen.insert(shard) {
            found.push(Finding::RepeatedShard {
                shard: shard.clone(),
            });
        }
    }
}

/// Checks the answered shards against the queries that backend servers finished.
fn check_served(record: &Record, coverage: &Coverage, index: &Index<'_>, found: &mut Vec<Finding>) {
    let served = served(record, index);
    if let Some(parts) = &record.parts {
        let unserved = parts.iter().filter(|part| !is_served(part, &served));
        found.extend(unserved.map(|part| Finding::Unserved {
            shard: part.shard.clone(),
        }));
        return;
    }
    let missing = |shard: &Arc<str>| coverage.missing.iter().any(|item| item.shard == *shard);
    let shards: BTreeSet<_> = served.iter().map(|(shard, _)| shard).collect();
    let count = shards.into_iter().filter(|shard| !missing(shard)).count() as u32;
    if count < coverage.answered {
        found.push(Finding::UnservedCount {
            answered: coverage.answered,
            served: count,
        });
    }
}

/// Returns the shards and servers that finished the request on the answer's snapshot.
fn served(record: &Record, index: &Index<'_>) -> BTreeSet<(Arc<str>, Arc<str>)> {
    let entries = index.request(record.logged()).iter();
    entries
        .filter(|entry| entry.outcome == Some(End::Done) && entry.snapshot == record.snapshot)
        .filter_map(|entry| Some((entry.shard.clone()?, entry.server.clone())))
        .collect()
}

fn is_served(part: &Part, served: &BTreeSet<(Arc<str>, Arc<str>)>) -> bool {
    match part.server.is_empty() {
        true => served.iter().any(|(shard, _)| *shard == part.shard),
        false => served.contains(&(part.shard.clone(), part.server.clone())),
    }
}

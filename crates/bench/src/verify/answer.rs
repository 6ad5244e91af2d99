//! Whether an answer is whole, single and of one snapshot.

use std::collections::{
    BTreeSet,
    HashSet, //
};

use super::{
    log::{
        base,
        Log, //
    },
    violation::{
        Finding,
        Violation, //
    },
};
use crate::replay::{
    record::{
        Fault,
        Part, //
    },
    Record,
};

/// Checks one answer by itself and against the shards of its snapshot.
pub(super) fn check(record: &Record, log: &Log, violations: &mut Vec<Violation>) {
    let mut found = Vec::new();
    if record.fault == Some(Fault::Malformed) {
        found.push(Finding::Broken);
    }
    if record.is_answered() && record.echoed.is_none() {
        found.push(Finding::Unechoed);
    }
    if let Some(echoed) = record
        .echoed
        .as_ref()
        .filter(|echoed| **echoed != record.request)
    {
        found.push(Finding::WrongRequest {
            found: echoed.clone(),
        });
    }
    for part in record.parts.iter().flatten() {
        check_part(record, part, &mut found);
    }
    if record.is_answered() {
        check_shards(record, log, &mut found);
    }
    let violation = |finding| Violation::new(&record.request, finding);
    violations.extend(found.into_iter().map(violation));
}

fn check_part(record: &Record, part: &Part, found: &mut Vec<Finding>) {
    if let Some(stamped) = part
        .snapshot
        .filter(|stamped| Some(*stamped) != record.snapshot)
    {
        found.push(Finding::MixedSnapshot {
            shard: part.shard.clone(),
            stamped,
        });
    }
    if let Some(request) = part
        .request
        .as_ref()
        .filter(|id| base(id) != record.logged())
    {
        found.push(Finding::WrongPart {
            shard: part.shard.clone(),
            found: request.clone(),
        });
    }
    if let Some(stamped) = part
        .stamped
        .as_ref()
        .filter(|stamped| **stamped != part.shard)
    {
        found.push(Finding::WrongShard {
            shard: part.shard.clone(),
            found: stamped.clone(),
        });
    }
}

/// Checks that the shards named by an answer are those of its snapshot.
fn check_shards(record: &Record, log: &Log, found: &mut Vec<Finding>) {
    let (Some(snapshot), Some(coverage)) = (record.snapshot, &record.coverage) else {
        return;
    };
    let Some(snapshots) = log.groups.get(&record.target) else {
        return;
    };
    let Some(shards) = snapshots.get(&snapshot) else {
        found.push(Finding::UnknownSnapshot { snapshot });
        return;
    };
    let parts = record.parts.iter().flatten().map(|part| &part.shard);
    let missing = coverage.missing.iter().map(|missing| &missing.shard);
    let named: BTreeSet<_> = parts.chain(missing).cloned().collect();
    for shard in named.difference(shards).cloned() {
        found.push(Finding::ForeignShard { shard });
    }
    // Merged hits name no shard but the missing ones; there the count has to do.
    if record.parts.is_none() && coverage.shards as usize == shards.len() {
        return;
    }
    for shard in shards.difference(&named).cloned() {
        found.push(Finding::UnnamedShard { shard });
    }
}

/// Checks that no request has two answers, and no two requests have one.
pub(super) fn check_single(records: &[Record], violations: &mut Vec<Violation>) {
    let mut requests = HashSet::new();
    let mut ids = HashSet::new();
    for record in records.iter().filter(|record| record.status != 0) {
        let is_new = requests.insert(&record.request);
        let is_own = record.id.as_ref().is_none_or(|id| ids.insert(id));
        if !is_new || !is_own {
            violations.push(Violation::new(&record.request, Finding::Doubled));
        }
    }
}

//! Checks that an answer is complete, unique and from one snapshot.

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

/// Checks one answer: its own consistency, and its shards against those of its snapshot.
pub(super) fn check(record: &Record, log: &Log, violations: &mut Vec<Violation>) {
    let mut findings = Vec::new();
    if record.fault == Some(Fault::Malformed) {
        findings.push(Finding::Broken);
    }
    if record.is_answered() && record.echoed.is_none() {
        findings.push(Finding::Unechoed);
    }
    if let Some(echoed) = record
        .echoed
        .as_ref()
        .filter(|echoed| **echoed != record.request)
    {
        findings.push(Finding::WrongRequest {
            found: echoed.clone(),
        });
    }
    for part in record.parts.iter().flatten() {
        check_part(record, part, &mut findings);
    }
    if record.is_answered() {
        check_shards(record, log, &mut findings);
    }
    let violation = |finding| Violation::new(&record.request, finding);
    violations.extend(findings.into_iter().map(violation));
}

fn check_part(record: &Record, part: &Part, findings: &mut Vec<Finding>) {
    if let Some(stamped) = part
        .snapshot
        .filter(|stamped| Some(*stamped) != record.snapshot)
    {
        findings.push(Finding::MixedSnapshot {
            shard: part.shard.clone(),
            stamped,
        });
    }
    if let Some(request) = part
        .request
        .as_ref()
        .filter(|id| base(id) != record.backend_request_id())
    {
        findings.push(Finding::WrongPart {
            shard: part.shard.clone(),
            found: request.clone(),
        });
    }
    if let Some(stamped) = part
        .stamped
        .as_ref()
        .filter(|stamped| **stamped != part.shard)
    {
        findings.push(Finding::WrongShard {
            shard: part.shard.clone(),
            found: stamped.clone(),
        });
    }
}

/// Checks that an answer names exactly the shards of its snapshot.
fn check_shards(record: &Record, log: &Log, findings: &mut Vec<Finding>) {
    let (Some(snapshot), Some(coverage)) = (record.snapshot, &record.coverage) else {
        return;
    };
    let Some(snapshots) = log.groups.get(&record.target) else {
        return;
    };
    let Some(shards) = snapshots.get(&snapshot) else {
        findings.push(Finding::UnknownSnapshot { snapshot });
        return;
    };
    let parts = record.parts.iter().flatten().map(|part| &part.shard);
    let missing = coverage.missing.iter().map(|missing| &missing.shard);
    let named: BTreeSet<_> = parts.chain(missing).cloned().collect();
    for shard in named.difference(shards).cloned() {
        findings.push(Finding::ForeignShard { shard });
    }
    // An answer with merged hits names only its missing shards, so only the number of shards can be compared.
    if record.parts.is_none() && coverage.shards as usize == shards.len() {
        return;
    }
    for shard in shards.difference(&named).cloned() {
        findings.push(Finding::UnnamedShard { shard });
    }
}

/// Checks that no request has two answers, and that no answer belongs to two requests.
pub(super) fn check_single(records: &[Record], violations: &mut Vec<Violation>) {
    let mut requests = HashSet::new();
    let mut ids = HashSet::new();
    for record in records.iter().filter(|record| record.status != 0) {
        let is_first_answer = requests.insert(&record.request);
        let is_new_id = record.id.as_ref().is_none_or(|id| ids.insert(id));
        if !is_first_answer || !is_new_id {
            violations.push(Violation::new(&record.request, Finding::Doubled));
        }
    }
}

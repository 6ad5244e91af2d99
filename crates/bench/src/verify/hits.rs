//! Checks the hits of an answer, which are a function of the shard, the snapshot and the query.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use super::{
    log::Log,
    violation::{
        Finding,
        Violation, //
    },
};
use crate::{
    backends::hits::{
        self,
        Hit, //
    },
    replay::{
        answer::hash_hits,
        send::query_of,
        Record, //
    },
};

/// Checks the hits of one answer against recomputed ones.
pub(super) fn check(record: &Record, log: &Log, violations: &mut Vec<Violation>) {
    let Some(snapshot) = record.snapshot.filter(|_| record.is_answered()) else {
        return;
    };
    let query = query_of(record);
    for part in record.parts.iter().flatten() {
        let expected = hash_hits(&hits::hits(&part.shard, snapshot, query.as_bytes()));
        if part.hits.is_some_and(|found| found != expected) {
            let shard = part.shard.clone();
            violations.push(Violation::new(
                &record.request,
                Finding::WrongHits { shard },
            ));
        }
    }
    let merged = shards(record, snapshot, log).map(|shards| {
        let top = record.top.unwrap_or_default() as usize;
        hash_hits(&merge(&shards, snapshot, &query, top))
    });
    match (merged, record.hits) {
        (Some(expected), Some(found)) if expected != found => {
            violations.push(Violation::new(&record.request, Finding::WrongMerge));
        }
        _ => {}
    }
}

/// Returns the shards that contribute to an answer, if the snapshot is known.
fn shards(record: &Record, snapshot: u64, log: &Log) -> Option<BTreeSet<Arc<str>>> {
    let all = log.groups.get(&record.target)?.get(&snapshot)?;
    let missing = record
        .coverage
        .iter()
        .flat_map(|coverage| &coverage.missing);
    let missing = missing.map(|missing| missing.shard.clone()).collect();
    Some(all.difference(&missing).cloned().collect())
}

/// Returns the best hits of the shards: highest score first, ties by id.
fn merge(shards: &BTreeSet<Arc<str>>, snapshot: u64, query: &str, top: usize) -> Vec<Hit> {
    let hits = |shard: &Arc<str>| hits::hits(shard, snapshot, query.as_bytes());
    let mut all: Vec<_> = shards.iter().flat_map(hits).collect();
    all.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    all.truncate(top);
    all
}

//! Checks that refused requests weren't run, and that each idempotency key runs at most once.

use std::collections::BTreeSet;

use super::{
    index::{
        Index,
        Key, //
    },
    log::{
        Entry,
        RequestEnd, //
    },
    violation::{
        Finding,
        Violation, //
    },
};
use crate::{
    replay::{
        record::Run,
        Record, //
    },
    trace::Kind,
};

/// Checks against the whole log that a request that was refused as not run was never started.
pub(super) fn check_refusal(record: &Record, index: &Index<'_>, violations: &mut Vec<Violation>) {
    if record.run != Some(Run::NotRun) {
        return;
    }
    let entries = index.request(record.backend_request_id()).iter();
    let own = entries
        .filter(|entry| entry.started_us.is_some())
        .map(|entry| {
            let server = entry.server.clone();
            Finding::RanAnyway { server }
        });
    let key = record.key.as_deref().and_then(|key| index.key(key));
    let others = key.and_then(|key| find_start_of_key(record, key));
    let violation = |finding| Violation::new(&record.request, finding);
    violations.extend(own.take(1).chain(others).map(violation));
}

/// Returns a violation if another send of the refused key was started, unless it was sent after the refusal.
fn find_start_of_key(record: &Record, key: &Key<'_>) -> Option<Finding> {
    let entry = key.starts.iter().find(|entry| {
        entry.base() != record.backend_request_id() && !is_later_send(record, key, entry)
    })?;
    let server = entry.server.clone();
    Some(match entry.started_us {
        Some(started) if started <= record.answered_us => Finding::RanBefore { server },
        _ => Finding::RanLater { server },
    })
}

fn is_later_send(refused: &Record, key: &Key<'_>, entry: &Entry) -> bool {
    let mut sends = key.sends.iter();
    let send = sends.find(|send| send.backend_request_id() == entry.base());
    send.is_some_and(|send| send.sent_us > refused.answered_us)
}

/// Checks that a backend server finished an answered call, for this send or another one with its key.
pub(super) fn check_finished(record: &Record, index: &Index<'_>, violations: &mut Vec<Violation>) {
    if record.kind != Kind::Call || !record.is_answered() || !index.complete {
        return;
    }
    let own = index.request(record.backend_request_id()).iter();
    let key = record.key.as_deref().and_then(|key| index.key(key));
    let mut all = own.chain(key.into_iter().flat_map(|key| &key.starts));
    if !all.any(|entry| entry.outcome == Some(RequestEnd::Done)) {
        violations.push(Violation::new(&record.request, Finding::Invented));
    }
}

/// Checks that each key was started at most once, and that all answers to it agree.
pub(super) fn check_keys(index: &Index<'_>, violations: &mut Vec<Violation>) {
    for (key, known) in index.keys() {
        if known.starts.len() > 1 {
            let servers = known.starts.iter().map(|entry| entry.server.clone());
            let servers = servers.collect();
            violations.push(Violation::new(key, Finding::Repeated { servers }));
        }
        let answered = known.sends.iter().filter(|send| send.is_answered());
        let payloads: BTreeSet<_> = answered.map(|send| send.payload).collect();
        let count = payloads.len();
        if count > 1 {
            violations.push(Violation::new(key, Finding::Outcomes { count }));
        }
    }
}

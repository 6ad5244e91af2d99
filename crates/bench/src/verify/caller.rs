//! Checks that no caller lost its connection or saw a configuration revert.

use std::{
    collections::BTreeMap,
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
    balancer,
    replay::{
        record::Fault,
        Record, //
    },
};

/// Time after its acceptance within which a configuration must be in force everywhere, in microseconds.
const MAX_APPLY_US: u64 = 19_000_000;

/// Checks that no request lost its connection in a run without unplanned faults.
pub(super) fn check_cut(record: &Record, log: &Log, violations: &mut Vec<Violation>) {
    if is_cut(record) && !log.unplanned {
        violations.push(Violation::new(&record.request, Finding::CutOff));
    }
}

/// Returns whether a request lost its connection, either to the balancer or from the balancer to an instance.
fn is_cut(record: &Record) -> bool {
    record.fault == Some(Fault::Cut) || record.problem.as_deref() == Some(balancer::INSTANCE_LOST)
}

/// Checks the versions of the presets that answers state.
pub(super) fn check_presets(records: &[Record], log: &Log, violations: &mut Vec<Violation>) {
    let mut instances: BTreeMap<Arc<str>, Vec<&Record>> = BTreeMap::new();
    for record in records.iter().filter(|record| record.preset.is_some()) {
        check_accepted(record, log, violations);
        if let Some(instance) = answering_instance(record, log) {
            instances.entry(instance).or_default().push(record);
        }
    }
    for records in instances.into_values() {
        check_order(records, violations);
    }
}

/// Returns the instance that answered, if it is known.
fn answering_instance(record: &Record, log: &Log) -> Option<Arc<str>> {
    match &record.instance {
        Some(instance) => Some(instance.clone()),
        None if log.instances.contains(&record.address) => Some(record.address.to_string().into()),
        None => None,
    }
}

fn check_accepted(record: &Record, log: &Log, violations: &mut Vec<Violation>) {
    let version = record.preset.unwrap_or_default();
    if log.presets.is_empty() {
        return;
    }
    if !log
        .presets
        .iter()
        .any(|accepted| accepted.version == version)
    {
        let finding = Finding::UnknownVersion { version };
        violations.push(Violation::new(&record.request, finding));
    }
    let due = |at_us: u64| at_us + MAX_APPLY_US < record.sent_us;
    let due = log.presets.iter().filter(|accepted| due(accepted.at_us));
    let newest = due.map(|accepted| accepted.version).max();
    if let Some(newer) = newest.filter(|newest| *newest > version) {
        let finding = Finding::StaleVersion { version, newer };
        violations.push(Violation::new(&record.request, finding));
    }
}

/// Checks that a request that was sent after an answer doesn't use an older version than that answer.
fn check_order(records: Vec<&Record>, violations: &mut Vec<Violation>) {
    let mut by_answer = records.clone();
    by_answer.sort_by_key(|record| record.answered_us);
    let mut by_answer = by_answer.into_iter().peekable();
    let mut by_send = records;
    by_send.sort_by_key(|record| record.sent_us);
    let mut newest = 0;
    for send in by_send {
        while let Some(answer) = by_answer.next_if(|answer| answer.answered_us < send.sent_us) {
            newest = newest.max(answer.preset.unwrap_or_default());
        }
        let to = send.preset.unwrap_or_default();
        if to < newest {
            let finding = Finding::Reverted { from: newest, to };
            violations.push(Violation::new(&send.request, finding));
        }
    }
}

//! Whether callers were cut off, or saw a configuration revert.

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

/// Time after its acceptance within which a configuration is in force everywhere, in microseconds.
const CONFIG_BOUND_US: u64 = 19_000_000;

/// Checks that no request was cut while only planned stops happened.
pub(super) fn check_cut(record: &Record, log: &Log, violations: &mut Vec<Violation>) {
    if is_cut(record) && !log.unplanned {
        violations.push(Violation::new(&record.request, Finding::CutOff));
    }
}

/// Returns whether a connection was closed on a request, before the balancer or behind it.
fn is_cut(record: &Record) -> bool {
    record.fault == Some(Fault::Cut) || record.problem.as_deref() == Some(balancer::LOST)
}

/// Checks the preset versions that answers state.
pub(super) fn check_presets(records: &[Record], log: &Log, violations: &mut Vec<Violation>) {
    let mut instances: BTreeMap<Arc<str>, Vec<&Record>> = BTreeMap::new();
    for record in records.iter().filter(|record| record.preset.is_some()) {
        check_accepted(record, log, violations);
        if let Some(instance) = instance(record, log) {
            instances.entry(instance).or_default().push(record);
        }
    }
    for records in instances.into_values() {
        check_order(records, violations);
    }
}

/// Returns the instance that answered, if it can be told.
fn instance(record: &Record, log: &Log) -> Option<Arc<str>> {
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
    let due = |at_us: u64| at_us + CONFIG_BOUND_US < record.sent_us;
    let due = log.presets.iter().filter(|accepted| due(accepted.at_us));
    let newest = due.map(|accepted| accepted.version).max();
    if let Some(newer) = newest.filter(|newest| *newest > version) {
        let finding = Finding::StaleVersion { version, newer };
        violations.push(Violation::new(&record.request, finding));
    }
}

/// Checks that a request sent after an answer doesn't run under an older version than it.
fn check_order(records: Vec<&Record>, violations: &mut Vec<Violation>) {
    let mut answers = records.clone();
    answers.sort_by_key(|record| record.answered_us);
    let mut answers = answers.into_iter().peekable();
    let mut sends = records;
    sends.sort_by_key(|record| record.sent_us);
    let mut shown = 0;
    for send in sends {
        while let Some(answer) = answers.next_if(|answer| answer.answered_us < send.sent_us) {
            shown = shown.max(answer.preset.unwrap_or_default());
        }
        let to = send.preset.unwrap_or_default();
        if to < shown {
            let finding = Finding::Reverted { from: shown, to };
            violations.push(Violation::new(&send.request, finding));
        }
    }
}

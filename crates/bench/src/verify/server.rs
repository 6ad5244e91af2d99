//! Checks that backend servers got no work while draining, and no connections above their limit.

use std::collections::HashMap;

use super::{
    log::{
        LeavingMark,
        Log, //
    },
    violation::{
        Finding,
        Violation, //
    },
};

/// Time after the mark for which a leaving backend server may still receive new work, in microseconds.
const MAX_LEAVING_DELAY_US: u64 = 3_000_000;

/// Checks that no work arrived at a backend server long after it was marked as leaving.
pub(super) fn check_leaving(log: &Log, violations: &mut Vec<Violation>) {
    let mut marks: HashMap<_, Vec<&LeavingMark>> = HashMap::new();
    for mark in &log.marks {
        marks.entry(&mark.server).or_default().push(mark);
    }
    for entry in &log.records {
        let marks = marks.get(&entry.server).into_iter().flatten();
        let Some(mark) = marks.clone().find(|mark| is_late(mark, entry.arrived_us)) else {
            continue;
        };
        let finding = Finding::Late {
            request: entry.request.clone(),
            after_us: entry.arrived_us - mark.at_us,
        };
        violations.push(Violation::new(&entry.server, finding));
    }
}

fn is_late(mark: &LeavingMark, arrived_us: u64) -> bool {
    let is_overdue = arrived_us > mark.at_us + MAX_LEAVING_DELAY_US;
    is_overdue && mark.until_us.is_none_or(|until| arrived_us < until)
}

/// Checks that no backend server had more connections than its limit.
pub(super) fn check_connections(log: &Log, violations: &mut Vec<Violation>) {
    for server in &log.servers {
        if server.connections_peak <= server.connections && server.connections_refused == 0 {
            continue;
        }
        let finding = Finding::OverLimit {
            limit: server.connections,
            peak: server.connections_peak,
            refused: server.connections_refused,
        };
        violations.push(Violation::new(&server.name, finding));
    }
}

//! Aggregates the records of a replay into a report.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    latency::{
        round_3,
        round_5,
        Latency,
        Point, //
    },
    load::{
        Load,
        Loads, //
    },
};
use crate::{
    replay::{
        record::{
            Fault,
            Record, //
        },
        Outcome,
    },
    verify::{
        log::RequestEnd,
        Log,
        Promise,
        Verdict,
        Violation, //
    },
};

/// Time past its deadline after which an answer counts as late, in microseconds.
pub const LATE_US: u64 = 50_000;
/// Maximum number of violations that a report lists in full.
const MAX_EXAMPLES: usize = 20;

/// The figures of one group or service, or of all requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Target {
    /// Requests, without the callers' own retries.
    pub queries: u64,
    /// Requests with a valid answer of status 200.
    pub answered: u64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// Share of the requests that got a complete answer in time, retries by the caller included, and whose
    /// work ran at most once.
    pub goodput: f64,
    /// Mean coverage of the answers to queries, a share of the shards; 1 if there are no answers.
    pub coverage: f64,
    /// Share of the answers to queries that are partial.
    pub partial: f64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests without a usable answer.
    pub errors: u64,
    /// Requests answered or given up more than [`LATE_US`] past their deadline.
    pub late: u64,
    /// Sub-requests started on backend servers beyond the needed ones, as a share of these.
    pub extra_load: f64,
    /// Share of the started sub-requests whose request got no valid answer.
    pub wasted_load: f64,
}

/// One second of a replay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Second {
    /// Seconds since the start.
    pub at: u64,
    /// Requests that were due.
    pub queries: u64,
    /// Mean coverage of the answers to queries.
    pub coverage: f64,
    /// Extra load, as in [`Target`].
    pub extra_load: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

/// The report of a replay.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Summary {
    /// Name of the run, for comparisons.
    pub label: String,
    /// Length, in seconds.
    pub seconds: f64,
    /// Figures over all requests.
    #[serde(flatten)]
    pub all: Target,
    /// Requests per second that count as goodput.
    pub goodput_rate: f64,
    /// Retries by the callers themselves.
    pub caller_retries: u64,
    /// 99th percentile of the delay between the intended time and the send, in milliseconds.
    pub send_lag_p99_ms: f64,
    /// Refusals by problem type.
    pub refusals: BTreeMap<Arc<str>, u64>,
    /// Requests without a usable answer, by cause.
    pub faults: BTreeMap<Fault, u64>,
    /// Missing shards by the reason that the answer gives.
    pub missing: BTreeMap<Arc<str>, u64>,
    /// Sub-requests by how they ended on a backend server.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Figures by group or service.
    pub targets: BTreeMap<Arc<str>, Target>,
    /// Entries that the backend servers dropped because their log was full.
    pub log_dropped: u64,
    /// Whether the log lacks entries, so that not every promise was checked.
    pub partial_log: bool,
    /// Violations by promise.
    pub violations: BTreeMap<Promise, u64>,
    /// The first violations, in full.
    pub examples: Vec<Violation>,
    /// Latency by percentile.
    pub curve: Vec<Point>,
    /// Figures by second.
    pub series: Vec<Second>,
}

/// Aggregates an outcome, the servers' log and the verdict on both into a report.
pub fn run(outcome: &Outcome, log: &Log, verdict: &Verdict) -> Summary {
    let loads = Loads::count(log);
    let mut all = Tally::default();
    let mut targets: BTreeMap<Arc<str>, Tally> = BTreeMap::new();
    let mut seconds: BTreeMap<u64, Tally> = BTreeMap::new();
    let mut lag = Latency::default();
    let mut summary = Summary::default();
    for arrival in outcome.records.chunk_by(|a, b| a.arrival == b.arrival) {
        let first = &arrival[0];
        let at = first.intended_us.saturating_sub(outcome.started_us) / 1_000_000;
        all.add(arrival, &loads);
        targets
            .entry(first.target.clone())
            .or_default()
            .add(arrival, &loads);
        seconds.entry(at).or_default().add(arrival, &loads);
        lag.add(first.sent_us.saturating_sub(first.intended_us));
        summary.caller_retries += arrival.len() as u64 - 1;
        summary.count_causes(first);
    }
    summary.seconds = round_3(outcome.ended_us.saturating_sub(outcome.started_us) as f64 / 1e6);
    summary.goodput_rate = match summary.seconds {
        0.0 => 0.0,
        seconds => round_3(all.good_requests as f64 / seconds),
    };
    summary.send_lag_p99_ms = lag.percentile_ms(99.0);
    summary.curve = all.latency.curve();
    summary.all = all.to_target();
    summary.targets = targets
        .iter()
        .map(|(name, tally)| (name.clone(), tally.to_target()))
        .collect();
    summary.series = seconds
        .iter()
        .map(|(at, tally)| tally.to_second(*at))
        .collect();
    for end in log.records.iter().filter_map(|entry| entry.outcome) {
        *summary.ends.entry(end).or_default() += 1;
    }
    summary.log_dropped = log.dropped;
    summary.partial_log = verdict.partial;
    summary.violations = verdict.counts();
    summary.examples = verdict
        .violations
        .iter()
        .take(MAX_EXAMPLES)
        .cloned()
        .collect();
    summary
}

impl Summary {
    /// Returns whether there are no violations and the log dropped no entry.
    pub fn is_clean(&self) -> bool {
        self.log_dropped == 0 && self.violations.values().all(|count| *count == 0)
    }

    /// Returns the report as one line of JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).expect("plain structs serialize")
    }

    /// Counts the fault, the refusal and the missing shards of a record.
    fn count_causes(&mut self, record: &Record) {
        if let Some(fault) = record.fault {
            *self.faults.entry(fault).or_default() += 1;
        }
        if let Some(problem) = record.problem.as_ref().filter(|_| record.is_refused()) {
            *self.refusals.entry(problem.clone()).or_default() += 1;
        }
        for shard in record
            .coverage
            .iter()
            .flat_map(|coverage| &coverage.missing)
        {
            *self.missing.entry(shard.reason.clone()).or_default() += 1;
        }
    }
}

/// Running counts of requests.
#[derive(Debug, Default)]
struct Tally {
    latency: Latency,
    counts: Target,
    good_requests: u64,
    with_coverage: u64,
    coverage_sum: f64,
    partial_answers: u64,
    load: Load,
    wasted_subrequests: u64,
}

impl Tally {
    /// Adds one arrival, with its sends in order.
    fn add(&mut self, sends: &[Record], loads: &Loads<'_>) {
        let first = &sends[0];
        self.counts.queries += 1;
        self.counts.answered += u64::from(first.is_answered());
        self.counts.refused += u64::from(first.is_refused());
        self.counts.errors += u64::from(first.fault.is_some());
        self.counts.late += u64::from(is_late(first));
        self.good_requests += u64::from(is_goodput(sends, loads));
        // A request without an answer counts with the time that its caller waited.
        if !first.is_refused() {
            self.latency.add(first.latency_us());
        }
        if first.is_answered() {
            self.add_coverage(first);
        }
        for send in sends {
            self.add_load(send, loads.of_request(send.backend_request_id()));
        }
    }

    fn add_coverage(&mut self, record: &Record) {
        let Some(coverage) = &record.coverage else {
            return;
        };
        self.with_coverage += 1;
        self.partial_answers += u64::from(coverage.answered < coverage.shards);
        self.coverage_sum += match coverage.shards {
            0 => 1.0,
            shards => f64::from(coverage.answered) / f64::from(shards),
        };
    }

    fn add_load(&mut self, record: &Record, load: Load) {
        self.load.add(load);
        if !record.is_answered() {
            self.wasted_subrequests += load.started;
        }
    }

    fn to_target(&self) -> Target {
        Target {
            p50_ms: self.latency.percentile_ms(50.0),
            p90_ms: self.latency.percentile_ms(90.0),
            p99_ms: self.latency.percentile_ms(99.0),
            p999_ms: self.latency.percentile_ms(99.9),
            goodput: ratio(self.good_requests, self.counts.queries),
            coverage: self.coverage(),
            partial: ratio(self.partial_answers, self.with_coverage),
            extra_load: round_5(self.load.extra_share()),
            wasted_load: ratio(self.wasted_subrequests, self.load.started),
            ..self.counts.clone()
        }
    }

    fn coverage(&self) -> f64 {
        match self.with_coverage {
            0 => 1.0,
            count => round_5(self.coverage_sum / count as f64),
        }
    }

    fn to_second(&self, at: u64) -> Second {
        Second {
            at,
            queries: self.counts.queries,
            coverage: self.coverage(),
            extra_load: round_5(self.load.extra_share()),
            p99_ms: self.latency.percentile_ms(99.0),
        }
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 0.0,
        whole => round_5(part as f64 / whole as f64),
    }
}

/// Returns whether an answer came more than [`LATE_US`] past its deadline.
pub fn is_late(record: &Record) -> bool {
    record.answered_us > record.sent_us + record.timeout_ms * 1_000 + LATE_US
}

/// Returns whether the caller got a complete answer in time, and the work ran at most once.
fn is_goodput(sends: &[Record], loads: &Loads<'_>) -> bool {
    let first = &sends[0];
    let due_us = first.intended_us + first.timeout_ms * 1_000;
    let ran_at_most_once = first.key.as_ref().is_none_or(|key| loads.starts(key) <= 1);
    ran_at_most_once
        && sends
            .iter()
            .any(|send| is_complete(send) && send.answered_us <= due_us)
}

fn is_complete(record: &Record) -> bool {
    let is_full = |coverage: &crate::replay::record::Coverage| coverage.answered == coverage.shards;
    record.is_answered() && record.coverage.as_ref().is_none_or(is_full)
}

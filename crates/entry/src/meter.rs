//! Metrics of the requests of callers.

use std::time::Duration;

use opentelemetry::{
    metrics::{
        Counter,
        Histogram,
        Meter as Source, //
    },
    KeyValue,
};
use wire::Partial;

use crate::{
    answer::Coverage,
    problem::Problem, //
};

/// Upper bounds of the latency histogram.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2, 0.34, 0.5, 1.0, 5.0,
];
/// Upper bounds of the overhead histogram.
const OVERHEAD_BUCKETS_SECONDS: [f64; 8] = [0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.05, 0.1];
/// Upper bounds of the coverage histogram.
const COVERAGE_BUCKETS_RATIO: [f64; 6] = [0.5, 0.8, 0.9, 0.95, 0.99, 1.0];

/// Instruments that record requests and sub-requests.
#[derive(Debug)]
pub struct Meter {
    latency: Histogram<f64>,
    coverage: Histogram<f64>,
    overhead: Histogram<f64>,
    sub_requests: Counter<u64>,
    refusals: Counter<u64>,
    reruns: Counter<u64>,
}

impl Meter {
    /// Creates the instruments.
    pub fn new(source: &Source) -> Self {
        Self {
            latency: source
                .f64_histogram("tanageryoke_request_seconds")
                .with_description("Time to answer a request, by target.")
                .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
                .build(),
            coverage: source
                .f64_histogram("tanageryoke_coverage_ratio")
                .with_description("Share of the shards that an answer covers, by group.")
                .with_boundaries(COVERAGE_BUCKETS_RATIO.to_vec())
                .build(),
            overhead: source
                .f64_histogram("tanageryoke_overhead_seconds")
                .with_description("Time to answer a query beyond its slowest partial.")
                .with_boundaries(OVERHEAD_BUCKETS_SECONDS.to_vec())
                .build(),
            sub_requests: source
                .u64_counter("tanageryoke_sub_requests")
                .with_description("Sub-requests sent to backend servers, by reason.")
                .build(),
            refusals: source
                .u64_counter("tanageryoke_refusals")
                .with_description("Requests refused or failed, by reason and by whether they ran.")
                .build(),
            reruns: source
                .u64_counter("tanageryoke_reruns")
                .with_description("Queries that ran again on another snapshot.")
                .build(),
        }
    }

    /// Records the time to answer a request.
    pub fn record_answer(&self, target: &str, seconds: f64) {
        let target = KeyValue::new("target", target.to_owned());
        self.latency.record(seconds, &[target]);
    }

    /// Counts a refused or failed request.
    pub fn record_refusal(&self, problem: &Problem) {
        let reason = KeyValue::new("reason", problem.kind.name());
        let run = KeyValue::new("run", format!("{:?}", problem.run));
        self.refusals.add(1, &[reason, run]);
    }

    /// Counts a second run of a query.
    pub fn record_rerun(&self) {
        self.reruns.add(1, &[]);
    }

    /// Records the ratio of shards that an answer covers.
    pub fn record_coverage(&self, group: &str, coverage: &Coverage<'_>) {
        let ratio = coverage.answered as f64 / coverage.shards.max(1) as f64;
        let group = KeyValue::new("group", group.to_owned());
        self.coverage.record(ratio, &[group]);
    }

    /// Records how much longer a complete answer took than the slowest of its partials.
    pub fn record_overhead(&self, elapsed: Duration, partials: &[Option<Partial>]) {
        let slowest = partials.iter().flatten().map(|partial| partial.elapsed_us);
        let slowest = Duration::from_micros(slowest.max().unwrap_or_default());
        let overhead = elapsed.saturating_sub(slowest);
        self.overhead.record(overhead.as_secs_f64(), &[]);
    }

    /// Counts the sub-requests of a query.
    pub fn record_sub_requests(&self, partials: &[Option<Partial>]) {
        let sum = |count: fn(&Partial) -> u32| -> u64 {
            partials.iter().flatten().map(|p| u64::from(count(p))).sum()
        };
        let counts = [
            ("first", sum(|partial| partial.first)),
            ("hedge", sum(|partial| partial.hedges)),
            ("retry", sum(|partial| partial.retries)),
        ];
        for (reason, count) in counts {
            self.sub_requests
                .add(count, &[KeyValue::new("reason", reason)]);
        }
    }
}

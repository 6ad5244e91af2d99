//! What a demo measured.

use std::collections::BTreeMap;

use error_stack::{
    Report,
    ResultExt, //
};
use http::Method;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    caller::Tally,
    cluster::{
        self,
        Cluster,
        Used, //
    },
    failure::Failure,
    Form,
};
use crate::{
    backends::{
        Outcome,
        Record, //
    },
    store::Calls,
};

/// What a demo measured.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Requests made by callers.
    pub queries: u64,
    /// Median latency from the intended arrival, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same, in milliseconds.
    pub p99_ms: f64,
    /// Share of the needed parts that answers covered.
    pub coverage: f64,
    /// Sub-requests that reached a backend server over those needed, less one.
    pub extra_load: f64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that got no answer.
    pub lost: u64,
    /// Sub-requests that reached a backend server.
    pub subrequests: u64,
    /// Processor time of all instances for one sub-request, in microseconds.
    pub cpu_us_per_subrequest: f64,
    /// Usage of each instance during the replay.
    pub instances: Vec<Used>,
    /// Calls to the platform during the replay.
    pub platform: Calls,
    /// Broken promises.
    pub violations: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Deserialize)]
struct Log {
    records: Vec<Record>,
}

impl Summary {
    /// Collects the figures of a finished replay.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in can't be reached.
    pub async fn collect(
        cluster: &Cluster,
        tally: Tally,
        before: &[Used],
        calls: &Calls,
    ) -> Result<Self, Report<Failure>> {
        let after = cluster.usage();
        let instances: Vec<_> = after
            .into_iter()
            .zip(before)
            .map(|(mut after, before)| {
                after.usage.cpu_us -= before.usage.cpu_us;
                after
            })
            .collect();
        let log = log(cluster).await?;
        let subrequests = log.records.iter().filter(|record| is_load(record)).count() as u64;
        let cpu_us: u64 = instances.iter().map(|used| used.usage.cpu_us).sum();
        Ok(Self {
            queries: tally.requests,
            p50_ms: tally.latency.value_at_quantile(0.5) as f64 / 1_000.0,
            p99_ms: tally.latency.value_at_quantile(0.99) as f64 / 1_000.0,
            coverage: ratio(tally.covered, tally.needed),
            extra_load: ratio(subrequests, tally.needed) - 1.0,
            refused: tally.refused,
            lost: tally.lost,
            subrequests,
            cpu_us_per_subrequest: ratio(cpu_us, subrequests),
            instances,
            platform: cluster.calls().await?.since(calls),
            violations: BTreeMap::new(),
        })
    }

    /// Returns whether no promise was broken.
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }

    /// Prints the report.
    pub fn print(&self, form: Form) {
        match form {
            Form::Json => println!("{}", serde_json::to_string(self).unwrap_or_default()),
            Form::Table => self.print_table(),
        }
    }

    fn print_table(&self) {
        let rows = serde_json::to_value(self).unwrap_or_default();
        for (name, value) in rows.as_object().into_iter().flatten() {
            println!("{name:<24} {value}");
        }
    }
}

/// Returns whether the record is work that reached a server's queue or slot.
fn is_load(record: &Record) -> bool {
    matches!(
        record.outcome,
        Outcome::Done | Outcome::Cancelled | Outcome::Broken
    )
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

async fn log(cluster: &Cluster) -> Result<Log, Report<Failure>> {
    const CALL: Failure = Failure::Control("log");
    let path = "/control/log?after=0";
    let answer = cluster::control(cluster.layout.backends, Method::GET, path, "").await?;
    serde_json::from_slice(&answer).change_context(CALL)
}

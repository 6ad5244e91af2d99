//! What a demo measured.

use error_stack::{
    Report,
    ResultExt, //
};
use serde::Serialize;

use super::{cluster::Cluster, failure::Failure, instance::Used, Form};
use crate::{
    replay,
    report,
    store::Calls,
    verify, //
};

/// What a demo measured.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// What callers and backend servers saw.
    #[serde(flatten)]
    pub report: report::Summary,
    /// Sub-requests that a backend server started.
    pub subrequests: u64,
    /// Processor time of all instances for one sub-request, in microseconds.
    pub cpu_us_per_subrequest: f64,
    /// Usage of each instance during the replay.
    pub instances: Vec<Used>,
    /// Calls to the platform during the replay.
    pub platform: Calls,
    /// Highest number of connections over any server's limit, 0 if none was over.
    pub connections_over: u64,
    /// Connections that servers closed at once for being over their limit.
    pub connections_refused: u64,
}

impl Summary {
    /// Collects the figures of a finished replay.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in can't be reached.
    pub async fn collect(
        cluster: &Cluster,
        outcome: &replay::Outcome,
        before: &[Used],
        calls: &Calls,
    ) -> Result<Self, Report<Failure>> {
        let instances = used(cluster.usage(), before);
        let mut log = verify::fetch::read(cluster.layout.backends, 0)
            .await
            .change_context(Failure::Control("log"))?;
        cluster.events.borrow().add_to(&mut log);
        let started = log
            .records
            .iter()
            .filter(|entry| entry.started_us.is_some());
        let subrequests = started.count() as u64;
        let cpu_us: u64 = instances.iter().map(|used| used.usage.cpu_us).sum();
        let servers = &log.servers;
        let verdict = verify::run(&outcome.records, &log);
        let mut report = report::run(outcome, &log, &verdict);
        for (promise, count) in cluster.events.borrow().violations() {
            *report.violations.entry(*promise).or_default() += count;
        }
        Ok(Self {
            report,
            subrequests,
            cpu_us_per_subrequest: cpu_us as f64 / subrequests.max(1) as f64,
            instances,
            platform: cluster.calls().await?.since(calls),
            connections_over: servers
                .iter()
                .map(|server| server.connections_peak.saturating_sub(server.connections))
                .max()
                .unwrap_or(0),
            connections_refused: servers
                .iter()
                .map(|server| server.connections_refused)
                .sum(),
        })
    }

    /// Returns whether no promise was broken.
    pub fn is_clean(&self) -> bool {
        self.report.violations.values().all(|count| *count == 0)
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
        let rows = rows.as_object().into_iter().flatten();
        for (name, value) in rows.filter(|(_, value)| !value.is_array()) {
            println!("{name:<24} {value}");
        }
    }
}

fn used(after: Vec<Used>, before: &[Used]) -> Vec<Used> {
    let pairs = after.into_iter().zip(before);
    pairs
        .map(|(mut after, before)| {
            after.usage.cpu_us -= before.usage.cpu_us;
            after
        })
        .collect()
}

//! The report of a demo.

use error_stack::{
    Report,
    ResultExt, //
};
use serde::Serialize;

use super::{
    cluster::Cluster,
    control,
    failure::Failure,
    instance::NamedUsage, //
};
use crate::{
    replay,
    report::{
        self,
        output::{
            Form,
            Output, //
        },
        table,
    },
    store::Calls,
    verify::{
        self,
        log::Server,
        Log, //
    },
};

/// Control path of the presets documents that the platform's stand-in accepted.
const ACCEPTED_PRESETS_PATH: &str = "/control/accepted/config/presets";

/// Counters read before a replay, which are subtracted from those after it.
#[derive(Debug)]
pub struct Baseline {
    instances: Vec<NamedUsage>,
    stand_ins: Vec<NamedUsage>,
    calls: Calls,
}

impl Baseline {
    /// Reads the counters.
    ///
    /// # Errors
    ///
    /// Fails if the platform's stand-in can't be reached.
    pub async fn read(cluster: &Cluster) -> Result<Self, Report<Failure>> {
        Ok(Self {
            instances: cluster.usage(),
            stand_ins: cluster.stand_in_usage(),
            calls: cluster.calls().await?,
        })
    }
}

/// The report of a demo; its field names are part of the JSON output.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// What callers and backend servers saw.
    #[serde(flatten)]
    pub report: report::Summary,
    /// Sub-requests that a backend server started.
    pub subrequests: u64,
    /// CPU time of all instances divided by the sub-requests, in microseconds.
    pub cpu_us_per_subrequest: f64,
    /// Usage of each instance during the replay.
    pub instances: Vec<NamedUsage>,
    /// Usage of each stand-in during the replay.
    pub stands: Vec<NamedUsage>,
    /// Calls to the platform during the replay.
    pub platform: Calls,
    /// Largest excess of connections over a server's limit; 0 if no server exceeded its limit.
    pub connections_over: u64,
    /// Connections that servers closed immediately because they were at their limit.
    pub connections_refused: u64,
}

impl Summary {
    /// Collects the results of a finished replay.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in can't be reached.
    pub async fn collect(
        cluster: &Cluster,
        outcome: &replay::Outcome,
        before: &Baseline,
    ) -> Result<Self, Report<Failure>> {
        let instances = usage_since(cluster.usage(), &before.instances);
        let stands = usage_since(cluster.stand_in_usage(), &before.stand_ins);
        let platform = cluster.calls().await?.since(&before.calls);
        let log = read_log(cluster).await?;
        let started = log
            .records
            .iter()
            .filter(|entry| entry.started_us.is_some());
        let subrequests = started.count() as u64;
        let cpu_us: u64 = instances.iter().map(|instance| instance.usage.cpu_us).sum();
        let excess = |server: &Server| server.connections_peak.saturating_sub(server.connections);
        Ok(Self {
            report: verify_and_report(cluster, outcome, &log),
            subrequests,
            cpu_us_per_subrequest: cpu_us as f64 / subrequests.max(1) as f64,
            instances,
            stands,
            platform,
            connections_over: log.servers.iter().map(excess).max().unwrap_or(0),
            connections_refused: log
                .servers
                .iter()
                .map(|server| server.connections_refused)
                .sum(),
        })
    }

    /// Prints and plots the report; returns whether every promise was kept and every stated outcome
    /// is met.
    ///
    /// # Errors
    ///
    /// Fails if the stated outcomes can't be used or the plot can't be made.
    pub fn finish(mut self, output: &Output) -> Result<bool, Report<Failure>> {
        self.report.label.clone_from(&output.label);
        let met = output.check(&self.report).change_context(Failure::Report)?;
        match output.form {
            Form::Json => println!("{}", serde_json::to_string(&self).unwrap_or_default()),
            Form::Table => self.print_table(),
        }
        Ok(met)
    }

    fn print_table(&self) {
        print!("{}", table::render(&self.report));
        println!();
        println!("sub-requests         {}", self.subrequests);
        println!("cpu per sub-request  {:.1} us", self.cpu_us_per_subrequest);
        println!("connections over     {}", self.connections_over);
        println!("connections refused  {}", self.connections_refused);
        let platform = serde_json::to_string(&self.platform).unwrap_or_default();
        println!("platform calls       {platform}");
        for process in self.instances.iter().chain(&self.stands) {
            let cpu_ms = process.usage.cpu_us / 1_000;
            let peak_kb = process.usage.resident_peak_kb;
            println!(
                "{:<20} {cpu_ms} ms of cpu, {peak_kb} kB at most",
                process.name
            );
        }
    }
}

/// Reads the log of the backend servers and adds the demo's events.
async fn read_log(cluster: &Cluster) -> Result<Log, Report<Failure>> {
    let mut log = verify::fetch::read(cluster.layout.backends, 0)
        .await
        .change_context(Failure::Control("log"))?;
    cluster.events.borrow().add_to(&mut log);
    // The platform's list is authoritative: an operator whose reply was lost doesn't know of its own write.
    let confirmed = std::mem::take(&mut log.presets);
    log.presets = control::get(cluster.layout.platform, ACCEPTED_PRESETS_PATH).await?;
    cluster
        .events
        .borrow_mut()
        .check_confirmed_presets(&confirmed, &log.presets);
    Ok(log)
}

/// Verifies the replay and builds the report, including the violations that the demo itself observed.
fn verify_and_report(cluster: &Cluster, outcome: &replay::Outcome, log: &Log) -> report::Summary {
    let verdict = verify::run(&outcome.records, log);
    let mut report = report::run(outcome, log, &verdict);
    for (promise, count) in cluster.events.borrow().violations() {
        *report.violations.entry(*promise).or_default() += count;
    }
    report
}

fn usage_since(after: Vec<NamedUsage>, before: &[NamedUsage]) -> Vec<NamedUsage> {
    let pairs = after.into_iter().zip(before);
    pairs
        .map(|(mut after, before)| {
            after.usage.cpu_us -= before.usage.cpu_us;
            after
        })
        .collect()
}

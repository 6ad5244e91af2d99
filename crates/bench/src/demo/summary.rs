//! What a demo measured.

use error_stack::{
    Report,
    ResultExt, //
};
use serde::Serialize;

use super::{
    cluster::Cluster,
    control,
    failure::Failure,
    instance::Used, //
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

/// Path of the platform's list of the presets documents that it accepted.
const ACCEPTED: &str = "/control/accepted/config/presets";

/// Counters as they were before a replay.
#[derive(Debug)]
pub struct Baseline {
    instances: Vec<Used>,
    stands: Vec<Used>,
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
            stands: cluster.stand_usage(),
            calls: cluster.calls().await?,
        })
    }
}

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
    /// Usage of each stand-in during the replay.
    pub stands: Vec<Used>,
    /// Calls to the platform during the replay.
    pub platform: Calls,
    /// Most connections over any server's limit, 0 if none was over.
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
        before: &Baseline,
    ) -> Result<Self, Report<Failure>> {
        let instances = used(cluster.usage(), &before.instances);
        let stands = used(cluster.stand_usage(), &before.stands);
        let platform = cluster.calls().await?.since(&before.calls);
        let log = log(cluster).await?;
        let started = log
            .records
            .iter()
            .filter(|entry| entry.started_us.is_some());
        let subrequests = started.count() as u64;
        let cpu_us: u64 = instances.iter().map(|used| used.usage.cpu_us).sum();
        let over = |server: &Server| server.connections_peak.saturating_sub(server.connections);
        Ok(Self {
            report: judge(cluster, outcome, &log),
            subrequests,
            cpu_us_per_subrequest: cpu_us as f64 / subrequests.max(1) as f64,
            instances,
            stands,
            platform,
            connections_over: log.servers.iter().map(over).max().unwrap_or(0),
            connections_refused: log.servers.iter().map(|one| one.connections_refused).sum(),
        })
    }

    /// Prints and plots the report; returns whether no promise was broken and the stated outcomes
    /// are met.
    ///
    /// # Errors
    ///
    /// Fails if the stated outcomes can't be used or the plot can't be made.
    pub fn finish(mut self, output: &Output) -> Result<bool, Report<Failure>> {
        self.report.label.clone_from(&output.label);
        let met = output.judge(&self.report).change_context(Failure::Report)?;
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
        for used in self.instances.iter().chain(&self.stands) {
            let cpu_ms = used.usage.cpu_us / 1_000;
            let peak_kb = used.usage.resident_peak_kb;
            println!("{:<20} {cpu_ms} ms of cpu, {peak_kb} kB at most", used.name);
        }
    }
}

/// Reads the backend servers' log and adds what the demo knows.
async fn log(cluster: &Cluster) -> Result<Log, Report<Failure>> {
    let mut log = verify::fetch::read(cluster.layout.backends, 0)
        .await
        .change_context(Failure::Control("log"))?;
    cluster.events.borrow().add_to(&mut log);
    // What the platform accepted counts: an operator may never learn of a write of its own.
    let claimed = std::mem::take(&mut log.presets);
    log.presets = control::get(cluster.layout.platform, ACCEPTED).await?;
    cluster.events.borrow_mut().check(&claimed, &log.presets);
    Ok(log)
}

/// Reports and verifies, with the violations that the demo itself saw.
fn judge(cluster: &Cluster, outcome: &replay::Outcome, log: &Log) -> report::Summary {
    let verdict = verify::run(&outcome.records, log);
    let mut report = report::run(outcome, log, &verdict);
    for (promise, count) in cluster.events.borrow().violations() {
        *report.violations.entry(*promise).or_default() += count;
    }
    report
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

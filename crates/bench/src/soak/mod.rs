//! Runs instances, servers and the store as processes, injects faults, and checks that the promises of the system
//! hold.

pub mod answer;
pub mod callers;
pub mod check;
pub mod harness;
pub mod history;
pub mod inject;
pub mod plan;
pub mod process;
pub mod topology;

use std::{
    fs,
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    time::Duration, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use monoio::time::{
    sleep,
    Instant, //
};
use serde::Deserialize;

use self::{
    check::Violation,
    harness::Harness, //
    history::Kind,
};
use crate::{
    backends::now_us,
    demo::{
        control,
        failure::Failure, //
    },
};

/// Longest time until a stand-in or an instance is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks during a run.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a run in which requests in flight can end.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time without faults at the end of a run: enough for the recovery, and to observe requests after it.
const FAULT_FREE_TIME: Duration = Duration::from_secs(18);
/// Number of callers for each instance.
const CALLERS_PER_RELAY: usize = 4;
/// Maximum number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Settings of the soak.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Seed of the faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of runs; each run increments the seed.
    #[arg(long, default_value_t = 1)]
    pub runs: u64,
    /// Length of a run, in seconds; no fault starts in the last 18.
    #[arg(long, default_value_t = 40)]
    pub seconds: u64,
    /// Approximate number of processes.
    #[arg(long, default_value_t = 26)]
    pub processes: usize,
    /// Share of the servers' replies that are faulty, from 0 to 1.
    #[arg(long, default_value_t = 0.01)]
    pub mischief: f64,
    /// Injects no faults.
    #[arg(long)]
    pub calm: bool,
    /// File of cases to run instead of `seed` and `runs`, each with a seed and a number of processes.
    #[arg(long)]
    pub cases: Option<PathBuf>,
    /// Folder for logs and settings; the system's temporary folder if it isn't given. Each run has a subfolder,
    /// which is removed if the run has no violation.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// Path of the program `tanageryoke`; in the same folder as this program if it isn't given.
    #[arg(long)]
    pub binary: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cases {
    case: Vec<Case>,
}

/// A seed with which a run once failed.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    seed: u64,
    processes: usize,
    /// Share of faulty replies; that of the options if it isn't given.
    mischief: Option<f64>,
    cause: String,
}

impl Options {
    /// Returns the options of each run, which come from the cases if there are any.
    fn runs(&self) -> Result<Vec<Self>, Report<Failure>> {
        let Some(path) = &self.cases else {
            let seeds = self.seed..self.seed.saturating_add(self.runs);
            return Ok(seeds
                .map(|seed| Self {
                    seed,
                    ..self.clone()
                })
                .collect());
        };
        let text = fs::read_to_string(path).change_context(Failure::Cases)?;
        let cases: Cases = toml::from_str(&text).change_context(Failure::Cases)?;
        let run = |case: Case| {
            tracing::info!("soak: seed {} failed once: {}.", case.seed, case.cause);
            Self {
                seed: case.seed,
                processes: case.processes,
                mischief: case.mischief.unwrap_or(self.mischief),
                ..self.clone()
            }
        };
        Ok(cases.case.into_iter().map(run).collect())
    }
}

/// Runs the soak. Returns failure if a promise was broken.
pub fn run(options: Options) -> ExitCode {
    let violation_count = options.runs().and_then(|runs| {
        let mut violation_count = 0;
        for options in runs {
            let outcome = crate::runtime::run(soak(&options)).change_context(Failure::Runtime)?;
            violation_count += outcome?.len();
        }
        Ok(violation_count)
    });
    match violation_count {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(report) => {
            tracing::error!("soak: {report:#}.");
            ExitCode::FAILURE
        }
    }
}

async fn soak(options: &Options) -> Result<Vec<Violation>, Report<Failure>> {
    let name = format!("tanageryoke-soak-{}-{}", std::process::id(), options.seed);
    let folder = options
        .folder
        .clone()
        .unwrap_or_else(std::env::temp_dir)
        .join(name);
    fs::create_dir_all(&folder).change_context(Failure::Report)?;
    let harness = Harness::new(options, &folder)?;
    let outcome = drive(&harness, options).await;
    harness.close();
    let violations = outcome?;
    print(&harness, options, &violations);
    match violations.is_empty() {
        true => fs::remove_dir_all(&folder).change_context(Failure::Report)?,
        false => println!("  logs are kept in {}", folder.display()),
    }
    Ok(violations)
}

async fn drive(
    harness: &Rc<Harness>,
    options: &Options,
) -> Result<Vec<Violation>, Report<Failure>> {
    start(harness).await?;
    let started_at = Instant::now();
    let length = Duration::from_secs(options.seconds);
    let faults = match options.calm {
        true => Vec::new(),
        false => plan::draw(
            options.seed,
            harness.relays.len(),
            harness.servers.len(),
            length.saturating_sub(FAULT_FREE_TIME),
        ),
    };
    callers::start(harness, harness.relays.len() * CALLERS_PER_RELAY);
    let tasks = inject::start(harness, faults);
    let all = futures_util::future::join_all(tasks);
    futures_util::pin_mut!(all);
    while started_at.elapsed() < length {
        let deadline =
            Instant::now() + CHECK_INTERVAL.min(length.saturating_sub(started_at.elapsed()));
        let faults_ended = harness.history.borrow().faults_ended_us.is_some();
        if !faults_ended && monoio::time::timeout_at(deadline, &mut all).await.is_ok() {
            harness.history.borrow_mut().faults_ended_us = Some(now_us());
        }
        sleep(deadline.saturating_duration_since(Instant::now())).await;
        if !find_violations(harness).await.is_empty() {
            break;
        }
    }
    harness.stopped.set(true);
    sleep(SETTLE_TIME).await;
    Ok(find_violations(harness).await)
}

/// Checks everything that was observed so far.
///
/// The check runs on another thread: callers that it blocked would see late answers.
async fn find_violations(harness: &Harness) -> Vec<Violation> {
    harness.record_exits();
    let log_paths = harness.log_paths();
    // Arrivals are read before the requests are copied, so that no arrival lacks its request.
    let arrivals = run_on_thread(move || harness::read_arrivals(&log_paths)).await;
    harness.history.borrow_mut().arrivals = arrivals;
    let history = harness.history.borrow().clone();
    let mut violations = run_on_thread(move || check::run(&history, topology::RETRY_BUDGET)).await;
    violations.extend(harness.violations.borrow().iter().cloned());
    violations
}

/// Runs `work` on a thread of its own without blocking the caller's.
async fn run_on_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let thread = std::thread::spawn(work);
    while !thread.is_finished() {
        sleep(POLL_INTERVAL).await;
    }
    thread
        .join()
        .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

async fn start(harness: &Harness) -> Result<(), Report<Failure>> {
    for stand_in in &harness.stand_ins {
        stand_in.start()?;
    }
    wait_until(&harness.stand_ins[1].name, || {
        control::is_ok(harness.topology.proxy, "/control/ready")
    })
    .await?;
    wait_until(&harness.stand_ins[0].name, || {
        control::is_ok(harness.topology.store, "/control/calls")
    })
    .await?;
    inject::publish(harness).await;
    for process in harness.servers.iter().chain(&harness.relays) {
        process.start()?;
    }
    for (relay, process) in harness.topology.relays.iter().zip(&harness.relays) {
        let readiness = relay.settings.readiness;
        wait_until(&process.name, || {
            control::is_ok(readiness, adapter::names::READINESS)
        })
        .await?;
    }
    Ok(())
}

async fn wait_until<F>(
    name: &std::sync::Arc<str>,
    mut is_ready: impl FnMut() -> F,
) -> Result<(), Report<Failure>>
where
    F: std::future::Future<Output = bool>,
{
    let deadline = Instant::now() + READY_TIMEOUT;
    while !is_ready().await {
        if Instant::now() > deadline {
            return Err(Report::new(Failure::Unready(name.clone())));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn print(harness: &Harness, options: &Options, violations: &[Violation]) {
    let history = harness.history.borrow();
    let disturbances = history.disturbances.len();
    let versions = history.versions.len();
    println!(
        "seed {}: {} processes, {} requests, {} arrivals, {disturbances} disturbances of instances, {versions} versions, {} broken",
        options.seed,
        harness.relays.len() + harness.servers.len() + harness.stand_ins.len(),
        history.requests.len(),
        history.arrivals.len(),
        violations.len(),
    );
    for kind in Kind::ALL {
        let (served, all) = check::count_served(&history, kind, 0);
        let after = history.faults_ended_us.map_or(u64::MAX, |faults_ended_us| {
            faults_ended_us + check::RECOVERY_US
        });
        let (served_later, of) = check::count_served(&history, kind, after);
        println!("  {kind:?}: {served} of {all} served; {served_later} of {of} after recovery");
    }
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
}

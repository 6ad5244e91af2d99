//! Runs instances, servers and the store as processes, harms them from outside, and checks what is promised.

pub mod answer;
pub mod callers;
pub mod check;
pub mod history;
pub mod inject;
pub mod plan;
pub mod process;
pub mod site;
pub mod world;

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
    history::Kind,
    world::World, //
};
use crate::{
    backends::now_us,
    demo::{
        control,
        failure::Failure, //
    },
};

/// Longest wait for the stand-ins, and for the instances to serve.
const READY: Duration = Duration::from_secs(15);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Time between two checks while a run lasts.
const CHECK: Duration = Duration::from_secs(2);
/// Time that what is under way at the end may take.
const LAST: Duration = Duration::from_secs(6);
/// Time with no fault at the end of a run: what recovery may take, and some to see it.
const CALM: Duration = Duration::from_secs(18);
/// Callers for each instance.
const CALLERS_PER_RELAY: usize = 4;
/// Violations that are printed.
const SHOWN: usize = 20;

/// Settings of the soak.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Seed of the faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Runs, each with the seed after the one before.
    #[arg(long, default_value_t = 1)]
    pub runs: u64,
    /// Length of a run, in seconds; the last 18 have no fault.
    #[arg(long, default_value_t = 40)]
    pub seconds: u64,
    /// About how many processes.
    #[arg(long, default_value_t = 26)]
    pub processes: usize,
    /// Share of the servers' answers that are faulty.
    #[arg(long, default_value_t = 0.01)]
    pub mischief: f64,
    /// Leaves the faults out.
    #[arg(long)]
    pub calm: bool,
    /// File of cases, each with a seed and a number of processes, to run in place of `seed` and `runs`.
    #[arg(long)]
    pub cases: Option<PathBuf>,
    /// Folder of logs and settings; one of its own below the system's if it isn't given. That of a run
    /// without a violation is removed.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// The program `tanageryoke`; beside this program if it isn't given.
    #[arg(long)]
    pub binary: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cases {
    case: Vec<Case>,
}

/// A seed that once failed.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    seed: u64,
    processes: usize,
    /// That of the options if it isn't given.
    mischief: Option<f64>,
    cause: String,
}

impl Options {
    /// Returns the options of each run.
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

/// Runs the soak; fails if a promise was broken.
pub fn run(options: Options) -> ExitCode {
    let broken = options.runs().and_then(|runs| {
        let mut broken = 0;
        for options in runs {
            let outcome = crate::runtime::run(soak(&options)).change_context(Failure::Runtime)?;
            broken += outcome?.len();
        }
        Ok(broken)
    });
    match broken {
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
    let world = World::new(options, &folder)?;
    let outcome = drive(&world, options).await;
    world.close();
    let violations = outcome?;
    print(&world, options, &violations);
    match violations.is_empty() {
        true => fs::remove_dir_all(&folder).change_context(Failure::Report)?,
        false => println!("  logs are kept in {}", folder.display()),
    }
    Ok(violations)
}

async fn drive(world: &Rc<World>, options: &Options) -> Result<Vec<Violation>, Report<Failure>> {
    start(world).await?;
    let began = Instant::now();
    let length = Duration::from_secs(options.seconds);
    let faults = match options.calm {
        true => Vec::new(),
        false => plan::draw(
            options.seed,
            world.relays.len(),
            world.servers.len(),
            length.saturating_sub(CALM),
        ),
    };
    callers::start(world, world.relays.len() * CALLERS_PER_RELAY);
    let tasks = inject::start(world, faults);
    let all = futures_util::future::join_all(tasks);
    futures_util::pin_mut!(all);
    while began.elapsed() < length {
        let until = Instant::now() + CHECK.min(length.saturating_sub(began.elapsed()));
        let is_calm = world.history.borrow().calm_us.is_some();
        if !is_calm && monoio::time::timeout_at(until, &mut all).await.is_ok() {
            world.history.borrow_mut().calm_us = Some(now_us());
        }
        sleep(until.saturating_duration_since(Instant::now())).await;
        if !found(world).await.is_empty() {
            break;
        }
    }
    world.stopped.set(true);
    sleep(LAST).await;
    Ok(found(world).await)
}

/// Checks everything that was seen until now.
///
/// The work is done on another thread: callers that stand still meanwhile would see late answers.
async fn found(world: &World) -> Vec<Violation> {
    world.watch();
    let logs = world.logs();
    // What arrived is read before what was sent is looked at, so that nothing seems never sent.
    let arrivals = beside(move || world::read(&logs)).await;
    world.history.borrow_mut().arrivals = arrivals;
    let history = world.history.borrow().clone();
    let mut violations = beside(move || check::run(&history, site::EXTRA)).await;
    violations.extend(world.violations.borrow().iter().cloned());
    violations
}

/// Runs work on a thread of its own.
async fn beside<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let thread = std::thread::spawn(work);
    while !thread.is_finished() {
        sleep(LOOK).await;
    }
    thread
        .join()
        .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

async fn start(world: &World) -> Result<(), Report<Failure>> {
    for stand in &world.stands {
        stand.start()?;
    }
    wait(&world.stands[1].name, || {
        control::answers(world.site.proxy, "/control/ready")
    })
    .await?;
    wait(&world.stands[0].name, || {
        control::answers(world.site.store, "/control/calls")
    })
    .await?;
    inject::publish(world).await;
    for process in world.servers.iter().chain(&world.relays) {
        process.start()?;
    }
    for (relay, process) in world.site.relays.iter().zip(&world.relays) {
        let readiness = relay.settings.readiness;
        wait(&process.name, || {
            control::answers(readiness, adapter::names::READINESS)
        })
        .await?;
    }
    Ok(())
}

async fn wait<F>(
    name: &std::sync::Arc<str>,
    mut is_so: impl FnMut() -> F,
) -> Result<(), Report<Failure>>
where
    F: std::future::Future<Output = bool>,
{
    let until = Instant::now() + READY;
    while !is_so().await {
        if Instant::now() > until {
            return Err(Report::new(Failure::Unready(name.clone())));
        }
        sleep(LOOK).await;
    }
    Ok(())
}

fn print(world: &World, options: &Options, violations: &[Violation]) {
    let history = world.history.borrow();
    let disturbances = history.disturbances.len();
    let versions = history.versions.len();
    println!(
        "seed {}: {} processes, {} requests, {} arrivals, {disturbances} disturbances of instances, {versions} versions, {} broken",
        options.seed,
        world.relays.len() + world.servers.len() + world.stands.len(),
        history.requests.len(),
        history.arrivals.len(),
        violations.len(),
    );
    for kind in Kind::ALL {
        let (served, all) = check::served(&history, kind, 0);
        let after = history
            .calm_us
            .map_or(u64::MAX, |calm_us| calm_us + check::RECOVERY_US);
        let (later, of) = check::served(&history, kind, after);
        println!("  {kind:?}: {served} of {all} served; {later} of {of} after recovery");
    }
    for violation in violations.iter().take(SHOWN) {
        println!("  {violation}");
    }
}

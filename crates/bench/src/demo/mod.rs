//! Starts stand-ins and instances as processes, replays a trace and prints a report.

pub mod child;
pub mod cluster;
pub mod control;
pub mod converge;
pub mod documents;
pub mod events;
pub mod failure;
pub mod fault;
pub mod instance;
pub mod layout;
pub mod presets;
pub mod replayer;
pub mod start;
pub mod summary;
pub mod usage;

use std::{
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use error_stack::{
    Report,
    ResultExt, //
};
use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
};
use monoio::time::sleep;

use self::{
    cluster::Cluster,
    failure::Failure,
    summary::{
        Baseline,
        Summary, //
    },
};
use crate::{
    report,
    trace::profile::{
        Phase,
        User, //
    },
};

/// Interval between checks of whether the demo was interrupted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of the demo.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// User whose backend servers and workload are simulated.
    #[arg(long, value_enum, default_value_t = User::Kestrel)]
    pub user: User,
    /// Number of instances.
    #[arg(long, default_value_t = 7)]
    pub instances: usize,
    /// Length of the replay, in seconds; later requests of a trace file are left out.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Requests per second of the generated trace.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Seed of the generated trace and of the backend servers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Faults to inject during the replay; one that is given twice is injected twice.
    #[arg(long, value_enum)]
    pub fault: Vec<fault::Kind>,
    /// Trace file to replay instead of a generated trace; `seconds` limits it.
    #[arg(long, conflicts_with_all = ["rate", "mix"])]
    pub trace: Option<PathBuf>,
    /// Phases of the generated trace, as for `bench trace generate`.
    #[arg(long, value_delimiter = ',', default_value = "ordinary=1")]
    pub mix: Vec<Phase>,
    /// Shows a progress bar.
    #[arg(long)]
    pub progress: bool,
    /// Format and use of the report.
    #[command(flatten)]
    pub output: report::output::Output,
    /// Runs until SIGINT without a replay, and prints the addresses as JSON.
    #[arg(long)]
    pub keep: bool,
    /// TOML or JSON file with one preset, which becomes the `ordinary` preset that is in force at the start.
    #[arg(long)]
    pub preset: Option<PathBuf>,
    /// Lets every instance connect to the backend servers itself.
    #[arg(long)]
    pub direct: bool,
    /// Path of the `tanageryoke` program; by default in the directory of this program.
    #[arg(long)]
    pub binary: Option<PathBuf>,
    /// Share of the requests that the backend servers serve slowly.
    #[arg(long, default_value_t = 0.0)]
    pub slow_share: f64,
    /// Factor on the service time of these requests.
    #[arg(long, default_value_t = 20.0)]
    pub slow_factor: f64,
    /// Log level of the instances.
    #[arg(long, default_value = "error")]
    pub log_level: String,
}

impl Options {
    /// Returns whether a fault needs proxy links between the instances and to the platform.
    pub fn needs_links(&self) -> bool {
        self.fault.iter().any(|kind| kind.needs_links())
    }
}

/// Runs the demo. The exit code is 1 if it fails, a promise is broken or a stated outcome isn't met.
pub fn run(options: Options) -> ExitCode {
    let outcome = crate::runtime::run(demo(options))
        .change_context(Failure::Runtime)
        .and_then(|outcome| outcome);
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            tracing::error!("demo: {report:#}.");
            ExitCode::FAILURE
        }
    }
}

async fn demo(options: Options) -> Result<bool, Report<Failure>> {
    let interrupted = register_signals()?;
    let cluster = Cluster::new(options.clone())?;
    let work = run_cluster(cluster.clone(), &options);
    let interruption = wait_for_interrupt(&interrupted);
    let outcome = {
        pin_mut!(work, interruption);
        match select(work, interruption).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) if options.keep => Ok(true),
            Either::Right(_) => Err(Report::new(Failure::Interrupted)),
        }
    };
    cluster.kill_all();
    outcome
}

async fn run_cluster(cluster: Rc<Cluster>, options: &Options) -> Result<bool, Report<Failure>> {
    cluster.start().await?;
    if options.keep {
        println!("{}", cluster.addresses());
        return std::future::pending().await;
    }
    let before = Baseline::read(&cluster).await?;
    let replay = replayer::run(&cluster, options);
    let faults = fault::run(&cluster, options);
    let (outcome, ()) = futures_util::future::try_join(replay, faults).await?;
    converge::check(&cluster).await?;
    let summary = Summary::collect(&cluster, &outcome, &before).await?;
    summary.finish(&options.output)
}

fn register_signals() -> Result<Arc<AtomicBool>, Report<Failure>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, flag.clone()).change_context(Failure::Signal)?;
    }
    Ok(flag)
}

async fn wait_for_interrupt(flag: &AtomicBool) {
    while !flag.load(Ordering::Relaxed) {
        sleep(POLL_INTERVAL).await;
    }
}

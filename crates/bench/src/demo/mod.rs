//! Starts stand-ins and instances as processes, replays a trace and reports.

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

/// Pause between looks at whether the demo is interrupted.
const LOOK: Duration = Duration::from_millis(50);

/// Settings of the demo.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// User whose backend servers and trace run.
    #[arg(long, value_enum, default_value_t = User::Kestrel)]
    pub user: User,
    /// Number of instances.
    #[arg(long, default_value_t = 7)]
    pub instances: usize,
    /// Length of the replay, in seconds; the rest of a trace file is left out.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Requests a second of the generated trace.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Seed of the generated trace and of the backend servers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Faults during the replay; one that is named twice happens twice.
    #[arg(long, value_enum)]
    pub fault: Vec<fault::Name>,
    /// Trace file to replay in place of a generated one; `seconds` bounds it.
    #[arg(long, conflicts_with_all = ["rate", "mix"])]
    pub trace: Option<PathBuf>,
    /// Phases of the generated trace, as for `bench trace generate`.
    #[arg(long, value_delimiter = ',', default_value = "ordinary=1")]
    pub mix: Vec<Phase>,
    /// Shows a progress bar.
    #[arg(long)]
    pub progress: bool,
    /// Form and use of the report.
    #[command(flatten)]
    pub output: report::output::Output,
    /// Stays up until SIGINT in place of a replay.
    #[arg(long)]
    pub keep: bool,
    /// File of one preset, TOML or JSON, to put in force as `ordinary`.
    #[arg(long)]
    pub preset: Option<PathBuf>,
    /// Lets every instance dial the backend servers itself.
    #[arg(long)]
    pub direct: bool,
    /// The program `tanageryoke`; beside this program if it isn't given.
    #[arg(long)]
    pub binary: Option<PathBuf>,
    /// Share of the backend servers' requests that are served slowly.
    #[arg(long, default_value_t = 0.0)]
    pub slow_share: f64,
    /// Factor by which a slow request's service time grows.
    #[arg(long, default_value_t = 20.0)]
    pub slow_factor: f64,
    /// Level of the instances' logs.
    #[arg(long, default_value = "error")]
    pub log_level: String,
}

impl Options {
    /// Returns whether a fault needs links between the instances and to the platform.
    pub fn needs_links(&self) -> bool {
        self.fault.iter().any(|name| name.needs_links())
    }
}

/// Runs the demo; fails if a promise was broken.
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
    let interrupted = interrupt()?;
    let cluster = Cluster::new(options.clone())?;
    let work = drive(cluster.clone(), &options);
    let stopped = stopped(&interrupted);
    let outcome = {
        pin_mut!(work, stopped);
        match select(work, stopped).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) if options.keep => Ok(true),
            Either::Right(_) => Err(Report::new(Failure::Interrupted)),
        }
    };
    cluster.close();
    outcome
}

async fn drive(cluster: Rc<Cluster>, options: &Options) -> Result<bool, Report<Failure>> {
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

fn interrupt() -> Result<Arc<AtomicBool>, Report<Failure>> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, flag.clone()).change_context(Failure::Signal)?;
    }
    Ok(flag)
}

async fn stopped(flag: &AtomicBool) {
    while !flag.load(Ordering::Relaxed) {
        sleep(LOOK).await;
    }
}

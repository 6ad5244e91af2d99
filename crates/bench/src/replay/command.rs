//! `bench replay`.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::Duration, //
};

use clap::Args;
use error_stack::{
    Report,
    ResultExt, //
};

use super::{
    Error,
    Plan, //
};
use crate::{
    report,
    trace,
    verify, //
};

/// Arguments of `bench replay`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Trace to replay.
    #[arg(long)]
    trace: PathBuf,
    /// Addresses to send to, the balancer's first.
    #[arg(long, value_delimiter = ',', required = true)]
    to: Vec<SocketAddr>,
    /// Address of the backends stand-in, whose log is fetched to verify the answers.
    #[arg(long)]
    backends: Option<SocketAddr>,
    /// Send to all addresses in turn, not only to the first.
    #[arg(long)]
    spread: bool,
    /// Replay only this many seconds of the trace.
    #[arg(long)]
    seconds: Option<u64>,
    /// Maximum number of requests in flight, each on a connection of its own.
    #[arg(long, default_value_t = 2_000)]
    connections: usize,
    /// Threads that the trace is divided among.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Show a progress bar.
    #[arg(long)]
    progress: bool,
    #[command(flatten)]
    output: report::Output,
}

impl Arguments {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        match self.replay() {
            Ok(code) => code,
            Err(report) => {
                eprintln!("replay: {report:?}");
                ExitCode::FAILURE
            }
        }
    }

    fn replay(self) -> Result<ExitCode, Report<Error>> {
        let trace = trace::load(&self.trace).change_context(Error::Trace)?;
        let outcome = super::run(&Plan {
            trace: Arc::new(trace),
            addresses: self.to,
            spread: self.spread,
            max_length: self.seconds.map(Duration::from_secs),
            progress: self.progress,
            connections: self.connections,
            threads: self.threads,
        })?;
        let log = match self.backends {
            Some(address) => verify::fetch::run(address, 0).change_context(Error::Log)?,
            None => verify::Log::default(),
        };
        let verdict = verify::run(&outcome.records, &log);
        let summary = report::run(&outcome, &log, &verdict);
        self.output.finish(summary).change_context(Error::Output)
    }
}

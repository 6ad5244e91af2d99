//! The `bench` program.

use std::process::ExitCode;

use bench::{
    backends,
    balancer,
    demo,
    replay,
    store,
    trace, //
};
use clap::{
    Parser,
    Subcommand, //
};
use tracing_subscriber::EnvFilter;

#[derive(Debug, Parser)]
#[command(name = "bench", about = "Test bench of tanageryoke", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a stand-in for the platform's object store.
    Platform(store::Options),
    /// Run the backend servers of one user in one process.
    Backends(backends::Options),
    /// Run a round-robin balancer over instances.
    Balancer(balancer::Options),
    /// Start stand-ins and instances, replay a trace and report.
    Demo(demo::Options),
    /// Work with recorded traces.
    #[command(subcommand)]
    Trace(trace::command::Command),
    /// Replay a trace against a deployment and report.
    Replay(replay::command::Arguments),
}

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(filter)
        .init();
    match Cli::parse().command {
        Command::Platform(options) => store::run(options),
        Command::Backends(options) => backends::run(options),
        Command::Balancer(options) => balancer::run(options),
        Command::Demo(options) => demo::run(options),
        Command::Trace(command) => command.run(),
        Command::Replay(arguments) => arguments.run(),
    }
}

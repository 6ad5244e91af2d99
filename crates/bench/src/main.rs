//! The `bench` program.

use std::process::ExitCode;

use bench::{
    plot,
    replay,
    trace, //
};
use clap::{
    Parser,
    Subcommand, //
};

#[derive(Debug, Parser)]
#[command(name = "bench", about = "Test bench of tanageryoke", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Work with recorded traces.
    #[command(subcommand)]
    Trace(trace::command::Command),
    /// Replay a trace against a deployment and report.
    Replay(replay::command::Arguments),
    /// Plot reports.
    Plot(plot::command::Arguments),
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Trace(command) => command.run(),
        Command::Replay(arguments) => arguments.run(),
        Command::Plot(arguments) => arguments.run(),
    }
}

//! The `bench` program.

use std::process::ExitCode;

use clap::{
    Parser,
    Subcommand, //
};

/// Test bench of tanageryoke: stand-ins, replays, fault injection and reports.
#[derive(Debug, Parser)]
#[command(name = "bench", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a stand-in for the platform's object store.
    Platform(bench::store::Options),
    /// Runs the backend servers of one user in one process.
    Backends(bench::backends::Options),
    /// Runs a TCP proxy that injects faults.
    Proxy(bench::proxy::Options),
    /// Runs one backend server of the users' platform.
    Server(bench::servers::Options),
    /// Runs instances, servers and the store as processes, injects faults and checks the promises.
    Soak(bench::soak::Options),
    /// Replays the worst load patterns against the policies, without I/O.
    Model(bench::model::Options),
    /// Runs a round-robin load balancer in front of instances.
    Balancer(bench::balancer::Options),
    /// Starts stand-ins and instances, replays a trace and prints a report.
    Demo(bench::demo::Options),
    /// Works with recorded traces.
    #[command(subcommand)]
    Trace(bench::trace::command::Command),
    /// Replays a trace against a deployment and prints a report.
    Replay(bench::replay::command::Arguments),
    /// Plots reports.
    Plot(bench::plot::command::Arguments),
    /// Compares reports with the first one in a Markdown table.
    Compare(bench::compare::command::Arguments),
    /// Runs the demo once for each value of a setting, and compares the reports.
    Sweep(bench::sweep::Arguments),
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()),
        )
        .init();
    match Arguments::parse().command {
        Command::Platform(options) => bench::store::run(options),
        Command::Backends(options) => bench::backends::run(options),
        Command::Server(options) => bench::servers::run(options),
        Command::Soak(options) => bench::soak::run(options),
        Command::Model(options) => bench::model::run(options),
        Command::Balancer(options) => bench::balancer::run(options),
        Command::Proxy(options) => bench::proxy::run(options),
        Command::Demo(options) => bench::demo::run(options),
        Command::Trace(command) => command.run(),
        Command::Replay(arguments) => arguments.run(),
        Command::Plot(arguments) => arguments.run(),
        Command::Compare(arguments) => arguments.run(),
        Command::Sweep(arguments) => arguments.run(),
    }
}

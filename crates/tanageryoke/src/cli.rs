//! The command line.

use std::process::ExitCode;

use clap::{
    Parser,
    Subcommand, //
};
use error_stack::{
    fmt::ColorMode,
    Report, //
};

use crate::{
    commands,
    configs, //
};

/// Exit code for invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// A query tier over many shards.
#[derive(Debug, Parser)]
#[command(name = "tanageryoke", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one instance until it receives SIGTERM or SIGINT.
    Serve(configs::serve::Flags),
    /// Runs one instance between the platform's callers and backend servers.
    Relay(configs::relay::Flags),
    /// Checks the settings of `serve` without starting anything.
    Check(configs::serve::Flags),
    /// Prints the state of a running instance.
    Dump(commands::dump::Flags),
    /// Lists, checks, writes and chooses presets.
    Preset(commands::preset::Flags),
    /// Lists instances and marks them as joining or leaving.
    Instance(commands::instance::Flags),
    /// Lists backend servers, drains them and returns them to service.
    Backend(commands::backend::Flags),
}

impl Cli {
    /// Runs the command and returns the exit code: 0 for success, 1 for a refusal or failure, 2 for invalid
    /// settings.
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            Command::Serve(flags) => commands::serve::run(flags),
            Command::Relay(flags) => commands::relay::run(flags),
            Command::Check(flags) => commands::check::run(flags),
            Command::Dump(flags) => commands::dump::run(&flags),
            Command::Preset(flags) => commands::preset::run(flags),
            Command::Instance(flags) => commands::instance::run(flags),
            Command::Backend(flags) => commands::backend::run(flags),
        };
        result.unwrap_or_else(|report| {
            configure_reports();
            eprintln!("tanageryoke: {report:?}");
            ExitCode::FAILURE
        })
    }
}

/// Removes source locations and colours from error reports, which operators read.
fn configure_reports() {
    Report::set_color_mode(ColorMode::None);
    Report::install_debug_hook::<std::panic::Location<'static>>(|_, _| {});
}

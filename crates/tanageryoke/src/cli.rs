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

/// Exit code of settings that aren't valid.
pub const USAGE: u8 = 2;

/// A query tier over many shards.
#[derive(Debug, Parser)]
#[command(name = "tanageryoke", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one instance until it is told to stop.
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
    /// Lists backend servers and takes them out of service and back.
    Backend(commands::backend::Flags),
}

impl Cli {
    /// Runs the command and returns the exit code: 0 done, 1 refused or failed, 2 usage.
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
            plain_reports();
            eprintln!("tanageryoke: {report:?}");
            ExitCode::FAILURE
        })
    }
}

/// Leaves places in the source and colours out of reports, as operators read them.
fn plain_reports() {
    Report::set_color_mode(ColorMode::None);
    Report::install_debug_hook::<std::panic::Location<'static>>(|_, _| {});
}

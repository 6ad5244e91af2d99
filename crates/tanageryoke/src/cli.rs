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
    /// Checks the settings of `serve` without starting anything.
    Check(configs::serve::Flags),
    /// Prints the state of a running instance.
    Dump(commands::dump::Flags),
}

impl Cli {
    /// Runs the command and returns the exit code: 0 done, 1 refused or failed, 2 usage.
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            Command::Serve(flags) => commands::serve::run(flags),
            Command::Check(flags) => commands::check::run(flags),
            Command::Dump(flags) => commands::dump::run(&flags),
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

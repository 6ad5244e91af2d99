//! The `tanageryoke` program.

use std::process::ExitCode;

use clap::Parser;
use tanageryoke::cli::Cli;

fn main() -> ExitCode {
    Cli::parse().run()
}

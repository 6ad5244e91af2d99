//! `tanageryoke check`: checks the settings of `serve` without starting anything.

use std::process::ExitCode;

use error_stack::Report;

use crate::{
    cli::EXIT_USAGE,
    commands::Error,
    configs::serve::{
        Flags,
        Settings, //
    },
};

/// Prints the settings with their defaults, or every fault in them.
///
/// # Errors
///
/// Never fails; faults give exit code 2.
pub fn run(flags: Flags) -> Result<ExitCode, Report<Error>> {
    match Settings::read(flags) {
        Ok(settings) => {
            println!("{settings:#?}");
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            Ok(ExitCode::from(EXIT_USAGE))
        }
    }
}

//! `bench plot`.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use clap::Args;
use error_stack::{
    Report,
    ResultExt, //
};

use super::Error;
use crate::report::read;

/// Arguments of `bench plot`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// File with reports to plot, as printed with `--report json`; may be given several times.
    #[arg(long = "in", required = true)]
    reports: Vec<PathBuf>,
    /// SVG file to write.
    #[arg(long)]
    out: PathBuf,
}

impl Arguments {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        match self.plot() {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => {
                eprintln!("plot: {report:?}");
                ExitCode::FAILURE
            }
        }
    }

    fn plot(self) -> Result<(), Report<Error>> {
        let mut summaries = Vec::new();
        for path in &self.reports {
            summaries.extend(read::load(path).change_context(Error::Read)?);
        }
        super::run(&summaries, &self.out)
    }
}

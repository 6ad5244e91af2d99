//! `bench compare`.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use clap::Args;
use error_stack::Report;

use crate::report::read;

/// Arguments of `bench compare`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Files with reports, as printed with `--report json`; all are compared with the first report.
    #[arg(required = true)]
    reports: Vec<PathBuf>,
}

impl Arguments {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        match self.compare() {
            Ok(table) => {
                print!("{table}");
                ExitCode::SUCCESS
            }
            Err(report) => {
                eprintln!("compare: {report:?}");
                ExitCode::FAILURE
            }
        }
    }

    fn compare(self) -> Result<String, Report<read::Error>> {
        let mut summaries = Vec::new();
        for path in &self.reports {
            summaries.extend(read::load(path)?);
        }
        Ok(super::render(&summaries))
    }
}

//! Prints a report, plots it and checks it against expected outcomes.

use std::{
    fmt,
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Args,
    ValueEnum, //
};
use error_stack::{
    Report,
    ResultExt, //
};

use super::{
    expect,
    table,
    Summary, //
};
use crate::plot;

/// Output format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Form {
    /// One JSON object on the last line.
    Json,
    /// An aligned table.
    Table,
}

/// Arguments of every command that ends with a report.
#[derive(Debug, Clone, Args)]
pub struct Output {
    /// Format of the report.
    #[arg(long = "report", value_enum, default_value = "table")]
    pub form: Form,
    /// Name of the run in comparisons.
    #[arg(long, default_value = "")]
    pub label: String,
    /// TOML file of expected outcomes; each one that isn't met is printed and fails the run.
    #[arg(long)]
    pub expect: Option<PathBuf>,
    /// SVG file to plot the report to.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Why a report can't be finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The expected outcomes can't be used.
    Expectation,
    /// The plot can't be made.
    Plot,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Expectation => "the expected outcomes can't be used",
            Self::Plot => "the report can't be plotted",
        })
    }
}

impl std::error::Error for Error {}

impl Output {
    /// Prints a report; returns exit code 1 on violations, unmet outcomes or a log that dropped
    /// entries.
    ///
    /// # Errors
    ///
    /// Fails if the expected outcomes can't be used or the plot can't be made.
    pub fn finish(&self, mut summary: Summary) -> Result<ExitCode, Report<Error>> {
        summary.label.clone_from(&self.label);
        let passed = self.check(&summary)?;
        match self.form {
            Form::Json => println!("{}", summary.json()),
            Form::Table => print!("{}", table::render(&summary)),
        }
        Ok(match passed {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        })
    }

    /// Plots a report and checks it against the expected outcomes; returns whether it meets them and
    /// is clean.
    ///
    /// # Errors
    ///
    /// Fails as [`Output::finish`] does.
    pub fn check(&self, summary: &Summary) -> Result<bool, Report<Error>> {
        let unmet = match &self.expect {
            Some(path) => expect::load(path)
                .change_context(Error::Expectation)?
                .check(summary),
            None => Vec::new(),
        };
        if let Some(path) = &self.plot {
            plot::run(std::slice::from_ref(summary), path).change_context(Error::Plot)?;
        }
        for unmet in &unmet {
            eprintln!("report: unmet: {unmet}");
        }
        Ok(unmet.is_empty() && summary.is_clean())
    }
}

//! `bench plot`.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

use clap::Args;
use error_stack::{
    Report,
    ResultExt, //
};

use super::Error;
use crate::report::Summary;

/// Arguments of `bench plot`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Report to plot, as printed with `--report json`; may be given several times.
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
        let reports: Result<Vec<_>, _> = self.reports.iter().map(|path| load(path)).collect();
        super::run(&reports?, &self.out)
    }
}

/// Reads the report on the last line of a file; a report without a label gets the file's name.
///
/// # Errors
///
/// Fails if the file can't be read or its last line is no report.
pub fn load(path: &Path) -> Result<Summary, Report<Error>> {
    let text = fs::read_to_string(path)
        .change_context(Error::Read)
        .attach_with(|| path.display().to_string())?;
    let last = text.lines().rev().find(|line| !line.trim().is_empty());
    let mut summary: Summary = serde_json::from_str(last.unwrap_or_default())
        .change_context(Error::Decode)
        .attach_with(|| path.display().to_string())?;
    if summary.label.is_empty() {
        let name = path.file_stem().unwrap_or_default();
        summary.label = name.to_string_lossy().into_owned();
    }
    Ok(summary)
}

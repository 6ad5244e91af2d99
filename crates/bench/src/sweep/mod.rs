//! Runs the demo once for each value of a setting, and compares the reports.

use std::{
    env,
    fmt,
    fs,
    io::{
        self,
        Write, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        ExitCode,
        Stdio, //
    },
    str::FromStr, //
};

use clap::Args;
use error_stack::{
    Report,
    ResultExt, //
};

use crate::{
    compare,
    report::{
        read,
        Summary, //
    },
};

/// A setting of the demo and the values to run it with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Variation {
    /// Name of the setting, without the leading hyphens.
    pub name: String,
    /// Its values, in the order of the runs.
    pub values: Vec<String>,
}

/// Why a sweep can't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The setting isn't `NAME=VALUE,VALUE,…`.
    Variation,
    /// The demo can't be started.
    Start,
    /// A run printed no report.
    Run,
    /// The reports can't be written.
    Write,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Variation => "expected NAME=VALUE,VALUE,…",
            Self::Start => "the demo can't be started",
            Self::Run => "a run printed no report",
            Self::Write => "the reports can't be written",
        })
    }
}

impl std::error::Error for Error {}

impl FromStr for Variation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, values) = text.split_once('=').ok_or(Error::Variation)?;
        let values: Vec<_> = values.split(',').map(str::to_owned).collect();
        match name.is_empty() || values.iter().any(String::is_empty) {
            true => Err(Error::Variation),
            false => Ok(Self {
                name: name.to_owned(),
                values,
            }),
        }
    }
}

/// Arguments of `bench sweep`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Setting of the demo to vary, as `NAME=VALUE,VALUE,…`.
    #[arg(long)]
    vary: Variation,
    /// File to append the reports to, one line each.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Arguments of `bench demo` that all runs share.
    #[arg(last = true)]
    demo: Vec<String>,
}

impl Arguments {
    /// Runs the command; the exit code is 1 if a run failed.
    pub fn run(self) -> ExitCode {
        match self.sweep() {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(report) => {
                eprintln!("sweep: {report:?}");
                ExitCode::FAILURE
            }
        }
    }

    fn sweep(self) -> Result<bool, Report<Error>> {
        let mut summaries = Vec::new();
        let mut clean = true;
        for value in &self.vary.values {
            let (summary, succeeded) = self.run_demo(value)?;
            clean &= succeeded;
            summaries.push(summary);
        }
        print!("{}", compare::render(&summaries));
        Ok(clean)
    }

    /// Runs the demo in a process of its own, so that runs share no state.
    fn run_demo(&self, value: &str) -> Result<(Summary, bool), Report<Error>> {
        let program = env::current_exe().change_context(Error::Start)?;
        let name = &self.vary.name;
        eprintln!("sweep: run with {name}={value}.");
        let output = Command::new(program)
            .arg("demo")
            .args(&self.demo)
            .args([&format!("--{name}"), value])
            .args(["--report", "json", "--label", &format!("{name}={value}")])
            .stdin(Stdio::null())
            .stderr(Stdio::inherit())
            .output()
            .change_context(Error::Start)?;
        let text = String::from_utf8_lossy(&output.stdout);
        let summary = last_report(&text).change_context(Error::Run)?;
        if let Some(path) = &self.out {
            append_line(path, text.lines().last().unwrap_or_default())
                .change_context(Error::Write)?;
        }
        Ok((summary, output.status.success()))
    }
}

fn last_report(text: &str) -> Result<Summary, Report<read::Error>> {
    let mut summaries = read::decode(text)?;
    summaries.pop().ok_or(Report::new(read::Error::Empty))
}

fn append_line(path: &Path, line: &str) -> io::Result<()> {
    let mut file = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)?;
    writeln!(file, "{line}")
}

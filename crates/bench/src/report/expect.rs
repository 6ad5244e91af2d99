//! Expected outcomes of a run: limits that its report is checked against.

use std::{
    collections::BTreeMap,
    fmt,
    fs,
    path::Path,
    sync::Arc, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Summary,
    Target, //
};

/// Why the expected outcomes can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The file can't be read.
    Read,
    /// The file isn't TOML, or names an unknown limit.
    Decode,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "expected outcomes can't be read",
            Self::Decode => "expected outcomes aren't valid",
        })
    }
}

impl std::error::Error for Error {}

/// Limits on the figures of one group or service, or of all requests.
///
/// Shares are from 0 to 1. A limit that is left out isn't checked.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum median latency, in milliseconds.
    pub p50_ms_max: Option<f64>,
    /// Maximum 99th percentile of the latency, in milliseconds.
    pub p99_ms_max: Option<f64>,
    /// Maximum 99.9th percentile of the latency, in milliseconds.
    pub p999_ms_max: Option<f64>,
    /// Minimum share of requests with a complete answer in time whose work ran at most once.
    pub goodput_min: Option<f64>,
    /// Minimum mean coverage.
    pub coverage_min: Option<f64>,
    /// Maximum share of partial answers.
    pub partial_max: Option<f64>,
    /// Maximum share of refused requests.
    pub refused_max: Option<f64>,
    /// Maximum share of requests without a usable answer.
    pub errors_max: Option<f64>,
    /// Maximum share of late answers.
    pub late_max: Option<f64>,
    /// Maximum extra load, as a share of the load that was needed.
    pub extra_load_max: Option<f64>,
}

/// The expected outcomes of a run.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectation {
    /// Limits over all requests.
    pub all: Limits,
    /// Limits by group or service.
    pub targets: BTreeMap<Arc<str>, Limits>,
}

/// A limit that isn't met.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Unmet {
    /// Group or service, or `all`.
    pub target: Arc<str>,
    /// Name of the limit.
    pub bound: &'static str,
    /// Value of the limit.
    pub stated: f64,
    /// Measured value; none if no request was sent.
    pub found: Option<f64>,
}

impl fmt::Display for Unmet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} is {}, found ",
            self.target, self.bound, self.stated
        )?;
        match self.found {
            Some(found) => write!(f, "{found}"),
            None => f.write_str("no request"),
        }
    }
}

/// Reads the expected outcomes from a TOML file.
///
/// # Errors
///
/// Fails if the file can't be read, isn't TOML or names an unknown limit.
pub fn load(path: &Path) -> Result<Expectation, Report<Error>> {
    let text = fs::read_to_string(path)
        .change_context(Error::Read)
        .attach_with(|| path.display().to_string())?;
    decode(&text).attach_with(|| path.display().to_string())
}

/// Reads the expected outcomes from TOML text.
///
/// # Errors
///
/// Fails if the text isn't TOML or names an unknown limit.
pub fn decode(text: &str) -> Result<Expectation, Report<Error>> {
    toml::from_str(text).change_context(Error::Decode)
}

impl Expectation {
    /// Returns the limits that a report doesn't meet.
    pub fn check(&self, summary: &Summary) -> Vec<Unmet> {
        let mut unmet = check("all", &self.all, Some(&summary.all));
        for (name, limits) in &self.targets {
            unmet.extend(check(name, limits, summary.targets.get(name)));
        }
        unmet
    }
}

/// A limit and the figure that it applies to.
struct Comparison {
    name: &'static str,
    stated: Option<f64>,
    found: f64,
    is_min: bool,
}

impl Comparison {
    fn at_most(name: &'static str, stated: Option<f64>, found: f64) -> Self {
        Self {
            name,
            stated,
            found,
            is_min: false,
        }
    }

    fn at_least(name: &'static str, stated: Option<f64>, found: f64) -> Self {
        Self {
            is_min: true,
            ..Self::at_most(name, stated, found)
        }
    }

    fn is_met(&self, stated: f64) -> bool {
        match self.is_min {
            true => self.found >= stated,
            false => self.found <= stated,
        }
    }
}

fn check(target: &str, limits: &Limits, found: Option<&Target>) -> Vec<Unmet> {
    let sent = found.filter(|found| found.queries > 0);
    let unmet = |comparison: Comparison| {
        let stated = comparison
            .stated
            .filter(|stated| sent.is_none() || !comparison.is_met(*stated))?;
        Some(Unmet {
            target: target.into(),
            bound: comparison.name,
            stated,
            found: sent.map(|_| comparison.found),
        })
    };
    let no_requests = Target::default();
    let comparisons = comparisons(limits, sent.unwrap_or(&no_requests));
    comparisons.into_iter().filter_map(unmet).collect()
}

fn comparisons(limits: &Limits, found: &Target) -> [Comparison; 10] {
    let share = |count: u64| count as f64 / found.queries.max(1) as f64;
    [
        Comparison::at_most("p50_ms_max", limits.p50_ms_max, found.p50_ms),
        Comparison::at_most("p99_ms_max", limits.p99_ms_max, found.p99_ms),
        Comparison::at_most("p999_ms_max", limits.p999_ms_max, found.p999_ms),
        Comparison::at_least("goodput_min", limits.goodput_min, found.goodput),
        Comparison::at_least("coverage_min", limits.coverage_min, found.coverage),
        Comparison::at_most("partial_max", limits.partial_max, found.partial),
        Comparison::at_most("refused_max", limits.refused_max, share(found.refused)),
        Comparison::at_most("errors_max", limits.errors_max, share(found.errors)),
        Comparison::at_most("late_max", limits.late_max, share(found.late)),
        Comparison::at_most("extra_load_max", limits.extra_load_max, found.extra_load),
    ]
}

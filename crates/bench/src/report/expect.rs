//! Stated outcomes, and where a report doesn't meet them.

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

/// Why the stated outcomes can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The file can't be read.
    Read,
    /// The file isn't a table of known bounds.
    Decode,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "stated outcomes can't be read",
            Self::Decode => "stated outcomes aren't valid",
        })
    }
}

impl std::error::Error for Error {}

/// Bounds on the figures of one group or service, or of all.
///
/// Shares are from 0 to 1. A bound that is left out isn't checked.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Most for the median latency, in milliseconds.
    pub p50_ms_max: Option<f64>,
    /// Most for the 99th percentile, in milliseconds.
    pub p99_ms_max: Option<f64>,
    /// Most for the 99.9th percentile, in milliseconds.
    pub p999_ms_max: Option<f64>,
    /// Least share of whole, timely and single answers.
    pub goodput_min: Option<f64>,
    /// Least mean coverage.
    pub coverage_min: Option<f64>,
    /// Most for the share of answers that lack a shard.
    pub partial_max: Option<f64>,
    /// Most for the share of refused requests.
    pub refused_max: Option<f64>,
    /// Most for the share of requests without a usable answer.
    pub errors_max: Option<f64>,
    /// Most for the share of late answers.
    pub late_max: Option<f64>,
    /// Most extra load.
    pub extra_load_max: Option<f64>,
}

/// The stated outcomes of a run.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectation {
    /// Bounds over all requests.
    pub all: Bounds,
    /// Bounds by group or service.
    pub targets: BTreeMap<Arc<str>, Bounds>,
}

/// A bound that isn't met.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Unmet {
    /// Group or service, or `all`.
    pub target: Arc<str>,
    /// Name of the bound.
    pub bound: &'static str,
    /// Stated value.
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

/// Reads the stated outcomes from a TOML file.
///
/// # Errors
///
/// Fails if the file can't be read, or names a bound that isn't known.
pub fn load(path: &Path) -> Result<Expectation, Report<Error>> {
    let text = fs::read_to_string(path)
        .change_context(Error::Read)
        .attach_with(|| path.display().to_string())?;
    decode(&text).attach_with(|| path.display().to_string())
}

/// Reads the stated outcomes from TOML text.
///
/// # Errors
///
/// Fails if the text isn't TOML, or names a bound that isn't known.
pub fn decode(text: &str) -> Result<Expectation, Report<Error>> {
    toml::from_str(text).change_context(Error::Decode)
}

impl Expectation {
    /// Returns the bounds that a report doesn't meet.
    pub fn check(&self, summary: &Summary) -> Vec<Unmet> {
        let mut unmet = check("all", &self.all, Some(&summary.all));
        for (name, bounds) in &self.targets {
            unmet.extend(check(name, bounds, summary.targets.get(name)));
        }
        unmet
    }
}

/// One bound, and the figure that it is on.
struct Limit {
    name: &'static str,
    stated: Option<f64>,
    found: f64,
    is_least: bool,
}

impl Limit {
    fn most(name: &'static str, stated: Option<f64>, found: f64) -> Self {
        Self {
            name,
            stated,
            found,
            is_least: false,
        }
    }

    fn least(name: &'static str, stated: Option<f64>, found: f64) -> Self {
        Self {
            is_least: true,
            ..Self::most(name, stated, found)
        }
    }

    fn is_met(&self, stated: f64) -> bool {
        match self.is_least {
            true => self.found >= stated,
            false => self.found <= stated,
        }
    }
}

fn check(target: &str, bounds: &Bounds, found: Option<&Target>) -> Vec<Unmet> {
    let sent = found.filter(|found| found.queries > 0);
    let unmet = |limit: Limit| {
        let stated = limit
            .stated
            .filter(|stated| sent.is_none() || !limit.is_met(*stated))?;
        Some(Unmet {
            target: target.into(),
            bound: limit.name,
            stated,
            found: sent.map(|_| limit.found),
        })
    };
    let nothing = Target::default();
    let limits = limits(bounds, sent.unwrap_or(&nothing));
    limits.into_iter().filter_map(unmet).collect()
}

fn limits(bounds: &Bounds, found: &Target) -> [Limit; 10] {
    let share = |count: u64| count as f64 / found.queries.max(1) as f64;
    [
        Limit::most("p50_ms_max", bounds.p50_ms_max, found.p50_ms),
        Limit::most("p99_ms_max", bounds.p99_ms_max, found.p99_ms),
        Limit::most("p999_ms_max", bounds.p999_ms_max, found.p999_ms),
        Limit::least("goodput_min", bounds.goodput_min, found.goodput),
        Limit::least("coverage_min", bounds.coverage_min, found.coverage),
        Limit::most("partial_max", bounds.partial_max, found.partial),
        Limit::most("refused_max", bounds.refused_max, share(found.refused)),
        Limit::most("errors_max", bounds.errors_max, share(found.errors)),
        Limit::most("late_max", bounds.late_max, share(found.late)),
        Limit::most("extra_load_max", bounds.extra_load_max, found.extra_load),
    ]
}

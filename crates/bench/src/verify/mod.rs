//! Checks the promises of the system against what callers and backend servers saw.
//!
//! The verifier is a pure function of the callers' records and of the backend servers' [`Log`].
//!
//! # Examples
//!
//! ```
//! use bench::verify::{
//!     self,
//!     Log, //
//! };
//!
//! let verdict = verify::run(&[], &Log::default());
//! assert!(verdict.violations.is_empty());
//! assert!(verdict.partial);
//! ```

mod answer;
mod caller;
mod coverage;
pub mod fetch;
mod hits;
mod index;
pub mod log;
mod once;
mod server;
pub mod violation;

use std::collections::BTreeMap;

use index::Index;

pub use log::Log;
pub use violation::{
    Finding,
    Promise,
    Violation, //
};

use crate::replay::Record;

/// What the verifier found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Every violation, sorted by promise.
    pub violations: Vec<Violation>,
    /// Whether entries may be missing from the log, so that some violations can't be detected.
    pub partial: bool,
}

impl Verdict {
    /// Counts the violations of each promise, including promises with none.
    pub fn counts(&self) -> BTreeMap<Promise, u64> {
        let mut counts: BTreeMap<_, _> = Promise::ALL.map(|promise| (promise, 0)).into();
        for violation in &self.violations {
            *counts.entry(violation.finding.promise()).or_default() += 1;
        }
        counts
    }
}

/// Checks every promise.
pub fn run(records: &[Record], log: &Log) -> Verdict {
    let index = Index::new(records, log);
    let mut violations = Vec::new();
    for record in records {
        answer::check(record, log, &mut violations);
        hits::check(record, log, &mut violations);
        coverage::check(record, &index, &mut violations);
        once::check_refusal(record, &index, &mut violations);
        once::check_finished(record, &index, &mut violations);
        caller::check_cut(record, log, &mut violations);
    }
    answer::check_single(records, &mut violations);
    once::check_keys(&index, &mut violations);
    server::check_leaving(log, &mut violations);
    server::check_connections(log, &mut violations);
    caller::check_presets(records, log, &mut violations);
    violations.sort_by_key(|violation| violation.finding.promise());
    Verdict {
        violations,
        partial: log.is_partial(),
    }
}

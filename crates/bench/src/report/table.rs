//! The report as an aligned table.

use std::{
    collections::BTreeMap,
    fmt::{
        self,
        Display,
        Write, //
    },
};

use super::{
    Summary,
    Target, //
};

/// Widths of the columns after the first.
const WIDTH: usize = 9;

/// Prints a report as text.
pub fn render(summary: &Summary) -> String {
    let mut text = String::new();
    write(&mut text, summary).expect("a string takes any text");
    text
}

fn write(text: &mut String, summary: &Summary) -> fmt::Result {
    let names = summary.targets.keys().map(|name| name.len());
    let first = names.max().unwrap_or(0).max("target".len());
    write!(text, "{:first$}", "target")?;
    for head in HEADS {
        write!(text, " {head:>WIDTH$}")?;
    }
    text.push('\n');
    for (name, target) in &summary.targets {
        row(text, first, name, target)?;
    }
    row(text, first, "all", &summary.all)?;
    text.push('\n');
    writeln!(text, "seconds         {}", summary.seconds)?;
    writeln!(text, "goodput rate    {} /s", summary.goodput_rate)?;
    writeln!(text, "send lag p99    {} ms", summary.send_lag_p99_ms)?;
    writeln!(text, "caller retries  {}", summary.caller_retries)?;
    counts(text, "refusals", &summary.refusals)?;
    counts(text, "faults", &summary.faults)?;
    counts(text, "missing shards", &summary.missing)?;
    counts(text, "ended", &summary.ends)?;
    counts(text, "violations", &summary.violations)?;
    for violation in &summary.examples {
        let violation = serde_json::to_string(violation).map_err(|_| fmt::Error)?;
        writeln!(text, "  {violation}")?;
    }
    if summary.partial_log {
        writeln!(
            text,
            "the log lacks entries, so not every promise was checked"
        )?;
    }
    Ok(())
}

const HEADS: [&str; 13] = [
    "queries", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "goodput", "coverage", "partial",
    "refused", "errors", "late", "extra", "wasted",
];

fn row(text: &mut String, first: usize, name: &str, target: &Target) -> fmt::Result {
    write!(text, "{name:first$}")?;
    write!(text, " {:>WIDTH$}", target.queries)?;
    for ms in [target.p50_ms, target.p90_ms, target.p99_ms, target.p999_ms] {
        write!(text, " {ms:>WIDTH$.2}")?;
    }
    for share in [target.goodput, target.coverage, target.partial] {
        write!(text, " {share:>WIDTH$.4}")?;
    }
    for count in [target.refused, target.errors, target.late] {
        write!(text, " {count:>WIDTH$}")?;
    }
    for share in [target.extra_load, target.wasted_load] {
        write!(text, " {share:>WIDTH$.4}")?;
    }
    text.push('\n');
    Ok(())
}

fn counts<K: Display>(text: &mut String, name: &str, counts: &BTreeMap<K, u64>) -> fmt::Result {
    write!(text, "{name:15}")?;
    if counts.is_empty() {
        text.push_str(" none");
    }
    for (key, count) in counts {
        write!(text, " {key} {count}")?;
    }
    text.push('\n');
    Ok(())
}

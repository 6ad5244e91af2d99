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

/// Width of each column after the first.
const WIDTH: usize = 9;

/// Renders a report as text.
pub fn render(summary: &Summary) -> String {
    let mut text = String::new();
    write_report(&mut text, summary).expect("a string takes any text");
    text
}

fn write_report(text: &mut String, summary: &Summary) -> fmt::Result {
    let names = summary.targets.keys().map(|name| name.len());
    let name_width = names.max().unwrap_or(0).max("target".len());
    write!(text, "{:name_width$}", "target")?;
    for heading in HEADINGS {
        write!(text, " {heading:>WIDTH$}")?;
    }
    text.push('\n');
    for (name, target) in &summary.targets {
        write_row(text, name_width, name, target)?;
    }
    write_row(text, name_width, "all", &summary.all)?;
    text.push('\n');
    writeln!(text, "seconds         {}", summary.seconds)?;
    writeln!(text, "goodput rate    {} /s", summary.goodput_rate)?;
    writeln!(text, "send lag p99    {} ms", summary.send_lag_p99_ms)?;
    writeln!(text, "caller retries  {}", summary.caller_retries)?;
    write_counts(text, "refusals", &summary.refusals)?;
    write_counts(text, "faults", &summary.faults)?;
    write_counts(text, "missing shards", &summary.missing)?;
    write_counts(text, "ended", &summary.ends)?;
    write_counts(text, "violations", &summary.violations)?;
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

/// Headings of the columns after the first.
const HEADINGS: [&str; 13] = [
    "queries", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "goodput", "coverage", "partial",
    "refused", "errors", "late", "extra", "wasted",
];

fn write_row(text: &mut String, name_width: usize, name: &str, target: &Target) -> fmt::Result {
    write!(text, "{name:name_width$}")?;
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

fn write_counts<K: Display>(
    text: &mut String,
    name: &str,
    counts: &BTreeMap<K, u64>,
) -> fmt::Result {
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

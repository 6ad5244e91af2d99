//! Compares reports with the first one, in a Markdown table.

pub mod command;

use std::fmt::Write;

use crate::report::Summary;

/// One column of the comparison.
struct Column {
    heading: &'static str,
    value: fn(&Summary) -> f64,
    /// Number of decimals shown.
    decimals: usize,
}

const COLUMNS: [Column; 9] = [
    Column {
        heading: "p50 ms",
        value: |summary| summary.all.p50_ms,
        decimals: 1,
    },
    Column {
        heading: "p99 ms",
        value: |summary| summary.all.p99_ms,
        decimals: 1,
    },
    Column {
        heading: "p99.9 ms",
        value: |summary| summary.all.p999_ms,
        decimals: 1,
    },
    Column {
        heading: "goodput /s",
        value: |summary| summary.goodput_rate,
        decimals: 1,
    },
    Column {
        heading: "coverage",
        value: |summary| summary.all.coverage,
        decimals: 4,
    },
    Column {
        heading: "extra load",
        value: |summary| summary.all.extra_load,
        decimals: 4,
    },
    Column {
        heading: "wasted load",
        value: |summary| summary.all.wasted_load,
        decimals: 4,
    },
    Column {
        heading: "refused",
        value: |summary| summary.all.refused as f64,
        decimals: 0,
    },
    Column {
        heading: "violations",
        value: |summary| summary.violations.values().sum::<u64>() as f64,
        decimals: 0,
    },
];

/// Renders the reports as a Markdown table: the values of the first report, and for each other one the
/// ratio to the first with the value in parentheses.
pub fn render(summaries: &[Summary]) -> String {
    let mut text = String::from("| run | queries |");
    for column in &COLUMNS {
        write!(text, " {} |", column.heading).expect("a string takes any text");
    }
    text.push_str("\n|---|---|");
    text.push_str(&"---|".repeat(COLUMNS.len()));
    text.push('\n');
    for summary in summaries {
        let first = &summaries[0];
        let cells = COLUMNS.iter().map(|column| cell(column, first, summary));
        let cells: Vec<_> = cells.collect();
        let queries = summary.all.queries;
        writeln!(
            text,
            "| {} | {queries} | {} |",
            summary.label,
            cells.join(" | ")
        )
        .expect("a string takes any text");
    }
    text
}

fn cell(column: &Column, first: &Summary, summary: &Summary) -> String {
    let value = (column.value)(summary);
    let first_value = (column.value)(first);
    let decimals = column.decimals;
    match std::ptr::eq(first, summary) || first_value == 0.0 {
        true => format!("{value:.decimals$}"),
        false => format!("×{:.2} ({value:.decimals$})", value / first_value),
    }
}

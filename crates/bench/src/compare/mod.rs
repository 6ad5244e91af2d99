//! Compares reports with the first one, as a markdown table.

pub mod command;

use std::fmt::Write;

use crate::report::Summary;

/// One column of the comparison.
struct Column {
    head: &'static str,
    value: fn(&Summary) -> f64,
    /// Decimals of the value.
    decimals: usize,
}

const COLUMNS: [Column; 9] = [
    Column {
        head: "p50 ms",
        value: |summary| summary.all.p50_ms,
        decimals: 1,
    },
    Column {
        head: "p99 ms",
        value: |summary| summary.all.p99_ms,
        decimals: 1,
    },
    Column {
        head: "p99.9 ms",
        value: |summary| summary.all.p999_ms,
        decimals: 1,
    },
    Column {
        head: "goodput /s",
        value: |summary| summary.goodput_rate,
        decimals: 1,
    },
    Column {
        head: "coverage",
        value: |summary| summary.all.coverage,
        decimals: 4,
    },
    Column {
        head: "extra load",
        value: |summary| summary.all.extra_load,
        decimals: 4,
    },
    Column {
        head: "wasted load",
        value: |summary| summary.all.wasted_load,
        decimals: 4,
    },
    Column {
        head: "refused",
        value: |summary| summary.all.refused as f64,
        decimals: 0,
    },
    Column {
        head: "violations",
        value: |summary| summary.violations.values().sum::<u64>() as f64,
        decimals: 0,
    },
];

/// Prints the reports as a markdown table: the first one's values, then for each other one the
/// ratio to the first and the value.
pub fn render(summaries: &[Summary]) -> String {
    let mut text = String::from("| run | queries |");
    for column in &COLUMNS {
        write!(text, " {} |", column.head).expect("a string takes any text");
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
    let base = (column.value)(first);
    let decimals = column.decimals;
    match std::ptr::eq(first, summary) || base == 0.0 {
        true => format!("{value:.decimals$}"),
        false => format!("×{:.2} ({value:.decimals$})", value / base),
    }
}

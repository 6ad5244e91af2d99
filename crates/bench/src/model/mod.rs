//! Simulates the worst load patterns against the policies, with one policy left out at a time.
//!
//! A policy change can be tried here within a second. Its actual effect has to be measured on the users' bench.

pub mod engine;
pub mod load;
pub mod outcome;
mod state;

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use clap::ValueEnum;

use self::{
    engine::Without,
    load::{
        Load,
        DISTURBANCE, //
        DURATION,
    },
    outcome::Outcome,
};
use crate::plot;

/// Seconds after the disturbance that count as part of it, because queues are still being drained.
const RECOVERY_SECONDS: u64 = 2;

/// Options of `bench model`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Load patterns; all if none is given.
    #[arg(long, value_delimiter = ',')]
    pub load: Vec<Load>,
    /// Policies to leave out, one per replay; by default each policy once, and none.
    #[arg(long, value_delimiter = ',')]
    pub without: Vec<Without>,
    /// Seed of arrival and service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// SVG file to plot to: queries answered in time per second, one panel per load pattern.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Runs each replay and prints a table of the results.
pub fn run(options: Options) -> ExitCode {
    let loads = given_or_all(&options.load, &Load::ALL);
    let variants = given_or_all(&options.without, &Without::ALL);
    println!("| load | without | asked | in time | shards in these | late | refused | failed | sub-requests a query |");
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut panels = Vec::new();
    for load in loads {
        let replays: Vec<(Without, Outcome)> = variants
            .iter()
            .map(|without| (*without, engine::run(load, *without, options.seed)))
            .collect();
        replays
            .iter()
            .for_each(|(without, outcome)| print_row(load, *without, outcome));
        let lines = replays
            .iter()
            .map(|(without, outcome)| (value_name(without), in_time_per_second(outcome)));
        panels.push((value_name(&load), lines.collect()));
    }
    match options.plot.map(|path| plot::over_time(panels, &path)) {
        Some(Err(report)) => {
            tracing::error!("model: {report:#}.");
            ExitCode::FAILURE
        }
        _ => ExitCode::SUCCESS,
    }
}

fn given_or_all<T: Copy>(given: &[T], all: &[T]) -> Vec<T> {
    match given {
        [] => all.to_vec(),
        given => given.to_vec(),
    }
}

fn value_name(value: &impl ValueEnum) -> String {
    let value = value.to_possible_value();
    value.map_or_else(String::new, |value| value.get_name().to_owned())
}

fn print_row(load: Load, without: Without, outcome: &Outcome) {
    let disturbed_seconds =
        DISTURBANCE.start.as_secs()..DISTURBANCE.end.as_secs() + RECOVERY_SECONDS;
    let disturbed = outcome.total(disturbed_seconds);
    let all = outcome.total(0..DURATION.as_secs());
    println!(
        "| {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.1} |",
        value_name(&load),
        value_name(&without),
        disturbed.queries,
        ratio(disturbed.in_time, disturbed.queries),
        disturbed.coverage_sum / f64::from(disturbed.in_time.max(1)),
        ratio(disturbed.late, disturbed.queries),
        ratio(disturbed.refused, disturbed.queries),
        ratio(disturbed.failed, disturbed.queries),
        outcome.subrequests as f64 / f64::from(all.queries.max(1)),
    );
}

fn ratio(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

fn in_time_per_second(outcome: &Outcome) -> Vec<(f64, f64)> {
    let seconds = outcome.seconds.iter().enumerate();
    let points = seconds.map(|(at, second)| (at as f64, f64::from(second.in_time)));
    points.take(DURATION.as_secs() as usize).collect()
}

//! Replays the worst load patterns against the policies, with one of them left out at a time.
//!
//! A change of a policy can be tried here in a second. What it is worth is measured on the users' bench.

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
        LENGTH,
        TROUBLE, //
    },
    outcome::Outcome,
};
use crate::plot;

/// Seconds after the trouble that belong to it: what has queued is worked off.
const AFTER: u64 = 2;

/// Settings of the replays.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Load patterns; all if none is given.
    #[arg(long, value_delimiter = ',')]
    pub load: Vec<Load>,
    /// Policies to leave out, one a replay; each once, and none, if it isn't given.
    #[arg(long, value_delimiter = ',')]
    pub without: Vec<Without>,
    /// Seed of arrivals and work.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// File of a plot, SVG: queries answered in time a second, a panel a load.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

/// Replays and prints a table.
pub fn run(options: Options) -> ExitCode {
    let loads = or_all(&options.load, &Load::ALL);
    let variants = or_all(&options.without, &Without::ALL);
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
            .for_each(|(without, outcome)| row(load, *without, outcome));
        let lines = replays
            .iter()
            .map(|(without, outcome)| (name(without), in_time(outcome)));
        panels.push((name(&load), lines.collect()));
    }
    match options.plot.map(|path| plot::over_time(panels, &path)) {
        Some(Err(report)) => {
            tracing::error!("model: {report:#}.");
            ExitCode::FAILURE
        }
        _ => ExitCode::SUCCESS,
    }
}

fn or_all<T: Copy>(given: &[T], all: &[T]) -> Vec<T> {
    match given {
        [] => all.to_vec(),
        given => given.to_vec(),
    }
}

fn name(value: &impl ValueEnum) -> String {
    let value = value.to_possible_value();
    value.map_or_else(String::new, |value| value.get_name().to_owned())
}

fn row(load: Load, without: Without, outcome: &Outcome) {
    let span = TROUBLE.start.as_secs()..TROUBLE.end.as_secs() + AFTER;
    let second = outcome.over(span);
    let whole = outcome.over(0..LENGTH.as_secs());
    println!(
        "| {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.1} |",
        name(&load),
        name(&without),
        second.asked,
        share(second.in_time, second.asked),
        second.shares / f64::from(second.in_time.max(1)),
        share(second.late, second.asked),
        share(second.refused, second.asked),
        share(second.failed, second.asked),
        outcome.sent as f64 / f64::from(whole.asked.max(1)),
    );
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

fn in_time(outcome: &Outcome) -> Vec<(f64, f64)> {
    let seconds = outcome.seconds.iter().enumerate();
    let points = seconds.map(|(at, second)| (at as f64, f64::from(second.in_time)));
    points.take(LENGTH.as_secs() as usize).collect()
}

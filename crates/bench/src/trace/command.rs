//! `bench trace`.

use std::{
    fs,
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Args,
    Subcommand, //
};
use error_stack::{
    Report,
    ResultExt, //
};

use super::{
    encode,
    generate,
    profile::{
        Phase,
        User, //
    },
    Error, //
};

/// Subcommands of `bench trace`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Generate a trace from a seed.
    Generate(Arguments),
}

/// Arguments of `bench trace generate`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// User whose workload it is.
    #[arg(long)]
    user: User,
    /// Length, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Mean arrivals per second in an ordinary phase.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Seed of the generator.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Phases in order, as `ordinary=SHARE` or `peak=SHARE` separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "ordinary=1")]
    mix: Vec<Phase>,
    /// File to write.
    #[arg(long)]
    out: PathBuf,
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let Self::Generate(arguments) = self;
        match write_trace(arguments) {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => {
                eprintln!("trace: {report:?}");
                ExitCode::FAILURE
            }
        }
    }
}

fn write_trace(arguments: Arguments) -> Result<(), Report<Error>> {
    let trace = generate::run(&generate::Plan {
        user: arguments.user,
        seconds: arguments.seconds,
        rate: arguments.rate,
        seed: arguments.seed,
        phases: arguments.mix,
    });
    fs::write(&arguments.out, encode(&trace))
        .change_context(Error::Write)
        .attach_with(|| arguments.out.display().to_string())?;
    println!("{} arrivals", trace.arrivals.len());
    Ok(())
}

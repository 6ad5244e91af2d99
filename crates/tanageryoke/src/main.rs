//! The `tanageryoke` program.

use std::process::ExitCode;

use clap::Parser;
use mimalloc::MiMalloc;
use tanageryoke::cli::Cli;

/// Answers leave buffers of some kilobytes behind, which the C library's allocator merges and splits.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    Cli::parse().run()
}

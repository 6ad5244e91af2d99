//! The `tanageryoke` program.

use std::process::ExitCode;

use clap::Parser;
use mimalloc::MiMalloc;
use tanageryoke::cli::Cli;

/// Each answer frees buffers of a few kilobytes, which the C library's allocator would merge and split
/// again for the next one.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    Cli::parse().run()
}

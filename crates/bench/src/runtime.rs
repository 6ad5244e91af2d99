//! The runtime of every subcommand: one thread, readiness polling, timers.

use std::{
    future::Future,
    io, //
};

use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};

/// Runs `future` on a runtime of the calling thread.
///
/// # Errors
///
/// Fails if the poll descriptor can't be made.
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}

//! The asynchronous runtime of the subcommands: single-threaded, with timers, on readiness polling (`epoll`)
//! instead of `io_uring`.

use std::{
    future::Future,
    io,
    process::ExitCode, //
};

use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};

/// Runs `future` to completion on the calling thread.
///
/// # Errors
///
/// Fails if the polling descriptor can't be created.
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}

/// Runs the stand-in `name` until it ends, and logs its failure.
pub fn run_stand_in(name: &str, future: impl Future<Output = io::Result<()>>) -> ExitCode {
    match run(future) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            tracing::error!("{name}: {error}.");
            ExitCode::FAILURE
        }
    }
}

//! The runtime of every subcommand: one thread, readiness polling, timers.

use std::{
    future::Future,
    io,
    process::ExitCode, //
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

/// Runs the stand-in of that name until it ends; a failure is logged.
pub fn stand(name: &str, future: impl Future<Output = io::Result<()>>) -> ExitCode {
    match run(future) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) | Err(error) => {
            tracing::error!("{name}: {error}.");
            ExitCode::FAILURE
        }
    }
}

//! The clocks, tasks and random numbers that the ledger uses.

use std::{
    future::Future,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
};

/// Clocks, timers, tasks and random numbers of one thread.
pub trait Runtime: 'static {
    /// Future that completes after the requested duration.
    type Sleep: Future<Output = ()>;

    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the time of day in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;

    /// Waits for `duration`.
    fn sleep(&self, duration: Duration) -> Self::Sleep;

    /// Returns a random number.
    fn random(&self) -> u64;

    /// Spawns `task` on this thread.
    fn spawn(&self, task: impl Future<Output = ()> + 'static);
}

/// The runtime used in production.
#[derive(Debug, Clone, Copy)]
pub struct Monoio;

impl Runtime for Monoio {
    type Sleep = monoio::time::Sleep;

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }

    fn sleep(&self, duration: Duration) -> Self::Sleep {
        monoio::time::sleep(duration)
    }

    fn random(&self) -> u64 {
        rand::random()
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        monoio::spawn(task);
    }
}

/// Waits for `future` until `deadline`; returns `None` if it isn't done by then.
pub(crate) async fn timeout_at<R: Runtime, F: Future>(
    runtime: &R,
    deadline: Instant,
    future: F,
) -> Option<F::Output> {
    let sleep = runtime.sleep(deadline.saturating_duration_since(runtime.now()));
    pin_mut!(sleep, future);
    match select(future, sleep).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

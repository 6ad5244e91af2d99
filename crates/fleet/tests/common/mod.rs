//! A fake platform and instances in one thread, with real loopback connections.
#![allow(dead_code)]

pub(crate) mod documents;
pub(crate) mod node;
pub(crate) mod store;

use std::{
    future::Future,
    time::{
        Duration,
        Instant, //
    },
};

use monoio::{
    time::sleep,
    LegacyDriver,
    RuntimeBuilder, //
};

/// Time after which a wait fails the test.
const MAX_WAIT: Duration = Duration::from_secs(300);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Runs `future` on a new runtime.
pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    let result = runtime.block_on(future);
    // Dropping the runtime while streams are open deadlocks: `h2` calls wakers under its lock,
    // these drop tasks, and a dropped task's stream handle takes the same lock again.
    std::mem::forget(runtime);
    result
}

/// Waits until `is_met` returns true; `what` describes the condition.
pub(crate) async fn until(what: &str, is_met: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < MAX_WAIT, "timed out waiting until {what}");
        sleep(POLL_INTERVAL).await;
    }
}

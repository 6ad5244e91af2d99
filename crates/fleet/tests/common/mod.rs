//! A platform and instances in one thread, over real loopback connections.
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

/// Time after which a wait is taken to be endless.
const ENDLESS: Duration = Duration::from_secs(300);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(2);

/// Runs `future` on a runtime of its own.
pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    let result = runtime.block_on(future);
    // A runtime that is dropped with streams open drops tasks from wakers that `h2` calls under its
    // lock, and the task's own handle takes the same lock again: a deadlock.
    std::mem::forget(runtime);
    result
}

/// Waits until `is_met` holds.
pub(crate) async fn until(what: &str, is_met: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < ENDLESS, "never: {what}");
        sleep(LOOK).await;
    }
}

//! Growth and jitter of the backoff.

use std::time::Duration;

use platform::backoff::Backoff;

#[test]
fn wait_doubles_up_to_the_maximum_until_reset() {
    let mut backoff = Backoff::seeded(Duration::from_millis(10), Duration::from_millis(60), 7);
    let mut limits = [10, 20, 40, 60, 60].into_iter().map(Duration::from_millis);
    assert!(limits.all(|limit| {
        let wait = backoff.next_wait();
        limit / 2 <= wait && wait <= limit
    }));
    backoff.reset();
    assert!(backoff.next_wait() <= Duration::from_millis(10));
}

#[test]
fn jitter_differs_between_seeds() {
    let wait = |seed| {
        let second = Duration::from_secs(1);
        Backoff::seeded(second, second, seed).next_wait()
    };
    let waits = (0..100)
        .map(wait)
        .collect::<std::collections::BTreeSet<_>>();
    assert_eq!(waits.len(), 100);
}

//! Waits between tries.

use std::time::Duration;

use platform::backoff::Backoff;

#[test]
fn waits_double_up_to_the_longest_and_start_over() {
    let mut backoff = Backoff::seeded(Duration::from_millis(10), Duration::from_millis(60), 7);
    let mut bounds = [10, 20, 40, 60, 60].into_iter().map(Duration::from_millis);
    assert!(bounds.all(|bound| {
        let wait = backoff.next_wait();
        bound / 2 <= wait && wait <= bound
    }));
    backoff.reset();
    assert!(backoff.next_wait() <= Duration::from_millis(10));
}

#[test]
fn clients_do_not_wait_in_step() {
    let wait = |seed| {
        let second = Duration::from_secs(1);
        Backoff::seeded(second, second, seed).next_wait()
    };
    let waits = (0..100)
        .map(wait)
        .collect::<std::collections::BTreeSet<_>>();
    assert_eq!(waits.len(), 100);
}

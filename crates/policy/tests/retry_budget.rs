//! Tests of the limit on hedges and retries that all instances keep together.

use std::time::{
    Duration,
    Instant, //
};

use policy::retry_budget::{
    Bound,
    Budget,
    Purpose, //
};

const LIMIT: Bound = Bound {
    ratio: 0.2,
    allowance: 54.0,
    span: Duration::from_secs(10),
};
const INSTANCES: usize = 7;

/// Simulates a service that stalls: for every initial sub-request, a hedge and two retries are attempted.
///
/// Returns the largest excess of hedges and retries over the limit in any window, 0 if there is none. All
/// instances restart every `restart_s` seconds and lose their counts.
fn max_excess(per_second: u32, seconds: u32, restart_s: u32) -> f64 {
    let start = Instant::now();
    let long_ago = start.checked_sub(2 * LIMIT.span).unwrap_or(start);
    let mut fleet = vec![Budget::new(LIMIT, INSTANCES, long_ago); INSTANCES];
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for number in 0..per_second * seconds {
        let at = Duration::from_secs(1) * number / per_second;
        if number > 0 && number.is_multiple_of(per_second * restart_s) {
            fleet = vec![Budget::new(LIMIT, INSTANCES, start + at); INSTANCES];
        }
        let budget = &mut fleet[number as usize % INSTANCES];
        budget.count_initial(start + at);
        sent.push((at, false));
        for purpose in [Purpose::Hedge, Purpose::Retry, Purpose::Retry] {
            if budget.take(start + at, purpose) {
                sent.push((at, true));
            }
        }
    }
    let excess = |from: Duration| {
        let inside = |(at, _): &&(Duration, bool)| (from..from + LIMIT.span).contains(at);
        let inside: Vec<_> = sent.iter().filter(inside).collect();
        let hedges_and_retries = inside
            .iter()
            .filter(|(_, is_additional)| *is_additional)
            .count() as f64;
        let initial = inside.len() as f64 - hedges_and_retries;
        hedges_and_retries - (initial * LIMIT.ratio + LIMIT.allowance)
    };
    let window_starts = (0..seconds * 4).map(|quarter| Duration::from_millis(250) * quarter);
    window_starts.map(excess).fold(0.0, f64::max)
}

#[test]
fn fleet_of_stalled_service_keeps_limit_in_every_window() {
    for per_second in [5, 20, 90, 400] {
        assert_eq!(
            max_excess(per_second, 40, 40),
            0.0,
            "at {per_second} a second"
        );
    }
}

/// Instances that are killed repeatedly while a service stalls lose their counts and could use their part of
/// the allowance more than once in a window.
#[test]
fn restarted_fleet_keeps_limit_in_every_window() {
    for restart_s in [2, 7, 11] {
        for per_second in [5, 20, 90, 400] {
            let excess = max_excess(per_second, 40, restart_s);
            assert_eq!(excess, 0.0, "at {per_second} a second, every {restart_s} s");
        }
    }
}

#[test]
fn unknown_number_of_instances_gives_no_allowance() {
    let now = Instant::now();
    let mut budget = settled_budget(0, now);
    assert!(!budget.take(now, Purpose::Retry));
    budget.set_limit(LIMIT, INSTANCES, now);
    assert!(!budget.take(now + LIMIT.span / 2, Purpose::Retry));
    assert!(budget.take(now + LIMIT.span, Purpose::Retry));
}

/// All instances shut down at almost the same moment. Each sees the number of instances fall and could use the
/// part of the others, which those have used themselves.
#[test]
fn shrinking_fleet_keeps_limit() {
    let now = Instant::now();
    let mut fleet = vec![settled_budget(INSTANCES, now); INSTANCES];
    let mut sent = 0;
    for gone in 0..INSTANCES {
        let at = now + Duration::from_millis(200) * gone as u32;
        for budget in &mut fleet {
            budget.set_limit(LIMIT, INSTANCES - gone, at);
            while budget.take(at, Purpose::Retry) {
                sent += 1;
            }
        }
    }
    assert!(f64::from(sent) <= LIMIT.allowance, "{sent}");
    // A remaining instance gets the whole allowance after a window, and a smaller part as soon as one joins.
    let later = now + LIMIT.span * 3;
    let remaining = &mut fleet[0];
    remaining.set_limit(LIMIT, 1, later);
    assert!((0..40).all(|_| remaining.take(later, Purpose::Retry)));
    remaining.set_limit(LIMIT, 2, later);
    assert!(!remaining.take(later, Purpose::Retry));
}

/// Returns the budget of one of `instances` that started a full window ago.
fn settled_budget(instances: usize, now: Instant) -> Budget {
    Budget::new(LIMIT, instances, now.checked_sub(LIMIT.span).unwrap_or(now))
}

#[test]
fn allowance_covers_service_with_few_requests() {
    let now = Instant::now();
    let mut budget = settled_budget(INSTANCES, now);
    budget.count_initial(now);
    assert!(budget.take(now, Purpose::Retry));
}

#[test]
fn hedges_leave_budget_for_retries() {
    let now = Instant::now();
    let mut budget = settled_budget(INSTANCES, now);
    (0..100).for_each(|_| budget.count_initial(now));
    while budget.take(now, Purpose::Hedge) {}
    let retries = (0..100).filter(|_| budget.take(now, Purpose::Retry));
    assert!(retries.count() >= 4);
}

#[test]
fn counts_expire_after_window() {
    let start = Instant::now();
    let mut budget = settled_budget(INSTANCES, start);
    while budget.take(start, Purpose::Retry) {}
    let later = start + LIMIT.span + LIMIT.span / 5;
    assert_eq!(budget.counts(later), (0, 0));
    assert!(budget.take(later, Purpose::Retry));
}

#[test]
fn refund_restores_budget() {
    let now = Instant::now();
    let mut budget = settled_budget(INSTANCES, now);
    while budget.take(now, Purpose::Retry) {}
    budget.refund(now);
    assert!(budget.take(now, Purpose::Retry));
}

#[test]
fn zero_limit_allows_no_hedges_or_retries() {
    let no_budget = Bound {
        ratio: 0.0,
        allowance: 0.0,
        ..LIMIT
    };
    let now = Instant::now();
    let mut budget = Budget::new(no_budget, 1, now);
    (0..50).for_each(|_| budget.count_initial(now));
    assert!(!budget.take(now, Purpose::Retry));
}

/// The settings are reloaded with a shorter window, then with a longer one.
#[test]
fn counts_survive_a_change_of_the_window() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let bound = |seconds: u64| Bound {
        ratio: 0.0,
        allowance: 20.0,
        span: Duration::from_secs(seconds),
    };
    let mut budget = Budget::new(bound(10), 1, start);
    let sent = (0..40).filter(|_| budget.take(at(20), Purpose::Retry));
    assert_eq!(sent.count(), 17);
    for (second, span) in [(21, 2), (22, 10), (23, 30)] {
        budget.set_limit(bound(span), 1, at(second));
        assert!(!budget.take(at(second), Purpose::Retry), "{span} s");
        assert_eq!(budget.counts(at(second)), (0, 17), "{span} s");
    }
}

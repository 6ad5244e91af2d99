//! The bound on further sub-requests that all instances keep together.

use std::time::{
    Duration,
    Instant, //
};

use policy::extra::{
    Bound,
    Budget,
    Purpose, //
};

const BOUND: Bound = Bound {
    ratio: 0.2,
    allowance: 54.0,
    span: Duration::from_secs(10),
};
const INSTANCES: usize = 7;

/// One service that stalls: every first sub-request is followed by tries for a hedge and two retries.
///
/// Returns the greatest number of further ones over the bound in any span, 0 if there is none.
///
/// All instances are started again every `lives` seconds and forget what they have sent.
fn replay(per_second: u32, seconds: u32, lives: u32) -> f64 {
    let start = Instant::now();
    let long_ago = start.checked_sub(2 * BOUND.span).unwrap_or(start);
    let mut fleet = vec![Budget::new(BOUND, INSTANCES, long_ago); INSTANCES];
    let mut sent: Vec<(Duration, bool)> = Vec::new();
    for number in 0..per_second * seconds {
        let at = Duration::from_secs(1) * number / per_second;
        if number > 0 && number.is_multiple_of(per_second * lives) {
            fleet = vec![Budget::new(BOUND, INSTANCES, start + at); INSTANCES];
        }
        let budget = &mut fleet[number as usize % INSTANCES];
        budget.first(start + at);
        sent.push((at, false));
        for purpose in [Purpose::Hedge, Purpose::Retry, Purpose::Retry] {
            if budget.take(start + at, purpose) {
                sent.push((at, true));
            }
        }
    }
    let over = |from: Duration| {
        let inside = |(at, _): &&(Duration, bool)| (from..from + BOUND.span).contains(at);
        let inside: Vec<_> = sent.iter().filter(inside).collect();
        let extras = inside.iter().filter(|(_, extra)| *extra).count() as f64;
        let firsts = inside.len() as f64 - extras;
        extras - (firsts * BOUND.ratio + BOUND.allowance)
    };
    let starts = (0..seconds * 4).map(|quarter| Duration::from_millis(250) * quarter);
    starts.map(over).fold(0.0, f64::max)
}

#[test]
fn a_fleet_that_wants_everything_again_keeps_the_bound_in_every_span() {
    for per_second in [5, 20, 90, 400] {
        assert_eq!(replay(per_second, 40, 40), 0.0, "at {per_second} a second");
    }
}

/// Load pattern: instances are killed again and again while a service stalls.
#[test]
fn a_fleet_that_is_started_again_keeps_the_bound_in_every_span() {
    for lives in [2, 7, 11] {
        for per_second in [5, 20, 90, 400] {
            let over = replay(per_second, 40, lives);
            assert_eq!(over, 0.0, "at {per_second} a second, every {lives} s");
        }
    }
}

#[test]
fn an_instance_that_does_not_know_how_many_there_are_takes_no_allowance() {
    let now = Instant::now();
    let mut budget = old(0, now);
    assert!(!budget.take(now, Purpose::Retry));
    budget.share(BOUND, INSTANCES, now);
    assert!(!budget.take(now + BOUND.span / 2, Purpose::Retry));
    assert!(budget.take(now + BOUND.span, Purpose::Retry));
}

/// Load pattern: all instances are told to stop at the same moment and each sees the others leave.
#[test]
fn those_that_see_the_others_leave_keep_the_bound_together() {
    let now = Instant::now();
    let mut fleet = vec![old(INSTANCES, now); INSTANCES];
    let mut sent = 0;
    for left in 0..INSTANCES {
        let at = now + Duration::from_millis(200) * left as u32;
        for budget in &mut fleet {
            budget.share(BOUND, INSTANCES - left, at);
            while budget.take(at, Purpose::Retry) {
                sent += 1;
            }
        }
    }
    assert!(f64::from(sent) <= BOUND.allowance, "{sent}");
    // One that stays has it all in the end, and gives way at once to one that comes.
    let later = now + BOUND.span * 3;
    let last = &mut fleet[0];
    last.share(BOUND, 1, later);
    assert!((0..40).all(|_| last.take(later, Purpose::Retry)));
    last.share(BOUND, 2, later);
    assert!(!last.take(later, Purpose::Retry));
}

/// The budget of one of so many instances that has run for long.
fn old(instances: usize, now: Instant) -> Budget {
    Budget::new(BOUND, instances, now.checked_sub(BOUND.span).unwrap_or(now))
}

#[test]
fn the_allowance_serves_a_service_that_is_asked_seldom() {
    let now = Instant::now();
    let mut budget = old(INSTANCES, now);
    budget.first(now);
    assert!(budget.take(now, Purpose::Retry));
}

#[test]
fn hedges_leave_room_for_failures() {
    let now = Instant::now();
    let mut budget = old(INSTANCES, now);
    (0..100).for_each(|_| budget.first(now));
    while budget.take(now, Purpose::Hedge) {}
    let retries = (0..100).filter(|_| budget.take(now, Purpose::Retry));
    assert!(retries.count() >= 4);
}

#[test]
fn what_was_sent_a_span_ago_no_longer_counts() {
    let start = Instant::now();
    let mut budget = old(INSTANCES, start);
    while budget.take(start, Purpose::Retry) {}
    let later = start + BOUND.span + BOUND.span / 5;
    assert_eq!(budget.counts(later), (0, 0));
    assert!(budget.take(later, Purpose::Retry));
}

#[test]
fn one_that_was_not_sent_is_given_back() {
    let now = Instant::now();
    let mut budget = old(INSTANCES, now);
    while budget.take(now, Purpose::Retry) {}
    budget.refund(now);
    assert!(budget.take(now, Purpose::Retry));
}

#[test]
fn a_service_without_a_bound_gets_nothing_further() {
    let none = Bound {
        ratio: 0.0,
        allowance: 0.0,
        ..BOUND
    };
    let now = Instant::now();
    let mut budget = Budget::new(none, 1, now);
    (0..50).for_each(|_| budget.first(now));
    assert!(!budget.take(now, Purpose::Retry));
}

//! Rate limits of servers, shared by all instances under uneven load.

use std::time::{
    Duration,
    Instant, //
};

use policy::rate_limit::{
    Change,
    Limit, //
};

const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most requests that any [`WINDOW`] holds.
fn busiest_window(sent_at: &[Duration]) -> usize {
    let in_window = |(index, from): (usize, &Duration)| {
        let later = sent_at[index..].iter();
        later.take_while(|at| **at <= *from + WINDOW).count()
    };
    sent_at.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// Replays the demand of each instance, in requests a second, against a server that names `per_s`; returns when
/// requests were sent. All demand arrives in bursts of `burst` requests.
fn replay(demand: &[f64], per_s: f64, burst: usize, seconds: u64) -> Vec<Duration> {
    let start = Instant::now();
    let share = 1.0 / demand.len() as f64;
    let mut sent_at = Vec::new();
    for (index, rate) in demand.iter().enumerate() {
        let mut limit = Limit::default();
        limit.set_share(share, start);
        let first_tokens = index as f64 * share;
        let change = limit.name(start, per_s, first_tokens);
        assert_eq!(change, Change::Named(per_s));
        let interval = Duration::from_secs_f64(burst as f64 / rate);
        let offset = interval.mul_f64(index as f64 * share);
        let mut at = offset;
        while at < Duration::from_secs(seconds) {
            for _ in 0..burst {
                if limit.wait(start + at).is_zero() {
                    limit.record_sent(start + at);
                    sent_at.push(at);
                }
            }
            at += interval;
        }
    }
    sent_at.sort_unstable();
    sent_at
}

/// The requests that each instance sent in 19 s to a server that named 31.7 a second, before limits were obeyed.
const UNEVEN_SENT: [f64; 7] = [270.0, 247.0, 163.0, 85.0, 65.0, 31.0, 30.0];

#[test]
fn uneven_demand_of_all_instances_stays_within_the_limit() {
    let demand = UNEVEN_SENT.map(|sent| sent / 19.0);
    for burst in [1, 5] {
        let sent_at = replay(&demand, 31.7, burst, 60);
        let busiest = busiest_window(&sent_at);
        assert!(busiest as f64 <= 1.5 * 31.7 * 4.0 + 5.0, "{busiest}");
        let mean = sent_at.len() as f64 / 60.0;
        assert!(mean <= 31.7, "{mean} a second");
        // Three of the instances have less demand than their part, so some of the limit stays unused.
        assert!(mean >= 0.7 * 31.7, "{mean} a second");
    }
}

#[test]
fn small_limit_holds_for_many_instances() {
    let sent_at = replay(&[5.0; 24], 2.0, 1, 120);
    let after_start: Vec<Duration> = sent_at
        .into_iter()
        .filter(|at| *at >= Duration::from_secs(20))
        .collect();
    let mean = after_start.len() as f64 / 100.0;
    assert!((1.5..=2.1).contains(&mean), "{mean} a second");
}

/// All instances hear of the limit at the same moment, and none has sent anything for long.
#[test]
fn instances_do_not_earn_their_tokens_at_the_same_moment() {
    let sent_at = replay(&[5.0; 9], 0.5, 1, 200);
    let busiest = busiest_window(&sent_at);
    assert!(busiest as f64 <= 1.5 * 0.5 * 4.0 + 5.0, "{busiest}");
}

#[test]
fn server_that_takes_nothing_is_probed() {
    let sent_at = replay(&[20.0; 4], 0.0, 1, 100);
    assert!((40..=50).contains(&sent_at.len()), "{}", sent_at.len());
}

#[test]
fn limit_ends_only_with_a_request_that_was_sent_after_it_was_named() {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let mut limit = Limit::default();
    limit.set_share(0.5, start);
    limit.name(start + ms(100), 8.0, 0.0);
    assert_eq!(
        limit.reply_without(start + ms(90), start + ms(150)),
        Change::None
    );
    assert_eq!((limit.per_s(), limit.own_rate()), (Some(8.0), Some(4.0)));
    limit.record_sent(start + ms(400));
    let lifted = Change::Lifted {
        after: ms(320),
        sent: 1,
    };
    assert_eq!(
        limit.reply_without(start + ms(400), start + ms(420)),
        lifted
    );
    assert!(limit.wait(start + ms(420)).is_zero());
}

#[test]
fn unusable_limit_is_ignored_and_reported_once() {
    let now = Instant::now();
    let mut limit = Limit::default();
    let changes = [f64::NAN, f64::INFINITY, -1.0].map(|per_s| limit.name(now, per_s, 0.0));
    assert_eq!(changes, [Change::Unusable, Change::None, Change::None]);
    assert_eq!(limit.per_s(), None);
}

/// A server measures its limit anew for each reply.
#[test]
fn small_changes_of_a_limit_apply_and_are_not_reported() {
    let now = Instant::now();
    let mut limit = Limit::default();
    let changes = [20.0, 20.5, 21.0, 24.0, 23.5].map(|per_s| limit.name(now, per_s, 0.0));
    let expected = [
        Change::Named(20.0),
        Change::None,
        Change::None,
        Change::Named(24.0),
        Change::None,
    ];
    assert_eq!(changes, expected);
    assert_eq!(limit.per_s(), Some(23.5));
}

#[test]
fn instance_that_knows_no_others_sends_nothing_to_a_limited_server() {
    let now = Instant::now();
    let mut limit = Limit::default();
    limit.name(now, 1_000.0, 0.0);
    assert!(!limit.wait(now + Duration::from_secs(10)).is_zero());
    limit.set_share(1.0, now + Duration::from_secs(10));
    assert!(limit.wait(now + Duration::from_secs(11)).is_zero());
}

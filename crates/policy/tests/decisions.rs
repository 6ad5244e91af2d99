//! Tests of budgets, quantiles, replica choice, slow start, admission and the queue.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use config::{
    preset::Class,
    Preset, //
};
use policy::{
    admission::{
        self,
        Gate, //
    },
    choice::{
        self,
        Candidate, //
    },
    concurrency::{
        self,
        Limit, //
    },
    hedge::{
        self,
        Lateness, //
    },
    latency::{
        self,
        Mean,
        Shape,
        Window, //
    },
    queue::{
        Priority,
        Push,
        Queue,
        Rank, //
    },
    retry,
};

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn hedge_budget_allows_share_of_sub_requests() {
    let mut budget = hedge::Budget::new(0.05);
    let sent = (0..10_000)
        .filter(|_| {
            budget.earn();
            budget.take(Lateness::Straggling)
        })
        .count();
    assert_eq!(sent, 504);
    budget.set_share(0.0);
    assert!(!budget.take(Lateness::Straggling));
}

#[test]
fn hedge_budget_is_capped_after_quiet_time() {
    let mut budget = hedge::Budget::new(0.5);
    (0..1_000).for_each(|_| budget.earn());
    let mut sent = |lateness| (0..1_000).filter(|_| budget.take(lateness)).count();
    assert_eq!(sent(Lateness::Slow), 4);
    assert_eq!(sent(Lateness::Straggling), 4);
}

#[test]
fn retry_budget_allows_share_of_sub_requests_and_burst() {
    let mut budget = retry::Budget::new(0.1);
    let sent = (0..1_000)
        .filter(|_| {
            budget.earn();
            budget.take()
        })
        .count();
    assert!((100..=104).contains(&sent), "{sent}");
    assert!(!retry::Budget::new(0.0).take());
}

#[test]
fn hedge_quantile_matches_budget_and_delay_has_minimum() {
    assert_eq!(hedge::quantile(0.95, 0.02), 0.98);
    assert_eq!(hedge::quantile(0.99, 0.05), 0.99);
    assert_eq!(hedge::delay(Some(ms(3)), ms(5)), Some(ms(5)));
    assert_eq!(hedge::delay(None, ms(5)), None);
}

#[test]
fn window_drops_samples_after_two_intervals() {
    let start = Instant::now();
    let mut window = Window::new(ms(1_000));
    (0..100).for_each(|_| window.record(start, ms(10)));
    assert_eq!(window.quantile(0.5).map(whole_ms), Some(10));
    (0..300).for_each(|_| window.record(start + ms(1_100), ms(100)));
    assert_eq!(window.samples(), 400);
    assert_eq!(window.quantile(0.1).map(whole_ms), Some(10));
    assert_eq!(window.quantile(0.5).map(whole_ms), Some(100));
    window.record(start + ms(2_200), ms(100));
    assert_eq!(window.samples(), 301);
    window.record(start + ms(9_000), ms(7));
    assert_eq!((window.samples(), window.quantile(0.5)), (1, None));
}

/// Rounds to whole milliseconds, as recorded latencies are accurate to one per cent.
fn whole_ms(latency: Duration) -> u64 {
    (latency.as_secs_f64() * 1e3).round() as u64
}

#[test]
fn high_quantile_needs_many_samples() {
    let now = Instant::now();
    let mut window = Window::new(ms(1_000));
    (0..60).for_each(|_| window.record(now, ms(10)));
    assert!(window.quantile(0.98).is_some());
    assert!(window.quantile(0.99).is_none());
}

#[test]
fn shape_estimates_quantile_until_own_samples_suffice() {
    let now = Instant::now();
    let mut shape = Shape::new(ms(1_000));
    (0..95).for_each(|_| shape.record(now, ms(4), ms(4)));
    (0..5).for_each(|_| shape.record(now, ms(12), ms(4)));
    let multiple = shape.quantile(0.98);
    let from_shape = latency::estimate(None, 10, Some(ms(20)), multiple);
    assert_eq!(from_shape.map(whole_ms), Some(60));
    let own = latency::estimate(Some(ms(30)), 5_000, Some(ms(20)), multiple);
    assert_eq!(own, Some(ms(30)));
    assert_eq!(latency::estimate(None, 0, None, multiple), None);
}

#[test]
fn mean_decays_to_baseline_without_samples() {
    let now = Instant::now();
    let mut mean = Mean::default();
    assert_eq!(mean.get(now, 4_000.0), 4_000.0);
    mean.record(now, ms(100));
    assert_eq!(mean.get(now, 4_000.0), 100_000.0);
    assert_eq!(mean.get(now + ms(5_000), 4_000.0), 52_000.0);
    assert!(mean.get(now + ms(60_000), 4_000.0) < 4_100.0);
}

const IDLE: Candidate = Candidate {
    in_flight: 0,
    usable: 2,
    latency_us: 4_000.0,
    slow_start_share: 1.0,
    failures: 0,
    zone_cost: 0.0,
    last_assigned: 0,
};

fn best(candidates: &[Candidate]) -> Option<usize> {
    choice::best(candidates.iter().copied().enumerate())
}

#[test]
fn cheapest_free_replica_is_chosen() {
    let busy = Candidate {
        in_flight: 1,
        ..IDLE
    };
    let full = Candidate {
        in_flight: 2,
        ..IDLE
    };
    let slow = Candidate {
        latency_us: 40_000.0,
        ..IDLE
    };
    let warming_up = Candidate {
        slow_start_share: 0.1,
        ..IDLE
    };
    let failing = Candidate {
        failures: 1,
        ..IDLE
    };
    let other_zone = Candidate {
        zone_cost: choice::zone_cost(false),
        ..IDLE
    };
    let recently_used = Candidate {
        last_assigned: 9,
        ..IDLE
    };
    for worse in [busy, slow, warming_up, failing, other_zone, recently_used] {
        assert_eq!(best(&[worse, IDLE]), Some(1), "{worse:?}");
        assert_eq!(best(&[IDLE, worse]), Some(0), "{worse:?}");
    }
    assert_eq!(best(&[full, slow]), Some(1));
    assert_eq!(best(&[full, full]), None);
    // A free replica in another zone is cheaper than a busy one in the same zone.
    assert_eq!(best(&[busy, other_zone]), Some(1));
}

#[test]
fn slow_start_raises_usable_slots() {
    let now = Instant::now();
    let mut limit = Limit::new(4);
    limit.begin_slow_start(now, ms(1_000));
    let usable = [0, 300, 600, 1_000].map(|age_ms| limit.usable(now + ms(age_ms)));
    assert_eq!(usable, [1, 2, 3, 4]);
}

#[test]
fn shed_halves_slots_and_replies_restore_them() {
    let now = Instant::now();
    let mut limit = Limit::new(4);
    limit.record_shed(now);
    limit.record_shed(now);
    assert_eq!(limit.usable(now), 2);
    limit.record_shed(now + ms(200));
    limit.record_shed(now + ms(400));
    assert_eq!(limit.usable(now + ms(400)), 1);
    let replies = (0..).take_while(|_| {
        limit.record_reply();
        limit.usable(now + ms(400)) < 4
    });
    assert_eq!(replies.count(), 59);
}

#[test]
fn classes_are_admitted_up_to_their_shares() {
    let preset = Preset {
        in_flight: 10,
        normal_share: 0.8,
        bulk_share: 0.5,
        ..Preset::default()
    };
    let gate = Gate::new(Arc::new(preset));
    let admitted = |class| {
        let permits: Vec<_> = std::iter::from_fn(|| gate.admit(class).ok()).collect();
        permits.len()
    };
    let counts = [Class::Bulk, Class::Normal, Class::Urgent].map(admitted);
    assert_eq!(counts, [5, 8, 10]);
    assert_eq!(gate.in_flight(), 0);
}

#[test]
fn estimate_grows_with_the_queue() {
    assert_eq!(admission::estimate_wait(0, 4, ms(8)), ms(8));
    assert_eq!(admission::estimate_wait(8, 4, ms(8)), ms(24));
    assert_eq!(admission::estimate_wait(1, 0, ms(8)), ms(16));
}

/// Returns ranks in order, from the one that is kept longest to the one that is shed first.
fn sorted_ranks() -> Vec<Rank> {
    let mut ranks: Vec<_> = (0..8).map(Rank::new).collect();
    ranks.sort();
    ranks
}

#[test]
fn late_items_are_served_after_all_others_and_shed_first() {
    let now = Instant::now();
    let rank = Rank::new(0);
    let mut queue = Queue::new(3);
    let late = Priority {
        is_late: true,
        class: Class::Urgent,
    };
    queue.push(late, now, rank, "late");
    queue.push(Class::Bulk, now + ms(9), rank, "bulk");
    assert_eq!(queue.ahead(Class::Bulk, now + ms(9)), 1);
    assert_eq!(queue.ahead(late, now), 2);
    queue.push(Class::Normal, now + ms(9), rank, "normal");
    let displaced = queue.push(Class::Bulk, now + ms(5), rank, "sooner");
    assert!(
        matches!(displaced, Push::Displaced(_, "late")),
        "{displaced:?}"
    );
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, ["normal", "sooner", "bulk"]);
}

/// The server's queue is long for a while, then short again.
#[test]
fn window_halves_with_late_replies_and_grows_with_replies_in_time_while_it_is_full() {
    let now = Instant::now();
    let mut window = concurrency::Window::default();
    let mut usable = vec![window.usable(6)];
    for at_ms in [0, 50, 100, 200, 300] {
        window.record_late(now + ms(at_ms), 6);
        usable.push(window.usable(6));
    }
    for _ in 0..6 {
        (0..21).for_each(|_| window.record_in_time(6));
        usable.push(window.usable(6));
    }
    assert_eq!(usable, [6, 3, 3, 1, 1, 1, 2, 3, 4, 5, 6, 6]);
    assert_eq!(window.usable(2), 2);
}

#[test]
fn queue_is_ordered_by_class_then_deadline() {
    let now = Instant::now();
    let rank = Rank::new(1);
    let mut queue = Queue::new(3);
    assert!(matches!(
        queue.push(Class::Bulk, now + ms(1), rank, "bulk"),
        Push::Queued(_)
    ));
    queue.push(Class::Normal, now + ms(9), rank, "late");
    queue.push(Class::Normal, now + ms(5), rank, "soon");
    assert_eq!(queue.ahead(Class::Normal, now + ms(7)), 1);
    let displaced = queue.push(Class::Urgent, now + ms(99), rank, "urgent");
    assert!(matches!(displaced, Push::Displaced(_, "bulk")));
    let full = queue.push(Class::Bulk, now, rank, "other");
    assert!(matches!(full, Push::Full("other")));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, ["urgent", "soon", "late"]);
}

#[test]
fn highest_rank_is_shed_first() {
    let now = Instant::now();
    let ranks = sorted_ranks();
    let mut queue = Queue::new(2);
    queue.push(Class::Normal, now, ranks[5], 5);
    queue.push(Class::Normal, now, ranks[3], 3);
    let full = queue.push(Class::Normal, now, ranks[6], 6);
    assert!(matches!(full, Push::Full(6)));
    let displaced = queue.push(Class::Normal, now, ranks[4], 4);
    assert!(matches!(displaced, Push::Displaced(_, 5)));
    assert_eq!(queue.shed(Class::Normal, ranks[4]), None);
    assert_eq!(queue.shed(Class::Urgent, ranks[7]), Some(4));
}

#[test]
fn services_under_the_same_load_keep_the_same_requests() {
    let now = Instant::now();
    let kept_requests = |order: &mut dyn Iterator<Item = u128>| {
        let mut queue = Queue::new(50);
        for request in order {
            queue.push(Class::Normal, now, Rank::new(request), request);
        }
        let mut kept: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
        kept.sort_unstable();
        kept
    };
    assert_eq!(
        kept_requests(&mut (0..100)),
        kept_requests(&mut (0..100).rev())
    );
}

#[test]
fn ranks_are_spread_evenly() {
    let low = (0..10_000)
        .filter(|id| Rank::new(*id).fraction_below() < 0.25)
        .count();
    assert!((2_300..2_700).contains(&low), "{low}");
}

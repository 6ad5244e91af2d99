//! Draining servers, snapshots, hedges, retries and cancellation.

mod common;

use std::time::Duration;

use common::*;
use config::Preset;
use futures_util::future::join_all;
use monoio::time::sleep;
use wire::{
    CancelRequest,
    Reason, //
};

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn draining_server_gets_no_new_work_and_queued_work_moves() {
    run(async {
        let a = FakeServer::start(|_| Reply::After(ms(50)));
        let b = FakeServer::start(|_| Reply::After(ms(50)));
        let pool = pool(&[&a, &b], Preset::default()).await;
        let parts: Vec<_> = (0..20)
            .map(|number| {
                let pool = pool.clone();
                monoio::spawn(async move { pool.run_part(part(number, 0, LONG_TIMEOUT)).await })
            })
            .collect();
        wait_until(|| a.count() + b.count() == SLOTS).await;
        pool.update(view(&[&a, &b], Preset::default(), &["a"]), &|_| true);
        let before = a.count();
        let partials = join_all(parts).await;
        assert!(partials.iter().all(|partial| partial.failure.is_none()));
        assert_eq!(a.count(), before);
        wait_until(|| a.open.get() == 0).await;
        pool.update(view(&[&a, &b], Preset::default(), &[]), &|_| true);
        wait_until(|| a.open.get() == 3).await;
        join_all((0..20).map(|number| pool.run_part(part(number, 0, LONG_TIMEOUT)))).await;
        assert!(a.count() > before);
    });
}

#[test]
fn service_with_only_draining_servers_is_refused() {
    run(async {
        let a = FakeServer::start(|_| IMMEDIATE);
        let pool = pool::Pool::new("a".into());
        pool.update(view(&[&a], Preset::default(), &["a"]), &|_| true);
        let partial = pool.run_part(part(1, 0, LONG_TIMEOUT)).await;
        assert_eq!(reason(&partial.failure), Some((Reason::Unreachable, true)));
    });
}

const SNAPSHOT_GONE: Reply = Reply::Status(409, r#"{"error":"snapshot","held":[8,9]}"#);

#[test]
fn snapshot_is_read_from_the_replica_that_holds_it() {
    run(async {
        let a = FakeServer::start(|_| SNAPSHOT_GONE);
        let b = FakeServer::start(|_| IMMEDIATE);
        let preset = Preset {
            retry_budget: 0.0,
            ..Preset::default()
        };
        let pool = pool(&[&a, &b], preset).await;
        for number in 0..20 {
            let partial = pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
            assert_eq!(partial.failure, None);
            assert_eq!(&*partial.server, "b");
        }
    });
}

#[test]
fn missing_snapshot_is_reported_with_the_held_ones() {
    run(async {
        let a = FakeServer::start(|_| SNAPSHOT_GONE);
        let b = FakeServer::start(|_| SNAPSHOT_GONE);
        let pool = pool(&[&a, &b], Preset::default()).await;
        let partial = pool.run_part(part(1, 0, LONG_TIMEOUT)).await;
        let failure = partial.failure.expect("a failure");
        assert_eq!(failure.reason(), Reason::SnapshotGone);
        assert!(failure.not_run);
        assert_eq!(failure.held, [8, 9]);
    });
}

#[test]
fn missing_snapshot_is_reported_while_the_other_replica_is_ejected() {
    run(async {
        let a = FakeServer::start(|_| IMMEDIATE);
        let b = FakeServer::start(|_| IMMEDIATE);
        let pool = pool_with_latencies(&[&a, &b]).await;
        a.set_behavior(|_| Reply::Close);
        for number in 100..140 {
            pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
        }
        b.set_behavior(|_| SNAPSHOT_GONE);
        let mut gone = 0;
        for number in 200..240 {
            let partial = pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
            let failure = partial.failure.expect("a failure");
            gone += usize::from(failure.reason() == Reason::SnapshotGone);
        }
        // The others were sent to the ejected replica as probes, and failed there.
        assert!(gone > 20, "{gone} of 40");
    });
}

/// Number of slots of two servers together.
const SLOTS: usize = 4;

#[test]
fn straggler_is_hedged_and_cancelled() {
    run(async {
        let a = FakeServer::start(|_| IMMEDIATE);
        let b = FakeServer::start(|_| IMMEDIATE);
        let pool = pool_with_latencies(&[&a, &b]).await;
        a.set_behavior(|request| match request.id.ends_with("-5") {
            true if request.attempt == 1 => Reply::Hang,
            _ => IMMEDIATE,
        });
        b.set_behavior(|request| match request.id.ends_with("-5") {
            true if request.attempt == 1 => Reply::Hang,
            _ => IMMEDIATE,
        });
        let partial = pool.run_part(part(1, 5, LONG_TIMEOUT)).await;
        assert_eq!(partial.failure, None);
        assert_eq!((partial.first, partial.hedges, partial.retries), (1, 1, 0));
        wait_until(|| a.busy.get() + b.busy.get() == 0).await;
        let cancelled = [a.cancelled.borrow().clone(), b.cancelled.borrow().clone()].concat();
        assert_eq!(cancelled, [format!("{}-5/1", uuid::Uuid::from_u128(1))]);
        assert_eq!(a.accepted.get() + b.accepted.get(), 6);
        let counters = pool.counters();
        assert_eq!((counters.hedges, counters.hedges_won), (1, 1));
    });
}

#[test]
fn hedges_stay_within_the_budget() {
    run(async {
        let slow = |request: &Request| match request.attempt {
            1 if request.number.is_multiple_of(4) => Reply::After(ms(10)),
            _ => Reply::After(ms(1)),
        };
        let a = FakeServer::start(slow);
        let b = FakeServer::start(slow);
        let preset = Preset {
            hedge_budget: 0.02,
            hedge_quantile: 0.5,
            hedge_min_ms: 1,
            ..Preset::default()
        };
        let pool = pool(&[&a, &b], preset).await;
        // If the process is held up while the first requests run, no hedge is due until their latencies have left the
        // window of at most 20 s; a round takes some 2 s.
        let mut hedges = 0;
        let mut parts = 0;
        while hedges == 0 && parts < 12 * 600 {
            for number in parts..parts + 600 {
                pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
            }
            parts += 600;
            hedges = pool.counters().hedges;
            assert!(
                u128::from(hedges) <= parts / 50 + 4,
                "{:?}",
                pool.counters()
            );
        }
        assert!(hedges > 0, "{:?}", pool.counters());
    });
}

#[test]
fn nothing_is_hedged_while_work_is_queued() {
    run(async {
        let a = FakeServer::start(|_| IMMEDIATE);
        let b = FakeServer::start(|_| IMMEDIATE);
        let pool = pool_with_latencies(&[&a, &b]).await;
        a.set_behavior(|_| Reply::After(ms(30)));
        b.set_behavior(|_| Reply::After(ms(30)));
        let parts: Vec<_> = (0..24)
            .map(|number| {
                let pool = pool.clone();
                monoio::spawn(async move { pool.run_part(part(number, 0, LONG_TIMEOUT)).await })
            })
            .collect();
        wait_until(|| pool.in_flight() > SLOTS).await;
        while pool.in_flight() > SLOTS {
            assert_eq!(pool.counters().hedges, 0);
            sleep(ms(1)).await;
        }
        let partials = join_all(parts).await;
        assert!(partials.iter().all(|partial| partial.failure.is_none()));
    });
}

#[test]
fn retries_stay_within_the_budget_in_an_outage() {
    run(async {
        let a = FakeServer::start(|_| Reply::Status(499, r#"{"error":"cancelled"}"#));
        let b = FakeServer::start(|_| Reply::Status(499, r#"{"error":"cancelled"}"#));
        let pool = pool(&[&a, &b], Preset::default()).await;
        for number in 0..500 {
            let partial = pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
            assert!(partial.failure.is_some());
        }
        let counters = pool.counters();
        assert_eq!(counters.first, 500);
        assert!(counters.retries > 0);
        assert!(counters.retries <= 54, "{counters:?}");
    });
}

#[test]
fn service_that_sheds_everything_gets_few_requests() {
    run(async {
        let a = FakeServer::start(|_| Reply::Status(503, r#"{"error":"shed"}"#));
        let b = FakeServer::start(|_| Reply::Status(503, r#"{"error":"shed"}"#));
        let pool = pool(&[&a, &b], Preset::default()).await;
        let parts = (0..200).map(|number| pool.run_part(part(number, 0, ms(300))));
        for partial in join_all(parts).await {
            let (_, not_run) = reason(&partial.failure).expect("a failure");
            assert!(not_run);
        }
        assert!(a.count() + b.count() < 60, "{} {}", a.count(), b.count());
    });
}

#[test]
fn failed_part_is_tried_on_another_replica() {
    run(async {
        let a = FakeServer::start(|request| match request.attempt {
            1 => Reply::Close,
            _ => IMMEDIATE,
        });
        let b = FakeServer::start(|request| match request.attempt {
            1 => Reply::Close,
            _ => IMMEDIATE,
        });
        let pool = pool(&[&a, &b], Preset::default()).await;
        let partial = pool.run_part(part(1, 0, LONG_TIMEOUT)).await;
        assert_eq!(partial.failure, None);
        assert_eq!((partial.first, partial.hedges, partial.retries), (1, 0, 1));
        assert_eq!((a.count(), b.count()), (1, 1));
    });
}

#[test]
fn cancelled_part_is_cancelled_on_the_server() {
    run(async {
        let fake = FakeServer::start(|_| Reply::Hang);
        let pool = pool(&[&fake], Preset::default()).await;
        let parts: Vec<_> = (0..3)
            .map(|index| {
                let pool = pool.clone();
                monoio::spawn(async move { pool.run_part(part(1, index, LONG_TIMEOUT)).await })
            })
            .collect();
        wait_until(|| fake.count() == 2).await;
        pool.cancel(&CancelRequest {
            request: part(1, 0, LONG_TIMEOUT).head.request,
            attempt: 1,
            parts: Vec::new(),
        });
        let outcomes: Vec<_> = join_all(parts)
            .await
            .iter()
            .map(|partial| reason(&partial.failure))
            .collect();
        let ran = Some((Reason::Cancelled, false));
        let queued = Some((Reason::Cancelled, true));
        assert_eq!(outcomes, [ran, ran, queued]);
        wait_until(|| fake.busy.get() == 0).await;
        assert_eq!(fake.count(), 2);
        assert_eq!(fake.accepted.get(), 3);
    });
}

#[test]
fn expired_part_is_refused_at_once() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let pool = pool(&[&fake], Preset::default()).await;
        let partial = pool.run_part(part(1, 0, Duration::ZERO)).await;
        assert_eq!(reason(&partial.failure), Some((Reason::Deadline, true)));
        assert_eq!(fake.count(), 0);
    });
}

#[test]
fn failing_server_is_ejected() {
    run(async {
        let a = FakeServer::start(|_| Reply::Close);
        let b = FakeServer::start(|_| Reply::After(ms(1)));
        let preset = Preset {
            retry_budget: 0.5,
            ..Preset::default()
        };
        let pool = pool(&[&a, &b], preset).await;
        for number in 0..300 {
            pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
        }
        assert!(a.count() < 15, "{}", a.count());
    });
}

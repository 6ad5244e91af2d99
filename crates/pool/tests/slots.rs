//! Slots and connections are never exceeded.

mod common;

use std::{
    rc::Rc,
    time::Duration, //
};

use common::*;
use config::Preset;
use futures_util::future::join_all;
use monoio::time::sleep;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

async fn burst(pool: &pool::Pool, numbers: std::ops::Range<u128>, left: Duration) -> usize {
    let parts = numbers.map(|number| pool.part(job(number, 0, left)));
    let partials = join_all(parts).await;
    partials
        .iter()
        .filter(|partial| partial.failure.is_none())
        .count()
}

#[test]
fn slots_are_never_exceeded() {
    run(async {
        let a = Fake::start(|_| Act::After(ms(3)));
        let b = Fake::start(|_| Act::After(ms(3)));
        let pool = pool(&[&a, &b], Preset::default()).await;
        assert_eq!(burst(&pool, 0..100, LONG).await, 100);
        assert_eq!((a.busy_peak.get(), b.busy_peak.get()), (2, 2));
        assert_eq!(a.count() + b.count(), 100);
    });
}

#[test]
fn abandoned_exchange_holds_its_slot() {
    run(async {
        let fake = Fake::start(|seen| match seen.number {
            1 | 2 => Act::After(ms(80)),
            _ => NOW,
        });
        fake.deaf.set(true);
        let pool = pool(&[&fake], Preset::default()).await;
        let short = burst(&pool, 0..2, ms(20)).await;
        assert_eq!(short, 0);
        assert_eq!(burst(&pool, 2..12, LONG).await, 10);
        assert_eq!(fake.busy_peak.get(), 2);
        assert_eq!(pool.counters().late, 2);
    });
}

#[test]
fn connections_stay_within_the_share() {
    run(async {
        let fake = Fake::start(|seen| match seen.number % 3 {
            0 => Act::Close,
            _ => Act::After(ms(1)),
        });
        let preset = Preset {
            connection_share: 0.08,
            ..Preset::default()
        };
        let pool = pool(&[&fake], preset).await;
        for round in 0..10 {
            burst(&pool, round * 10..round * 10 + 10, ms(200)).await;
        }
        assert!(fake.accepted.get() > 2);
        assert_eq!(fake.open_peak.get(), 2);
    });
}

#[test]
fn server_over_its_connection_limit_is_not_stormed() {
    run(async {
        let fake = Fake::start(|_| NOW);
        fake.limit.set(0);
        let pool = pool(&[&fake], Preset::default()).await;
        sleep(ms(700)).await;
        assert!(fake.accepted.get() < 20, "{}", fake.accepted.get());
        drop(pool);
    });
}

#[test]
fn lost_connections_are_replaced_ahead_of_need() {
    run(async {
        let fake = Fake::start(|_| NOW);
        let pool = pool(&[&fake], Preset::default()).await;
        fake.cut().await;
        until(|| fake.open.get() == 3).await;
        assert_eq!(pool.part(job(1, 0, LONG)).await.failure, None);
    });
}

#[test]
fn change_of_ownership_closes_connections() {
    run(async {
        let fake = Fake::start(|_| NOW);
        let pool = pool(&[&fake], Preset::default()).await;
        until(|| fake.open.get() == 3).await;
        pool.update(view(&[&fake], Preset::default(), &[]), &|_| false);
        until(|| fake.open.get() == 0).await;
    });
}

#[test]
fn shedding_server_gets_less() {
    run(async {
        let a = Fake::start(|_| Act::Status(503, r#"{"error":"shed"}"#));
        let b = Fake::start(|_| Act::After(ms(2)));
        let preset = Preset {
            retry_budget: 0.5,
            ..Preset::default()
        };
        let pool: Rc<pool::Pool> = pool(&[&a, &b], preset).await;
        burst(&pool, 0..200, LONG).await;
        assert!(a.count() < b.count(), "{} {}", a.count(), b.count());
        assert_eq!(pool.counters().sheds, a.count() as u64);
    });
}

#[test]
fn closing_pool_finishes_what_runs() {
    run(async {
        let fake = Fake::start(|_| Act::After(ms(30)));
        let pool = pool(&[&fake], Preset::default()).await;
        let running = monoio::spawn({
            let pool = pool.clone();
            async move { pool.part(job(1, 0, LONG)).await }
        });
        until(|| fake.count() == 1).await;
        pool.clone().close().await;
        assert_eq!(running.await.failure, None);
        until(|| fake.open.get() == 0).await;
        let refused = pool.part(job(2, 0, LONG)).await;
        assert_eq!(
            reason(&refused.failure),
            Some((wire::Reason::Stopping, true))
        );
    });
}

#[test]
fn server_that_is_taken_over_is_warm_and_a_new_one_is_cold() {
    run(async {
        let a = Fake::start(|_| Act::After(ms(5)));
        let b = Fake::start(|_| Act::After(ms(5)));
        let pool = pool::Pool::new("a".into());
        pool.update(view(&[&a], Preset::default(), &[]), &|_| false);
        pool.update(view(&[&a], Preset::default(), &[]), &|_| true);
        pool.update(view(&[&a, &b], Preset::default(), &[]), &|_| true);
        until(|| a.open.get() + b.open.get() == 6).await;
        assert_eq!(burst(&pool, 0..20, LONG).await, 20);
        assert_eq!((a.busy_peak.get(), b.busy_peak.get()), (2, 1));
    });
}

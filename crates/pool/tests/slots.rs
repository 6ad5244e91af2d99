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

async fn burst(pool: &pool::Pool, numbers: std::ops::Range<u128>, time_left: Duration) -> usize {
    let parts = numbers.map(|number| pool.run_part(part(number, 0, time_left)));
    let partials = join_all(parts).await;
    partials
        .iter()
        .filter(|partial| partial.failure.is_none())
        .count()
}

#[test]
fn slots_are_never_exceeded() {
    run(async {
        let a = FakeServer::start(|_| Reply::After(ms(3)));
        let b = FakeServer::start(|_| Reply::After(ms(3)));
        let pool = pool(&[&a, &b], Preset::default()).await;
        assert_eq!(burst(&pool, 0..100, LONG_TIMEOUT).await, 100);
        assert_eq!((a.busy_peak.get(), b.busy_peak.get()), (2, 2));
        assert_eq!(a.count() + b.count(), 100);
    });
}

#[test]
fn abandoned_exchange_holds_its_slot() {
    run(async {
        let fake = FakeServer::start(|request| match request.number {
            1 | 2 => Reply::After(ms(80)),
            _ => IMMEDIATE,
        });
        fake.ignores_cancel.set(true);
        let pool = pool(&[&fake], Preset::default()).await;
        let succeeded = burst(&pool, 0..2, ms(20)).await;
        assert_eq!(succeeded, 0);
        assert_eq!(burst(&pool, 2..12, LONG_TIMEOUT).await, 10);
        assert_eq!(fake.busy_peak.get(), 2);
        assert_eq!(pool.counters().late, 2);
    });
}

#[test]
fn connections_stay_within_the_share() {
    run(async {
        let fake = FakeServer::start(|request| match request.number % 3 {
            0 => Reply::Close,
            _ => Reply::After(ms(1)),
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
fn server_over_its_connection_limit_is_dialed_with_backoff() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        fake.max_connections.set(0);
        let pool = pool(&[&fake], Preset::default()).await;
        sleep(ms(700)).await;
        assert!(fake.accepted.get() < 20, "{}", fake.accepted.get());
        drop(pool);
    });
}

#[test]
fn closed_connections_are_replaced_ahead_of_need() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let pool = pool(&[&fake], Preset::default()).await;
        fake.close_connections().await;
        wait_until(|| fake.open.get() == 3).await;
        assert_eq!(pool.run_part(part(1, 0, LONG_TIMEOUT)).await.failure, None);
    });
}

#[test]
fn loss_of_ownership_closes_connections() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let pool = pool(&[&fake], Preset::default()).await;
        wait_until(|| fake.open.get() == 3).await;
        pool.update(view(&[&fake], Preset::default(), &[]), &|_| false);
        wait_until(|| fake.open.get() == 0).await;
    });
}

#[test]
fn shedding_server_gets_less_work() {
    run(async {
        let a = FakeServer::start(|_| Reply::Status(503, r#"{"error":"shed"}"#));
        let b = FakeServer::start(|_| Reply::After(ms(2)));
        let preset = Preset {
            retry_budget: 0.5,
            ..Preset::default()
        };
        let pool: Rc<pool::Pool> = pool(&[&a, &b], preset).await;
        burst(&pool, 0..200, LONG_TIMEOUT).await;
        assert!(a.count() < b.count(), "{} {}", a.count(), b.count());
        assert_eq!(pool.counters().sheds, a.count() as u64);
    });
}

#[test]
fn closing_pool_finishes_running_work() {
    run(async {
        let fake = FakeServer::start(|_| Reply::After(ms(30)));
        let pool = pool(&[&fake], Preset::default()).await;
        let running = monoio::spawn({
            let pool = pool.clone();
            async move { pool.run_part(part(1, 0, LONG_TIMEOUT)).await }
        });
        wait_until(|| fake.count() == 1).await;
        pool.clone().close().await;
        assert_eq!(running.await.failure, None);
        wait_until(|| fake.open.get() == 0).await;
        pool.update(view(&[&fake], Preset::default(), &[]), &|_| true);
        sleep(ms(20)).await;
        assert_eq!(fake.open.get(), 0);
        let refused = pool.run_part(part(2, 0, LONG_TIMEOUT)).await;
        assert_eq!(
            reason(&refused.failure),
            Some((wire::Reason::Stopping, true))
        );
    });
}

#[test]
fn only_a_server_new_to_the_catalog_goes_through_slow_start() {
    run(async {
        let a = FakeServer::start(|_| Reply::After(ms(5)));
        let b = FakeServer::start(|_| Reply::After(ms(5)));
        let pool = pool::Pool::new("a".into());
        pool.update(view(&[&a], Preset::default(), &[]), &|_| false);
        pool.update(view(&[&a], Preset::default(), &[]), &|_| true);
        pool.update(view(&[&a, &b], Preset::default(), &[]), &|_| true);
        wait_until(|| a.open.get() + b.open.get() == 6).await;
        assert_eq!(burst(&pool, 0..20, LONG_TIMEOUT).await, 20);
        assert_eq!((a.busy_peak.get(), b.busy_peak.get()), (2, 1));
    });
}

#[test]
fn hedge_budget_grows_with_sub_requests_sent() {
    run(async {
        let fake = FakeServer::start(|_| Reply::Hang);
        let pool = pool(&[&fake], Preset::default()).await;
        let tokens = || pool.state()["hedge_tokens"].as_f64().expect("a number");
        let before = tokens();
        assert_eq!(burst(&pool, 0..50, ms(50)).await, 0);
        let earned = Preset::default().hedge_budget * fake.count() as f64;
        assert!(fake.count() < 20, "{}", fake.count());
        assert!((tokens() - before - earned).abs() < 1e-6, "{}", tokens());
    });
}

//! A call with an idempotency key is sent at most once.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use common::*;
use config::Preset;
use monoio::time::sleep;
use wire::{
    CancelRequest,
    Reason, //
};

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn call_with_key_is_not_retried_after_a_broken_connection() {
    run(async {
        let a = FakeServer::start(|_| Reply::Close);
        let b = FakeServer::start(|_| Reply::Close);
        let pool = pool(&[&a, &b], Preset::default()).await;
        let reply = pool
            .run_call(call(1, "key"), Instant::now() + LONG_TIMEOUT)
            .await;
        assert_eq!(reason(&reply.failure), Some((Reason::Broken, false)));
        sleep(ms(300)).await;
        assert_eq!(a.count() + b.count(), 1);
    });
}

#[test]
fn idempotent_call_is_retried() {
    run(async {
        let a = FakeServer::start(|_| Reply::Close);
        let b = FakeServer::start(|_| Reply::Close);
        let pool = pool(&[&a, &b], Preset::default()).await;
        let reply = pool
            .run_call(call(1, ""), Instant::now() + LONG_TIMEOUT)
            .await;
        assert_eq!(reason(&reply.failure), Some((Reason::Broken, false)));
        assert_eq!((a.count(), b.count()), (1, 1));
    });
}

#[test]
fn stale_connection_is_not_used_for_a_call() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let pool = pool(&[&fake], Preset::default()).await;
        for number in 0..10 {
            fake.close_connections().await;
            let reply = pool
                .run_call(call(number, "key"), Instant::now() + LONG_TIMEOUT)
                .await;
            assert_eq!(reply.failure, None);
        }
        assert_eq!(fake.count(), 10);
    });
}

#[test]
fn shed_call_is_reported_as_not_run() {
    run(async {
        let a = FakeServer::start(|_| Reply::Status(503, r#"{"error":"shed"}"#));
        let b = FakeServer::start(|_| Reply::Status(503, r#"{"error":"shed"}"#));
        let pool = pool(&[&a, &b], Preset::default()).await;
        let reply = pool
            .run_call(call(1, "key"), Instant::now() + LONG_TIMEOUT)
            .await;
        assert_eq!(reason(&reply.failure), Some((Reason::Shed, true)));
        assert_eq!(a.count() + b.count(), 1);
    });
}

#[test]
fn unknown_error_counts_as_possibly_run() {
    run(async {
        let fake = FakeServer::start(|_| Reply::Status(500, r#"{"error":"shed"}"#));
        let pool = pool(&[&fake], Preset::default()).await;
        let reply = pool
            .run_call(call(1, "key"), Instant::now() + LONG_TIMEOUT)
            .await;
        assert_eq!(reason(&reply.failure), Some((Reason::BadReply, false)));
    });
}

#[test]
fn slow_call_is_neither_hedged_nor_cancelled() {
    run(async {
        let a = FakeServer::start(|_| IMMEDIATE);
        let b = FakeServer::start(|_| IMMEDIATE);
        let pool = pool_with_latencies(&[&a, &b]).await;
        let before = a.count() + b.count();
        a.set_behavior(|_| Reply::Hang);
        b.set_behavior(|_| Reply::Hang);
        let reply = pool
            .run_call(call(1_000, "key"), Instant::now() + ms(100))
            .await;
        assert_eq!(reason(&reply.failure), Some((Reason::Deadline, false)));
        pool.cancel(&CancelRequest {
            request: call(1_000, "key").head.unwrap_or_default().request,
            attempt: 1,
            parts: Vec::new(),
        });
        sleep(ms(20)).await;
        assert_eq!(a.count() + b.count() - before, 1);
        assert_eq!(a.cancelled.borrow().len() + b.cancelled.borrow().len(), 0);
    });
}

#[test]
fn queued_call_that_expires_is_not_run() {
    run(async {
        let fake = FakeServer::start(|_| Reply::After(ms(200)));
        let pool = pool(&[&fake], Preset::default()).await;
        let busy: Vec<_> = (0..2)
            .map(|number| {
                let pool = pool.clone();
                monoio::spawn(async move { pool.run_part(part(number, 0, LONG_TIMEOUT)).await })
            })
            .collect();
        wait_until(|| fake.count() == 2).await;
        let reply = pool.run_call(call(9, "key"), Instant::now() + ms(50)).await;
        assert_eq!(reason(&reply.failure), Some((Reason::Deadline, true)));
        for task in busy {
            assert_eq!(task.await.failure, None);
        }
        assert_eq!(fake.count(), 2);
    });
}

#[test]
fn unreachable_service_is_refused() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let mut unreachable = view(&[&fake], Preset::default(), &[]);
        let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = unused.local_addr().expect("an address");
        drop(unused);
        let mut catalog = config::Catalog::default();
        let servers = vec![server("a", address)];
        catalog
            .services
            .insert("s".into(), config::catalog::Service { servers }.into());
        std::sync::Arc::make_mut(&mut unreachable).catalog = catalog.into();
        let pool = pool::Pool::new("a".into());
        pool.update(unreachable, &|_| true);
        let reply = pool
            .run_call(call(1, "key"), Instant::now() + LONG_TIMEOUT)
            .await;
        assert_eq!(reason(&reply.failure), Some((Reason::Unreachable, true)));
    });
}

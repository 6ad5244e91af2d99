//! Only a complete reply to the right request is used, and connections are reused.

mod common;

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use common::*;
use config::Preset;
use wire::Reason;

#[test]
fn part_returns_the_reply_of_the_server() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let pool = pool(&[&fake], Preset::default()).await;
        let partial = pool.run_part(part(1, 3, LONG_TIMEOUT)).await;
        assert_eq!(partial.failure, None);
        assert_eq!((partial.index, partial.snapshot), (3, 7));
        assert_eq!(&*partial.server, "a");
        assert_eq!((partial.first, partial.hedges, partial.retries), (1, 0, 0));
        assert!(partial.payload.ends_with(b"\"hits\":[]}"));
        assert_eq!(pool.in_flight(), 0);
        pool.close().await;
        wait_until(|| fake.open.get() == 0).await;
    });
}

#[test]
fn call_returns_the_result_of_the_server() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let pool = pool(&[&fake], Preset::default()).await;
        let reply = pool
            .run_call(call(1, "key"), Instant::now() + LONG_TIMEOUT)
            .await;
        assert_eq!(reply.failure, None);
        assert_eq!(&reply.payload[..], b"{\"ok\":true}");
        assert_eq!(fake.requests.borrow()[0].key, "key");
    });
}

#[test]
fn connections_are_reused() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let pool = pool(&[&fake], Preset::default()).await;
        for number in 0..100 {
            let partial = pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
            assert_eq!(partial.failure, None);
        }
        assert_eq!(fake.accepted.get(), 3);
    });
}

#[test]
fn unowned_service_is_served_over_few_connections() {
    run(async {
        let fake = FakeServer::start(|_| IMMEDIATE);
        let pool = pool::Pool::new("a".into());
        pool.update(view(&[&fake], Preset::default(), &[]), &|_| false);
        monoio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(fake.accepted.get(), 0);
        let partial = pool.run_part(part(1, 0, LONG_TIMEOUT)).await;
        assert_eq!(partial.failure, None);
        assert!(fake.open_peak.get() <= 2);
    });
}

#[test]
fn unknown_service_is_refused() {
    run(async {
        let pool = pool::Pool::new("a".into());
        let partial = pool.run_part(part(1, 0, LONG_TIMEOUT)).await;
        assert_eq!(
            reason(&partial.failure),
            Some((Reason::UnknownService, true))
        );
    });
}

/// Runs two parts against a server whose first reply is wrong.
///
/// Returns the first part's result, the counters, and the connections accepted until then.
fn wrong_reply_once(
    wrong: impl Fn(&Request) -> Reply + 'static,
) -> (wire::Partial, pool::Counters, usize) {
    run(async move {
        let bad = FakeServer::start(move |request| match request.number {
            1 => wrong(request),
            _ => IMMEDIATE,
        });
        let good = FakeServer::start(|_| IMMEDIATE);
        let pool = pool(&[&bad], Preset::default()).await;
        let first = pool.run_part(part(1, 0, LONG_TIMEOUT)).await;
        assert!(first.failure.is_some(), "{first:?}");
        let accepted = bad.accepted.get();
        let second = pool.run_part(part(2, 0, LONG_TIMEOUT)).await;
        assert_eq!(second.failure, None);
        let _: Rc<FakeServer> = good;
        (first, pool.counters(), accepted)
    })
}

#[test]
fn reply_to_another_request_is_not_merged() {
    let (partial, counters, _) = wrong_reply_once(|request| {
        let other = Request {
            id: "00000000-0000-0000-0000-0000000000ff-0".to_owned(),
            ..request.clone()
        };
        Reply::Raw(response(200, &body(&other)))
    });
    assert_eq!(reason(&partial.failure), Some((Reason::BadReply, false)));
    assert!(partial.payload.is_empty());
    assert_eq!(counters.bad_replies, 1);
}

#[test]
fn reply_from_another_snapshot_is_not_merged() {
    let (partial, _, _) = wrong_reply_once(|request| {
        let other = Request {
            snapshot: 8,
            ..request.clone()
        };
        Reply::Raw(response(200, &body(&other)))
    });
    assert_eq!(reason(&partial.failure), Some((Reason::BadReply, false)));
}

#[test]
fn truncated_reply_is_not_merged() {
    run(async {
        let fake = FakeServer::start(|request| match request.number {
            1 => Reply::Raw(truncated(request)),
            _ => IMMEDIATE,
        });
        let pool = pool(&[&fake], Preset::default()).await;
        let partial = pool.run_part(part(1, 0, Duration::from_millis(100))).await;
        assert!(partial.failure.is_some());
        assert!(partial.payload.is_empty());
    });
}

fn truncated(request: &Request) -> String {
    let mut bytes = response(200, &body(request));
    bytes.truncate(bytes.len() - 5);
    bytes
}

#[test]
fn duplicated_reply_is_not_used_for_the_next_request() {
    run(async {
        let fake = FakeServer::start(|request| {
            let reply = response(200, &body(request));
            Reply::Raw(format!("{reply}{reply}"))
        });
        let pool = pool(&[&fake], Preset::default()).await;
        for number in 0..20 {
            let partial = pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
            assert_eq!(partial.failure, None);
            let text = String::from_utf8_lossy(&partial.payload).into_owned();
            assert!(text.contains(&uuid::Uuid::from_u128(number).to_string()));
        }
        assert_eq!(pool.counters().bad_replies, 0);
    });
}

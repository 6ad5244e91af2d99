//! Whole answers to the right request, over kept connections.

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
fn part_is_answered() {
    run(async {
        let fake = Fake::start(|_| NOW);
        let pool = pool(&[&fake], Preset::default()).await;
        let partial = pool.part(job(1, 3, LONG)).await;
        assert_eq!(partial.failure, None);
        assert_eq!((partial.index, partial.snapshot), (3, 7));
        assert_eq!(&*partial.server, "a");
        assert_eq!((partial.first, partial.hedges, partial.retries), (1, 0, 0));
        assert!(partial.payload.ends_with(b"\"hits\":[]}"));
        assert_eq!(pool.in_flight(), 0);
        pool.close().await;
        until(|| fake.open.get() == 0).await;
    });
}

#[test]
fn call_is_answered() {
    run(async {
        let fake = Fake::start(|_| NOW);
        let pool = pool(&[&fake], Preset::default()).await;
        let reply = pool.send(call(1, "key"), Instant::now() + LONG).await;
        assert_eq!(reply.failure, None);
        assert_eq!(&reply.payload[..], b"{\"ok\":true}");
        assert_eq!(fake.seen.borrow()[0].key, "key");
    });
}

#[test]
fn connections_are_kept() {
    run(async {
        let fake = Fake::start(|_| NOW);
        let pool = pool(&[&fake], Preset::default()).await;
        for number in 0..100 {
            let partial = pool.part(job(number, 0, LONG)).await;
            assert_eq!(partial.failure, None);
        }
        assert_eq!(fake.accepted.get(), 3);
    });
}

#[test]
fn service_that_is_not_owned_is_served() {
    run(async {
        let fake = Fake::start(|_| NOW);
        let pool = pool::Pool::new("a".into());
        pool.update(view(&[&fake], Preset::default(), &[]), &|_| false);
        monoio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(fake.accepted.get(), 0);
        let partial = pool.part(job(1, 0, LONG)).await;
        assert_eq!(partial.failure, None);
        assert!(fake.open_peak.get() <= 2);
    });
}

#[test]
fn unknown_service_is_refused() {
    run(async {
        let pool = pool::Pool::new("a".into());
        let partial = pool.part(job(1, 0, LONG)).await;
        assert_eq!(
            reason(&partial.failure),
            Some((Reason::UnknownService, true))
        );
    });
}

/// Runs a part against a server that answers wrongly once, and one that answers rightly.
fn wrong_once(wrong: impl Fn(&Seen) -> Act + 'static) -> (wire::Partial, pool::Counters, usize) {
    run(async move {
        let bad = Fake::start(move |seen| match seen.number {
            1 => wrong(seen),
            _ => NOW,
        });
        let good = Fake::start(|_| NOW);
        let pool = pool(&[&bad], Preset::default()).await;
        let alone = pool.part(job(1, 0, LONG)).await;
        assert!(alone.failure.is_some(), "{alone:?}");
        let open = bad.accepted.get();
        let next = pool.part(job(2, 0, LONG)).await;
        assert_eq!(next.failure, None);
        let _: Rc<Fake> = good;
        (alone, pool.counters(), open)
    })
}

#[test]
fn reply_to_another_request_is_not_merged() {
    let (partial, counters, _) = wrong_once(|seen| {
        let other = Seen {
            request: "00000000-0000-0000-0000-0000000000ff-0".to_owned(),
            ..seen.clone()
        };
        Act::Raw(response(200, &body(&other)))
    });
    assert_eq!(reason(&partial.failure), Some((Reason::BadReply, false)));
    assert!(partial.payload.is_empty());
    assert_eq!(counters.bad_replies, 1);
}

#[test]
fn reply_from_another_snapshot_is_not_merged() {
    let (partial, _, _) = wrong_once(|seen| {
        let other = Seen {
            snapshot: 8,
            ..seen.clone()
        };
        Act::Raw(response(200, &body(&other)))
    });
    assert_eq!(reason(&partial.failure), Some((Reason::BadReply, false)));
}

#[test]
fn truncated_reply_is_not_merged() {
    run(async {
        let fake = Fake::start(|seen| match seen.number {
            1 => Act::Raw(truncated(seen)),
            _ => NOW,
        });
        let pool = pool(&[&fake], Preset::default()).await;
        let partial = pool.part(job(1, 0, Duration::from_millis(100))).await;
        assert!(partial.failure.is_some());
        assert!(partial.payload.is_empty());
    });
}

fn truncated(seen: &Seen) -> String {
    let mut bytes = response(200, &body(seen));
    bytes.truncate(bytes.len() - 5);
    bytes
}

#[test]
fn duplicated_reply_is_not_taken_for_the_next_request() {
    run(async {
        let fake = Fake::start(|seen| {
            let reply = response(200, &body(seen));
            Act::Raw(format!("{reply}{reply}"))
        });
        let pool = pool(&[&fake], Preset::default()).await;
        for number in 0..20 {
            let partial = pool.part(job(number, 0, LONG)).await;
            assert_eq!(partial.failure, None);
            let text = String::from_utf8_lossy(&partial.payload).into_owned();
            assert!(text.contains(&uuid::Uuid::from_u128(number).to_string()));
        }
        assert_eq!(pool.counters().bad_replies, 0);
    });
}

//! Tests of the open-loop replay against a fake instance.

mod common;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc, //
};

use bench::{
    replay::{
        self,
        answer,
        record::{
            Fault,
            Run, //
        },
        Outcome,
        Plan,
        Record, //
    },
    report,
    trace::{
        generate,
        profile::User,
        Arrival,
        Kind,
        Retry,
        Trace, //
    },
    verify::{
        Log,
        Verdict, //
    },
};
use common::{
    Fake,
    Script, //
};

fn arrival(at_us: u64, target: &str, kind: Kind) -> Arrival {
    Arrival {
        at_us,
        caller: 1,
        kind,
        target: target.into(),
        class: Default::default(),
        timeout_ms: 2_000,
        idempotent: true,
        key: None,
        top: None,
        retry: Retry::Never,
    }
}

fn keyed(target: &str, retry: Retry) -> Arrival {
    Arrival {
        idempotent: false,
        key: Some(9),
        retry,
        ..arrival(0, target, Kind::Call)
    }
}

fn replay(address: SocketAddr, arrivals: Vec<Arrival>) -> Outcome {
    let header = generate::run(&generate::Plan::new(User::Kestrel, 1, 1.0, 1)).header;
    let trace = Trace { header, arrivals };
    replay::run(&Plan::new(Arc::new(trace), vec![address])).unwrap()
}

/// The fields of a record that don't differ between runs.
fn stable_fields(record: &Record) -> serde_json::Value {
    serde_json::json!({
        "attempt": record.attempt,
        "echoes": record.echoed.as_ref().map(|echoed| *echoed == record.request),
        "names": record.id.as_ref().map(|echoed| *echoed == record.request),
        "fault": record.fault,
        "status": record.status,
        "problem": record.problem,
        "run": record.run,
        "snapshot": record.snapshot,
        "preset": record.preset,
        "coverage": record.coverage,
        "parts": record.parts.as_ref().map(|parts| {
            parts.iter().map(|part| (&part.shard, &part.server, part.snapshot)).collect::<Vec<_>>()
        }),
        "recorded": record.recorded,
    })
}

#[test]
fn sends_do_not_wait_for_answers() {
    // The fake answers no request before all have arrived, so a closed loop would never finish.
    let count = 50;
    let fake = Fake::start(Script { hold_until: count });
    let arrivals = (0..count as u64)
        .map(|n| arrival(n * 1_000, "deskline", Kind::Query))
        .collect();
    let outcome = replay(fake.address(), arrivals);
    let last = outcome
        .records
        .iter()
        .map(|record| record.intended_us)
        .max()
        .unwrap();
    assert_eq!(outcome.records.len(), count);
    for record in &outcome.records {
        assert!(record.is_answered());
        // Each latency includes the wait until the last request was due.
        assert!(record.intended_us + record.latency_us() >= last);
    }
}

#[test]
fn every_answer_is_recorded() {
    let fake = Fake::start(Script::default());
    let targets = ["deskline", "partial", "refused", "garbled"];
    let arrivals = targets
        .iter()
        .map(|target| arrival(0, target, Kind::Query))
        .collect();
    let outcome = replay(fake.address(), arrivals);
    let records: Vec<_> = outcome
        .records
        .iter()
        .map(|record| (record.target.to_string(), stable_fields(record)))
        .collect();
    insta::assert_json_snapshot!(records);
}

#[test]
fn retries_keep_the_key_and_change_the_request_id() {
    let fake = Fake::start(Script::default());
    let arrivals = vec![
        keyed("tallyroom", Retry::AtOnce),
        keyed("tallyroom", Retry::OnFailure),
        keyed("unknown", Retry::OnFailure),
        keyed("unknown", Retry::Never),
    ];
    let outcome = replay(fake.address(), arrivals);
    let sends = |arrival| {
        outcome
            .records
            .iter()
            .filter(move |record| record.arrival == arrival)
    };
    let counts: Vec<usize> = (0..4).map(|arrival| sends(arrival).count()).collect();
    assert_eq!(counts, [2, 1, 3, 1]);
    for arrival in 0..4 {
        let keys: BTreeSet<_> = sends(arrival).map(|record| &record.key).collect();
        let requests: BTreeSet<_> = sends(arrival).map(|record| &record.request).collect();
        assert_eq!(keys.len(), 1);
        assert_eq!(requests.len(), sends(arrival).count());
    }
    assert!(sends(2).all(|record| record.run == Some(Run::MayHaveRun)));
}

#[test]
fn refused_connection_is_a_connect_fault() {
    let fake = Fake::start(Script::default());
    let address = fake.address();
    fake.close();
    let outcome = replay(address, vec![arrival(0, "deskline", Kind::Query)]);
    assert_eq!(outcome.records[0].fault, Some(Fault::Connect));
    let summary = report::run(&outcome, &Log::default(), &Verdict::default());
    assert_eq!((summary.all.queries, summary.all.errors), (1, 1));
}

#[test]
fn any_body_is_parsed_or_rejected() {
    let record = |kind: &str| -> Record {
        serde_json::from_value(serde_json::json!({
            "arrival": 0, "attempt": 1, "caller": 1, "kind": kind, "target": "deskline",
            "timeout_ms": 1, "intended_us": 0, "sent_us": 0, "answered_us": 1, "request": "r",
            "address": "127.0.0.1:1",
        }))
        .unwrap()
    };
    bolero::check!()
        .with_type::<(bool, bool, Vec<u8>)>()
        .for_each(|(is_query, is_ok, body)| {
            let mut record = record(if *is_query { "query" } else { "call" });
            let status = if *is_ok { 200 } else { 503 };
            let body = bytes::Bytes::from(body.clone());
            let response = http::Response::builder().status(status).body(body).unwrap();
            answer::read(&mut record, &response, &mut answer::Interner::default());
            assert!(!record.is_answered() || record.id.is_some());
        });
}

#[test]
fn closed_connection_is_a_cut_fault() {
    let texts: [&[u8]; 2] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"request\"",
    ];
    for bytes in texts {
        let address = common::respond_and_close(bytes);
        let outcome = replay(address, vec![arrival(0, "deskline", Kind::Query)]);
        assert_eq!(outcome.records[0].fault, Some(Fault::Cut));
    }
}

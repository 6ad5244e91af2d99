//! Checks how answers are written: merged hits, listed parts and replies of calls.

use bytes::Bytes;
use entry::answer::{
    write_call,
    write_parts,
    write_top,
    Coverage,
    Head,
    Missing,
    Preset, //
};
use wire::{
    CallReply,
    Partial, //
};

fn head() -> Head<'static> {
    Head {
        request: "0190a1b2-0000-7000-8000-000000000001".into(),
        group: "deskline",
        snapshot: 7,
        preset: Preset {
            name: "ordinary",
            version: 12,
        },
        coverage: Coverage {
            shards: 3,
            answered: 2,
            missing: vec![Missing {
                shard: "deskline-02",
                reason: "deadline".into(),
            }],
        },
    }
}

fn partial(server: &str, payload: &'static str) -> Partial {
    Partial {
        server: server.into(),
        snapshot: 7,
        payload: Bytes::from_static(payload.as_bytes()),
        ..Partial::default()
    }
}

fn pretty(body: &[u8]) -> String {
    let value: serde_json::Value = serde_json::from_slice(body).expect("JSON");
    format!("{value:#}")
}

#[test]
fn parts_are_listed_with_their_payloads() {
    let a = partial("deskline-00-a", r#"{"hits":[{"id":"s1","score":2.0}]}"#);
    let b = partial("deskline-01-b", r#"{"hits":[]}"#);
    let parts = [("deskline-00", &a), ("deskline-01", &b)];
    let body = write_parts(&head(), &parts).expect("an answer");
    insta::assert_snapshot!(pretty(&body));
}

#[test]
fn the_best_hits_of_all_parts_are_merged() {
    let a = partial(
        "x",
        r#"{"hits":[{"id":"s1","score":2.0},{"id":"s3","score":0.5}]}"#,
    );
    let b = partial(
        "y",
        r#"{"hits":[{"id":"s0","score":2.0},{"id":"s2","score":3.5}]}"#,
    );
    let parts = [("deskline-00", &a), ("deskline-01", &b)];
    let body = write_top(&head(), &parts, 3).expect("an answer");
    insta::assert_snapshot!(pretty(&body));
}

#[test]
fn a_part_without_hits_is_a_bad_reply() {
    let a = partial("x", r#"{"rows":[]}"#);
    let problem = write_top(&head(), &[("deskline-00", &a)], 3).expect_err("a problem");
    insta::assert_debug_snapshot!(problem);
}

#[test]
fn a_call_without_a_payload_is_null() {
    let reply = CallReply {
        server: "tallyroom-a".into(),
        recorded: true,
        ..CallReply::default()
    };
    let body = write_call("r".into(), "tallyroom", &reply).expect("an answer");
    insta::assert_snapshot!(pretty(&body));
}

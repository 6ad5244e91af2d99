//! A reply is accepted only if it echoes the request.

use std::time::Duration;

use backend::{
    reply,
    Call,
    Outcome,
    Query,
    Stamp, //
};
use bytes::Bytes;
use uuid::Uuid;

const ID: Uuid = Uuid::from_u128(0x0190_0000_0000_7000_8000_0000_0000_0001);

fn query() -> Query<'static> {
    Query {
        stamp: Stamp::part(ID, 3, 2),
        shard: "deskline-03",
        snapshot: 7,
        time_left: Duration::from_secs(1),
        body: Bytes::new(),
    }
}

fn call() -> Call<'static> {
    Call {
        stamp: Stamp::call(ID, 1),
        key: "key",
        time_left: Duration::from_secs(1),
        body: Bytes::new(),
    }
}

fn body(request: &str, attempt: u32, shard: &str, snapshot: u64) -> Bytes {
    let text = format!(
        r#"{{"request":"{request}","attempt":{attempt},"shard":"{shard}","snapshot":{snapshot},"hits":[]}}"#
    );
    Bytes::from(text)
}

fn show(outcome: Outcome) -> String {
    match outcome {
        Outcome::Done(reply) => format!(
            "done, snapshot {}: {}",
            reply.snapshot,
            String::from_utf8_lossy(&reply.payload)
        ),
        other => format!("{other:?}"),
    }
}

#[test]
fn replies_to_a_query() {
    let id = query().stamp.request_id().to_string();
    let other_part = format!("{id}1");
    let cases = [
        ("right", 200, body(&id, 2, "deskline-03", 7)),
        ("other part", 200, body(&other_part, 2, "deskline-03", 7)),
        ("no part", 200, body(&ID.to_string(), 2, "deskline-03", 7)),
        ("other attempt", 200, body(&id, 1, "deskline-03", 7)),
        ("other shard", 200, body(&id, 2, "deskline-04", 7)),
        ("other snapshot", 200, body(&id, 2, "deskline-03", 8)),
        ("truncated", 200, body(&id, 2, "deskline-03", 7).slice(..40)),
        ("nothing", 200, Bytes::new()),
        (
            "not UTF-8",
            200,
            Bytes::from_static(b"{\"request\":\"\xff\"}"),
        ),
        (
            "snapshot gone",
            409,
            Bytes::from_static(br#"{"error":"snapshot","held":[6,7]}"#),
        ),
        ("shed", 503, Bytes::from_static(br#"{"error":"shed"}"#)),
        (
            "draining",
            503,
            Bytes::from_static(br#"{"error":"draining"}"#),
        ),
        (
            "deadline",
            504,
            Bytes::from_static(br#"{"error":"deadline"}"#),
        ),
        ("shard", 404, Bytes::from_static(br#"{"error":"shard"}"#)),
        (
            "cancelled",
            499,
            Bytes::from_static(br#"{"error":"cancelled"}"#),
        ),
        (
            "wrong status",
            500,
            Bytes::from_static(br#"{"error":"shed"}"#),
        ),
        (
            "unknown error",
            503,
            Bytes::from_static(br#"{"error":"tired"}"#),
        ),
        ("no JSON", 503, Bytes::from_static(b"sorry")),
    ];
    let shown: Vec<String> = cases
        .into_iter()
        .map(|(title, status, body)| {
            format!(
                "{title}: {}",
                show(reply::decode_query(&query(), status, None, body))
            )
        })
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
}

#[test]
fn replies_to_a_call() {
    let right =
        format!(r#"{{"request":"{ID}","attempt":1,"server":"x","result":{{"held":true}}}}"#);
    let cases = [
        ("right", right.clone()),
        (
            "other attempt",
            right.replace("\"attempt\":1", "\"attempt\":2"),
        ),
        ("other request", right.replace("0190", "0191")),
        ("no result", right.replace("result", "outcome")),
    ];
    let shown: Vec<String> = cases
        .into_iter()
        .map(|(title, body)| {
            format!(
                "{title}: {}",
                show(reply::decode_call(&call(), 200, None, body.into()))
            )
        })
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
}

#[test]
fn arbitrary_bytes_are_decoded_without_panic() {
    bolero::check!()
        .with_type::<(u16, Vec<u8>)>()
        .for_each(|(status, bytes)| {
            let body = Bytes::copy_from_slice(bytes);
            if let Outcome::Done(reply) = reply::decode_query(&query(), *status, None, body.clone())
            {
                assert_eq!((*status, reply.snapshot), (200, 7));
            }
            let _ = reply::decode_call(&call(), *status, None, body);
        });
}

#[test]
fn only_a_matching_reply_is_accepted() {
    let id = query().stamp.request_id().to_string();
    bolero::check!()
        .with_type::<(bool, u8, bool, u8)>()
        .for_each(|(same_request, attempt, same_shard, snapshot)| {
            let request = if *same_request { &id } else { "other" };
            let shard = if *same_shard {
                "deskline-03"
            } else {
                "deskline-3"
            };
            let body = body(request, u32::from(*attempt), shard, u64::from(*snapshot));
            let matches = *same_request && *attempt == 2 && *same_shard && *snapshot == 7;
            let outcome = reply::decode_query(&query(), 200, None, body);
            assert_eq!(matches!(outcome, Outcome::Done(_)), matches);
        });
}

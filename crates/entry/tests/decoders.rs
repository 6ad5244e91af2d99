//! Checks that requests of callers are either read or refused with a problem, and never panic.

use std::sync::Arc;

use bytes::Bytes;
use config::View;
use entry::{
    problem::Problem,
    request::{
        call_body,
        idempotency_key,
        Head,
        Query,
        Route, //
    },
};
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    Request, //
};

fn show<T: std::fmt::Debug>(result: Result<T, Problem>) -> String {
    match result {
        Ok(value) => format!("{value:?}"),
        Err(problem) => {
            let response = problem.respond(None);
            format!(
                "{} {}",
                response.status().as_u16(),
                String::from_utf8_lossy(response.body())
            )
        }
    }
}

fn header(name: &'static str, value: &[u8]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(value).expect("a header value");
    headers.insert(name, value);
    headers
}

#[test]
fn bad_requests_are_refused_as_not_run() {
    let body = |body: &[u8]| Request::new(Bytes::copy_from_slice(body));
    let timeout = |value: &[u8]| {
        Head::read(
            &header("request-timeout-ms", value),
            Arc::new(View::default()),
        )
        .map(|_| "accepted")
    };
    let lines = [
        show(Route::read(&Method::POST, "/v1/deskline/query")),
        show(Route::read(&Method::POST, "/v1/tallyroom/call")),
        show(Route::read(&Method::GET, "/v1/deskline/query")),
        show(Route::read(&Method::POST, "/v1/deskline")),
        show(Route::read(&Method::POST, "/v2/deskline/query")),
        show(Query::read(br#"{"query": {"text": "fire"}, "top": 3}"#).map(|query| query.top)),
        show(Query::read(b"").map(|query| query.top)),
        show(Query::read(b"{\"query\": \"\xff\"}").map(|query| query.top)),
        show(Query::read(br#"{"query": 1, "top": 0}"#).map(|query| query.top)),
        show(Query::read(br#"{"query": 1, "limit": 5}"#).map(|query| query.top)),
        show(timeout(b"250")),
        show(timeout(b"0")),
        show(timeout(b"-3")),
        show(timeout(b"soon")),
        show(timeout(b"\xff")),
        show(idempotency_key(&HeaderMap::new())),
        show(idempotency_key(&header("idempotency-key", b"not a key"))),
        show(idempotency_key(&header(
            "idempotency-key",
            b"6ba7b810-9dad-41d1-80b4-00c04fd430c8",
        ))),
        show(call_body(&body(b""))),
        show(call_body(&body(b"{\"room\": 4}"))),
        show(call_body(&body(b"{\"room\": "))),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn arbitrary_bodies_do_not_panic() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = Query::read(bytes);
        let _ = call_body(&Request::new(Bytes::copy_from_slice(bytes)));
    });
}

#[test]
fn arbitrary_headers_do_not_panic() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let Ok(value) = HeaderValue::from_bytes(bytes) else {
            return;
        };
        let mut headers = HeaderMap::new();
        headers.insert("idempotency-key", value.clone());
        headers.insert("request-timeout-ms", value);
        let _ = idempotency_key(&headers);
        let _ = Head::read(&headers, Arc::new(View::default())).map(|head| head.time_left());
    });
}

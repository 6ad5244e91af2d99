//! One arrival: its first send and the caller's own retries.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join;
use http::{
    header::CONTENT_TYPE,
    Request, //
};
use monoio::time;
use rand::{
    rngs::StdRng,
    RngCore,
    SeedableRng, //
};
use uuid::{
    Builder,
    Uuid, //
};
use web::client::FailureKind as Cause;

use super::{
    answer,
    record::{
        Fault,
        Record, //
    },
    worker::Context, //
};
use crate::trace::{
    Arrival,
    Kind,
    Retry, //
};

/// Time past its deadline for which a caller still waits for an answer.
const GRACE: Duration = Duration::from_secs(5);
/// Sends of one arrival, at most.
const ATTEMPTS_MAX: u32 = 3;
/// Time between a failure and the next send, per earlier send.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Sends an arrival at its time, and again as its `retry` says.
pub(super) async fn run(context: &Context, index: usize, arrival: &Arrival) {
    let key = arrival.key.map(|seed| key(context.pace.now_us(), seed));
    let key = key.as_deref();
    let intended_us = context.pace.epoch_us() + arrival.at_us;
    match arrival.retry {
        Retry::Never => {
            once(context, index, arrival, key, 1, intended_us).await;
        }
        Retry::AtOnce => {
            let first = once(context, index, arrival, key, 1, intended_us);
            let second = once(context, index, arrival, key, 2, intended_us);
            join(first, second).await;
        }
        Retry::OnFailure => {
            let mut due_us = intended_us;
            for attempt in 1..=ATTEMPTS_MAX {
                if !once(context, index, arrival, key, attempt, due_us).await {
                    return;
                }
                let wait = RETRY_WAIT * attempt;
                due_us = context.pace.now_us() + wait.as_micros() as u64;
                time::sleep(wait).await;
            }
        }
    }
}

/// Makes the idempotency key: a UUIDv7 of this moment, the rest drawn from the seed.
fn key(now_us: u64, seed: u64) -> String {
    let mut random = [0; 10];
    StdRng::seed_from_u64(seed).fill_bytes(&mut random);
    Builder::from_unix_timestamp_millis(now_us / 1_000, &random)
        .into_uuid()
        .to_string()
}

/// Sends once and records what came of it; returns whether a caller would try again.
async fn once(
    context: &Context,
    index: usize,
    arrival: &Arrival,
    key: Option<&str>,
    attempt: u32,
    intended_us: u64,
) -> bool {
    let turn = index + attempt as usize - 1;
    let mut record = Record {
        arrival: index,
        attempt,
        caller: arrival.caller,
        kind: arrival.kind,
        target: arrival.target.clone(),
        timeout_ms: arrival.timeout_ms,
        intended_us,
        sent_us: context.pace.now_us(),
        answered_us: 0,
        address: context.addresses[turn % context.addresses.len()],
        request: Uuid::now_v7().to_string().into(),
        key: key.map(Box::from),
        fault: None,
        status: 0,
        echoed: None,
        id: None,
        top: arrival.top,
        hits: None,
        problem: None,
        run: None,
        snapshot: None,
        preset: None,
        coverage: None,
        parts: None,
        recorded: false,
        payload: None,
        instance: None,
    };
    let request = request(arrival, &record);
    let wait = Duration::from_millis(arrival.timeout_ms) + GRACE;
    let result = context
        .caller
        .send(record.address, request, wait, attempt > 1)
        .await;
    record.answered_us = context.pace.now_us();
    match result {
        Ok(response) => {
            let mut names = context.names.borrow_mut();
            answer::read(&mut record, &response, &mut names);
        }
        Err(failure) => record.fault = Some(fault(failure.kind)),
    }
    let again = record.fault.is_some() || record.status >= 500;
    context.records.borrow_mut().push(record);
    again
}

fn fault(cause: Cause) -> Fault {
    match cause {
        Cause::Connect => Fault::Connect,
        Cause::Write | Cause::Closed => Fault::Cut,
        Cause::Timeout => Fault::Timeout,
        Cause::Malformed => Fault::Malformed,
    }
}

fn request(arrival: &Arrival, record: &Record) -> Request<Bytes> {
    let verb = match arrival.kind {
        Kind::Query => "query",
        Kind::Call => "call",
    };
    let mut request = Request::post(format!("/v1/{}/{verb}", arrival.target))
        .header("host", record.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(answer::REQUEST, &*record.request)
        .header("request-timeout-ms", arrival.timeout_ms);
    if let Some(key) = &record.key {
        request = request.header("idempotency-key", &**key);
    }
    request
        .body(body(arrival, record))
        .expect("names of the trace make a valid request")
}

fn body(arrival: &Arrival, record: &Record) -> Bytes {
    let body = match arrival.top {
        Some(top) => format!(r#"{{"query":{},"top":{top}}}"#, query(record)),
        None => format!(r#"{{"query":{}}}"#, query(record)),
    };
    body.into()
}

/// Returns the query that a record's request asked, as JSON.
///
/// No two arrivals of a trace ask the same, so that an answer to another request shows.
pub fn query(record: &Record) -> String {
    serde_json::json!({ "arrival": record.arrival, "caller": record.caller }).to_string()
}

//! Sends one arrival, and repeats it as the caller would.

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

/// Time past the deadline for which a caller still waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_secs(5);
/// Maximum number of sends of one arrival.
const MAX_ATTEMPTS: u32 = 3;
/// Delay before the next send after a failure, multiplied by the number of sends so far.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Sends an arrival, and sends it again as its `retry` requires.
pub(super) async fn run(context: &Context, index: usize, arrival: &Arrival) {
    let key = arrival
        .key
        .map(|seed| idempotency_key(context.clock.now_us(), seed));
    let key = key.as_deref();
    let intended_us = context.clock.epoch_us() + arrival.at_us;
    match arrival.retry {
        Retry::Never => {
            send_once(context, index, arrival, key, 1, intended_us).await;
        }
        Retry::AtOnce => {
            let initial = send_once(context, index, arrival, key, 1, intended_us);
            let duplicate = send_once(context, index, arrival, key, 2, intended_us);
            join(initial, duplicate).await;
        }
        Retry::OnFailure => {
            let mut due_us = intended_us;
            for attempt in 1..=MAX_ATTEMPTS {
                if !send_once(context, index, arrival, key, attempt, due_us).await {
                    return;
                }
                let backoff = RETRY_BACKOFF * attempt;
                due_us = context.clock.now_us() + backoff.as_micros() as u64;
                time::sleep(backoff).await;
            }
        }
    }
}

/// Creates the idempotency key: a UUIDv7 with the current time, whose random bits come from the seed.
fn idempotency_key(now_us: u64, seed: u64) -> String {
    let mut random = [0; 10];
    StdRng::seed_from_u64(seed).fill_bytes(&mut random);
    Builder::from_unix_timestamp_millis(now_us / 1_000, &random)
        .into_uuid()
        .to_string()
}

/// Sends an arrival once and records the result; returns whether a caller would retry.
async fn send_once(
    context: &Context,
    index: usize,
    arrival: &Arrival,
    key: Option<&str>,
    attempt: u32,
    intended_us: u64,
) -> bool {
    let address_index = index + attempt as usize - 1;
    let mut record = Record {
        arrival: index,
        attempt,
        caller: arrival.caller,
        kind: arrival.kind,
        target: arrival.target.clone(),
        timeout_ms: arrival.timeout_ms,
        intended_us,
        sent_us: context.clock.now_us(),
        answered_us: 0,
        address: context.addresses[address_index % context.addresses.len()],
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
    let timeout = Duration::from_millis(arrival.timeout_ms) + ANSWER_GRACE;
    let result = context
        .pool
        .send(record.address, request, timeout, attempt > 1)
        .await;
    record.answered_us = context.clock.now_us();
    match result {
        Ok(response) => {
            let mut interner = context.interner.borrow_mut();
            answer::read(&mut record, &response, &mut interner);
        }
        Err(failure) => record.fault = Some(fault(failure.kind)),
    }
    let should_retry = record.fault.is_some() || record.status >= 500;
    context.records.borrow_mut().push(record);
    should_retry
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
        .header(answer::REQUEST_ID_HEADER, &*record.request)
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
        Some(top) => format!(r#"{{"query":{},"top":{top}}}"#, query_of(record)),
        None => format!(r#"{{"query":{}}}"#, query_of(record)),
    };
    body.into()
}

/// Returns the query in a record's request, as JSON.
///
/// It differs between the arrivals of a trace, so that the answer to another request can be detected.
pub fn query_of(record: &Record) -> String {
    serde_json::json!({ "arrival": record.arrival, "caller": record.caller }).to_string()
}

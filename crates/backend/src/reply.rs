//! Decoding of replies from backend servers.
//!
//! A reply is accepted only if it echoes the stamp of its request and, for a query, the shard and
//! snapshot. The rest of it is passed on as raw bytes.

use std::{
    borrow::Cow,
    fmt::Write,
    time::Duration, //
};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    link::{
        Call,
        Query,
        RequestId, //
    },
    outcome::{
        Fault,
        Outcome,
        Reason,
        Refusal,
        Reply, //
    },
};

/// Number of held snapshots that are kept from a refusal.
const MAX_HELD_SNAPSHOTS: usize = 16;

#[derive(Debug, Deserialize)]
struct QueryReply<'a> {
    #[serde(borrow)]
    request: Cow<'a, str>,
    attempt: u32,
    #[serde(borrow)]
    shard: Cow<'a, str>,
    snapshot: u64,
}

#[derive(Debug, Deserialize)]
struct CallReply<'a> {
    #[serde(borrow)]
    request: Cow<'a, str>,
    attempt: u32,
    #[serde(borrow)]
    result: &'a RawValue,
}

#[derive(Debug, Deserialize)]
struct ErrorReply<'a> {
    #[serde(borrow)]
    error: Cow<'a, str>,
    #[serde(default)]
    held: Vec<u64>,
}

/// Status of a request that was cancelled.
const STATUS_CANCELLED: u16 = 499;

/// Decodes the reply to `query`.
pub fn decode_query(
    query: &Query<'_>,
    status: u16,
    retry_after: Option<Duration>,
    body: Bytes,
) -> Outcome {
    if status != 200 {
        return decode_error(status, retry_after, &body);
    }
    match check_query_reply(query, &body) {
        Ok(snapshot) => Outcome::Done(Reply {
            snapshot,
            payload: body,
        }),
        Err(fault) => Outcome::BadReply(fault),
    }
}

fn check_query_reply(query: &Query<'_>, body: &[u8]) -> std::result::Result<u64, Fault> {
    let reply: QueryReply<'_> = serde_json::from_slice(body).map_err(|_| Fault::Body)?;
    match reply {
        reply if !is_request_id(&reply.request, query.stamp.request_id()) => Err(Fault::Request),
        reply if reply.attempt != query.stamp.attempt => Err(Fault::Attempt),
        reply if reply.shard != query.shard => Err(Fault::Shard),
        reply if reply.snapshot != query.snapshot => Err(Fault::Snapshot),
        reply => Ok(reply.snapshot),
    }
}

/// Decodes the reply to `call`.
pub fn decode_call(
    call: &Call<'_>,
    status: u16,
    retry_after: Option<Duration>,
    body: Bytes,
) -> Outcome {
    if status != 200 {
        return decode_error(status, retry_after, &body);
    }
    match call_result(call, &body) {
        Ok(payload) => Outcome::Done(Reply {
            snapshot: 0,
            payload: body.slice_ref(payload),
        }),
        Err(fault) => Outcome::BadReply(fault),
    }
}

fn call_result<'a>(call: &Call<'_>, body: &'a [u8]) -> std::result::Result<&'a [u8], Fault> {
    let reply: CallReply<'a> = serde_json::from_slice(body).map_err(|_| Fault::Body)?;
    match reply {
        reply if !is_request_id(&reply.request, call.stamp.request_id()) => Err(Fault::Request),
        reply if reply.attempt != call.stamp.attempt => Err(Fault::Attempt),
        reply => Ok(reply.result.get().as_bytes()),
    }
}

fn decode_error(status: u16, retry_after: Option<Duration>, body: &[u8]) -> Outcome {
    let Ok(reply) = serde_json::from_slice::<ErrorReply<'_>>(body) else {
        return Outcome::BadReply(Fault::Body);
    };
    let reason = match (status, &*reply.error) {
        (STATUS_CANCELLED, "cancelled") => return Outcome::Cancelled,
        (409, "snapshot") => Reason::Snapshot,
        (503, "shed") => Reason::Shed,
        (503, "draining") => Reason::Draining,
        (504, "deadline") => Reason::Deadline,
        (404, "shard") => Reason::Shard,
        _ => return Outcome::BadReply(Fault::Status),
    };
    let mut held = reply.held;
    held.truncate(MAX_HELD_SNAPSHOTS);
    Outcome::Refused(Refusal {
        reason,
        held,
        retry_after,
    })
}

/// Returns whether `text` is the formatted `id`, without allocating the formatted id.
fn is_request_id(text: &str, id: RequestId) -> bool {
    struct Unmatched<'a>(&'a str);

    impl Write for Unmatched<'_> {
        fn write_str(&mut self, chunk: &str) -> std::fmt::Result {
            self.0 = self.0.strip_prefix(chunk).ok_or(std::fmt::Error)?;
            Ok(())
        }
    }

    let mut unmatched = Unmatched(text);
    write!(unmatched, "{id}").is_ok() && unmatched.0.is_empty()
}

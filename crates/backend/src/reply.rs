//! Decoding of backend servers' replies.
//!
//! A reply is used only if it repeats the stamps of what was asked. The rest of it is passed on as
//! raw bytes.

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
        Name,
        Query, //
    },
    outcome::{
        Fault,
        Outcome,
        Reason,
        Refusal,
        Reply, //
    },
};

/// Longest list of held snapshots that is taken from a refusal.
const HELD_MAX: usize = 16;

#[derive(Debug, Deserialize)]
struct Part<'a> {
    #[serde(borrow)]
    request: Cow<'a, str>,
    attempt: u32,
    #[serde(borrow)]
    shard: Cow<'a, str>,
    snapshot: u64,
}

#[derive(Debug, Deserialize)]
struct Result<'a> {
    #[serde(borrow)]
    request: Cow<'a, str>,
    attempt: u32,
    #[serde(borrow)]
    result: &'a RawValue,
}

#[derive(Debug, Deserialize)]
struct Error<'a> {
    #[serde(borrow)]
    error: Cow<'a, str>,
    #[serde(default)]
    held: Vec<u64>,
}

/// Status that says that the request was cancelled.
const CANCELLED: u16 = 499;

/// Decodes the reply to `query`.
pub fn query(
    query: &Query<'_>,
    status: u16,
    retry_after: Option<Duration>,
    body: Bytes,
) -> Outcome {
    if status != 200 {
        return refusal(status, retry_after, &body);
    }
    match part(query, &body) {
        Ok(snapshot) => Outcome::Done(Reply {
            snapshot,
            payload: body,
        }),
        Err(fault) => Outcome::BadReply(fault),
    }
}

fn part(query: &Query<'_>, body: &[u8]) -> std::result::Result<u64, Fault> {
    let part: Part<'_> = serde_json::from_slice(body).map_err(|_| Fault::Body)?;
    match part {
        part if !names(&part.request, query.stamp.name()) => Err(Fault::Request),
        part if part.attempt != query.stamp.attempt => Err(Fault::Attempt),
        part if part.shard != query.shard => Err(Fault::Shard),
        part if part.snapshot != query.snapshot => Err(Fault::Snapshot),
        part => Ok(part.snapshot),
    }
}

/// Decodes the reply to `call`.
pub fn call(call: &Call<'_>, status: u16, retry_after: Option<Duration>, body: Bytes) -> Outcome {
    if status != 200 {
        return refusal(status, retry_after, &body);
    }
    match result(call, &body) {
        Ok(payload) => Outcome::Done(Reply {
            snapshot: 0,
            payload: body.slice_ref(payload),
        }),
        Err(fault) => Outcome::BadReply(fault),
    }
}

fn result<'a>(call: &Call<'_>, body: &'a [u8]) -> std::result::Result<&'a [u8], Fault> {
    let result: Result<'a> = serde_json::from_slice(body).map_err(|_| Fault::Body)?;
    match result {
        result if !names(&result.request, call.stamp.name()) => Err(Fault::Request),
        result if result.attempt != call.stamp.attempt => Err(Fault::Attempt),
        result => Ok(result.result.get().as_bytes()),
    }
}

fn refusal(status: u16, retry_after: Option<Duration>, body: &[u8]) -> Outcome {
    let Ok(error) = serde_json::from_slice::<Error<'_>>(body) else {
        return Outcome::BadReply(Fault::Body);
    };
    let reason = match (status, &*error.error) {
        (CANCELLED, "cancelled") => return Outcome::Cancelled,
        (409, "snapshot") => Reason::Snapshot,
        (503, "shed") => Reason::Shed,
        (503, "draining") => Reason::Draining,
        (504, "deadline") => Reason::Deadline,
        (404, "shard") => Reason::Shard,
        _ => return Outcome::BadReply(Fault::Status),
    };
    let mut held = error.held;
    held.truncate(HELD_MAX);
    Outcome::Refused(Refusal {
        reason,
        held,
        retry_after,
    })
}

/// Compares without building the name.
fn names(text: &str, name: Name) -> bool {
    struct Rest<'a>(&'a str);

    impl Write for Rest<'_> {
        fn write_str(&mut self, piece: &str) -> std::fmt::Result {
            self.0 = self.0.strip_prefix(piece).ok_or(std::fmt::Error)?;
            Ok(())
        }
    }

    let mut rest = Rest(text);
    write!(rest, "{name}").is_ok() && rest.0.is_empty()
}

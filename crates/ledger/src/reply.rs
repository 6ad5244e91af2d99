//! Replies that the ledger itself creates.

use std::time::Duration;

use bytes::Bytes;
use wire::{
    CallReply,
    Failure,
    Reason, //
};

use crate::{
    key::Fault,
    object::State, //
};

/// Time after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns a refusal that states that no request with the key has run.
pub(crate) fn not_run(reason: Reason) -> CallReply {
    refusal(reason, true)
}

/// Returns a refusal that states that a request with the key may have run.
pub(crate) fn may_have_run(reason: Reason) -> CallReply {
    refusal(reason, false)
}

/// Returns the refusal of an invalid key.
///
/// No instance accepts a malformed key, so that no request with it has run. A key that is expired
/// or in the future may have been claimed earlier, or by an instance whose clock differs.
pub(crate) fn invalid_key(fault: Fault) -> CallReply {
    refusal(Reason::KeyExpired, fault == Fault::Malformed)
}

/// Returns the recorded reply of a call.
pub(crate) fn recorded(status: u32, server: &str, payload: Option<&str>) -> CallReply {
    CallReply {
        failure: None,
        status,
        payload: payload.map_or_else(Bytes::new, |text| Bytes::copy_from_slice(text.as_bytes())),
        server: server.to_owned(),
        recorded: true,
    }
}

/// Returns the outcome to record for a backend server's reply.
pub(crate) fn outcome(reply: &CallReply) -> State {
    match &reply.failure {
        None => State::done(reply.status, &reply.server, &reply.payload),
        Some(failure) if failure.not_run => State::NotRun,
        Some(_) => State::Unknown,
    }
}

fn refusal(reason: Reason, not_run: bool) -> CallReply {
    let is_retryable = matches!(
        reason,
        Reason::Platform | Reason::Overloaded | Reason::Stopping | Reason::OutcomeUnknown
    );
    let retry_after_ms = match is_retryable {
        true => RETRY_AFTER.as_millis() as u64,
        false => 0,
    };
    CallReply {
        failure: Some(Failure {
            reason: reason.into(),
            not_run,
            retry_after_ms,
            held: Vec::new(),
        }),
        ..CallReply::default()
    }
}

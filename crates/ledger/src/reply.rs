//! Replies that the ledger makes itself.

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

/// Time after which a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Makes a refusal that says that no request with the key has run.
pub(crate) fn not_run(reason: Reason) -> CallReply {
    refusal(reason, true)
}

/// Makes a refusal that says that a request with the key may have run.
pub(crate) fn may_have_run(reason: Reason) -> CallReply {
    refusal(reason, false)
}

/// Makes the refusal of a key that can't be claimed.
///
/// A malformed one is refused wherever it goes. One that is out of its time here may have been
/// claimed in time, or by a clock that differs.
pub(crate) fn unfit(fault: Fault) -> CallReply {
    refusal(Reason::KeyExpired, fault == Fault::Malformed)
}

/// Makes the reply that repeats an answered call.
pub(crate) fn recorded(status: u32, server: &str, payload: Option<&str>) -> CallReply {
    CallReply {
        failure: None,
        status,
        payload: payload.map_or_else(Bytes::new, |text| Bytes::copy_from_slice(text.as_bytes())),
        server: server.to_owned(),
        recorded: true,
    }
}

/// Returns the outcome that a backend server's reply stands for.
pub(crate) fn outcome(reply: &CallReply) -> State {
    match &reply.failure {
        None => State::done(reply.status, &reply.server, &reply.payload),
        Some(failure) if failure.not_run => State::NotRun,
        Some(_) => State::Unknown,
    }
}

fn refusal(reason: Reason, not_run: bool) -> CallReply {
    let comes_back = matches!(
        reason,
        Reason::Platform | Reason::Overloaded | Reason::Stopping | Reason::OutcomeUnknown
    );
    let retry_after_ms = match comes_back {
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

//! Runs one call to a service.

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use ledger::Ledger;
use monoio::time::timeout;
use platform::Store;
use uuid::Uuid;
use wire::{
    client::Error,
    CallReply,
    CallRequest,
    Reason, //
};

use crate::{
    answer,
    entry::Entry,
    problem::{
        Kind,
        Problem,
        Run, //
    },
    request::Head,
    router::{
        failed_reply,
        Router, //
    },
};

/// Time before the deadline that is reserved for sending the answer to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(3);
/// Time between two probes of a home instance that hasn't replied yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a call to `service` and returns the answer's body.
///
/// A call with a key runs at most once. A call without a key is taken for idempotent and may run
/// more than once.
///
/// # Errors
///
/// Fails if the service is unknown, the call failed or its answer can't be written. The problem says
/// whether the call may have run.
pub async fn run<S: Store>(
    entry: &Entry<S>,
    head: &Head,
    service: &str,
    key: Option<Uuid>,
    body: Bytes,
) -> Result<Bytes, Problem> {
    if !head.view.catalog.services.contains_key(service) {
        let detail = format!("no such service: {service}");
        return Err(Problem::new(Kind::UnknownService, Run::NotRun, detail));
    }
    let request = request(head, service, key, body);
    let deadline = head.deadline - ANSWER_MARGIN;
    let reply = match key {
        None => entry.router.send(request, deadline).await,
        Some(_) => run_keyed(entry, request, deadline).await,
    };
    match &reply.failure {
        Some(failure) => Err(Problem::from_failure(failure)),
        None => answer::write_call(head.id.to_string(), service, &reply)
            .map_err(|error| Problem::new(Kind::BadReply, Run::MayHaveRun, error.to_string())),
    }
}

fn request(head: &Head, service: &str, key: Option<Uuid>, body: Bytes) -> CallRequest {
    CallRequest {
        head: Some(wire::Head {
            request: Bytes::copy_from_slice(head.id.as_bytes()),
            attempt: 1,
            snapshot: 0,
            budget_us: head.time_left().as_micros() as u64,
            presets: head.view.versions.presets,
            class: head.view.preset.class(service).number(),
        }),
        service: service.to_owned(),
        key: key.map(|key| key.to_string()).unwrap_or_default(),
        body,
    }
}

/// Runs a keyed call at its home instance, at the next candidate if that one didn't take it, and
/// otherwise in this instance's ledger.
///
/// If the home instance stops replying after the call was sent, the outcome is settled in the ledger.
async fn run_keyed<S: Store>(
    entry: &Entry<S>,
    request: CallRequest,
    deadline: Instant,
) -> CallReply {
    let partition = Ledger::<S, Router<S>>::partition(&request.key);
    for home in entry.router.homes(partition).iter().take(2) {
        if entry.router.fleet.is_local(home) {
            return entry.ledger.call(request, deadline).await;
        }
        match call_home(entry, home, request.clone(), deadline).await {
            // The home instance is shutting down and refused the call, so the next one may take it.
            Ok(reply) if is_stopping(&reply) => {}
            Ok(reply) => return reply,
            // Nothing was sent, so the next home instance may take the call.
            Err(Error::Unreachable) => entry.router.report_unresponsive(home),
            Err(Error::Broken) if Instant::now() < deadline => {
                return entry.ledger.settle(request, deadline).await;
            }
            Err(Error::Broken) => return failed_reply(Reason::OutcomeUnknown, false),
        }
    }
    entry.ledger.call(request, deadline).await
}

fn is_stopping(reply: &CallReply) -> bool {
    let failure = reply.failure.as_ref();
    failure.is_some_and(|failure| failure.reason() == Reason::Stopping)
}

/// Sends the call to `home` and probes it until it replies.
///
/// # Errors
///
/// Fails as the call does, or with [`Error::Broken`] if a probe gets no reply or the deadline passes.
async fn call_home<S: Store>(
    entry: &Entry<S>,
    home: &fleet::Member,
    request: CallRequest,
    deadline: Instant,
) -> Result<CallReply, Error> {
    let call = entry.router.peers.call(home.address, request);
    futures_util::pin_mut!(call);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match timeout(PROBE_INTERVAL.min(remaining), &mut call).await {
            Ok(reply) => return reply,
            Err(_) if remaining <= PROBE_INTERVAL => return Err(Error::Broken),
            Err(_) => {}
        }
        if !entry.router.is_alive(home).await {
            return Err(Error::Broken);
        }
    }
}

//! Runs one call of a service.

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
        refusal,
        Router, //
    },
};

/// Time before the deadline that is kept for the way back.
const REPLY: Duration = Duration::from_millis(3);
/// Time after which a silent home is probed.
const PATIENCE: Duration = Duration::from_millis(100);

/// Runs a call of `service` and returns the answer's body.
///
/// With a key the call runs at most once. Without one it is idempotent.
///
/// # Errors
///
/// Fails if the service is unknown, or with what became of the call.
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
    let deadline = head.deadline - REPLY;
    let reply = match key {
        None => entry.router.send(request, deadline).await,
        Some(_) => keyed(entry, request, deadline).await,
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
            budget_us: head.left().as_micros() as u64,
            presets: head.view.versions.presets,
            class: head.view.preset.class(service).number(),
        }),
        service: service.to_owned(),
        key: key.map(|key| key.to_string()).unwrap_or_default(),
        body,
    }
}

/// Runs a keyed call at its home; a home that went silent is settled from the ledger.
async fn keyed<S: Store>(entry: &Entry<S>, request: CallRequest, deadline: Instant) -> CallReply {
    let partition = Ledger::<S, Router<S>>::partition(&request.key);
    for home in entry.router.homes(partition).iter().take(2) {
        if entry.router.fleet.is_local(home) {
            return entry.ledger.call(request, deadline).await;
        }
        match at_home(entry, home, request.clone(), deadline).await {
            // A home that stops has taken nothing on, and the next one may.
            Ok(reply) if is_stopping(&reply) => {}
            Ok(reply) => return reply,
            // Nothing was sent, so the next home may take the call.
            Err(Error::Unreachable) => entry.router.lost(home),
            Err(Error::Broken) if Instant::now() < deadline => {
                return entry.ledger.settle(request, deadline).await;
            }
            Err(Error::Broken) => return refusal(Reason::OutcomeUnknown, false),
        }
    }
    entry.ledger.call(request, deadline).await
}

fn is_stopping(reply: &CallReply) -> bool {
    let failure = reply.failure.as_ref();
    failure.is_some_and(|failure| failure.reason() == Reason::Stopping)
}

/// Calls the home and, while it doesn't reply, probes it.
async fn at_home<S: Store>(
    entry: &Entry<S>,
    home: &fleet::Member,
    request: CallRequest,
    deadline: Instant,
) -> Result<CallReply, Error> {
    let call = entry.router.peers.call(home.address, request);
    futures_util::pin_mut!(call);
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        match timeout(PATIENCE.min(left), &mut call).await {
            Ok(reply) => return reply,
            Err(_) if left <= PATIENCE => return Err(Error::Broken),
            Err(_) => {}
        }
        if !entry.router.is_alive(home).await {
            return Err(Error::Broken);
        }
    }
}

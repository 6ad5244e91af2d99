//! Passes requests on to other instances: to those that have more processor time, and to any while this instance has
//! lost its links to the backend servers.
//!
//! A peer listens on a separate port and speaks the same protocol as for callers, so a hop is an exchange
//! on a [`crate::connection`], whose reply is passed on unchanged. Two additional headers carry the
//! sender's state and whether the peer declined the request.

use std::{
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{
    select,
    Either, //
};
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Response, //
};
use monoio::time::sleep_until;
use policy::health::Transition;
use route::{
    Route,
    Target, //
};
use tracing::info;

use crate::{
    answer,
    call::latency_multiple,
    connection::{
        Failure,
        Reply, //
    },
    hop, liveness,
    relay::{
        Relay,
        DEADLINE_OBJECTIVES, //
    },
    request::CallerRequest,
    server::{
        Exchange,
        Server, //
    },
    service::Service,
};

/// In a reply: ids of servers that said that they are leaving, separated by commas.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("tanageryoke-leaving");
/// In a reply: ids of servers that name a limit, each with `=` and the limit, separated by commas.
const LIMITS_HEADER: HeaderName = HeaderName::from_static("tanageryoke-limits");
/// Present if a peer declined the request; [`ABANDONED`] if it may have run.
const DECLINED_HEADER: HeaderName = HeaderName::from_static("tanageryoke-declined");

/// In the reply to a declined request: the version of the peer's configuration, which the sender didn't know of.
const VERSION_HEADER: HeaderName = HeaderName::from_static("tanageryoke-version");

/// Value of [`DECLINED_HEADER`] for a request that a peer gave up after servers may have run it.
const ABANDONED: HeaderValue = HeaderValue::from_static("abandoned");

/// Latency objective and timeout of a request whose route this instance doesn't know.
const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(500);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests in flight above which an instance declines those of peers: more would wait for the processor.
const MAX_IN_FLIGHT: usize = 48;
/// Time without any reply of a peer after which a request to it is given up, as a multiple of the latency objective: the
/// caller still has time to try another instance.
const UNRESPONSIVE_OBJECTIVES: u32 = 2;
/// Share of that time after which the peer is probed.
const PROBE_SHARE: f64 = 0.5;
/// Maximum number of peers that are tried for one request: each that declines costs a round trip.
const MAX_PEERS_PER_REQUEST: usize = 3;
/// Maximum number of peers that are tried for one request while the links of this instance are lost: those of several
/// others may be lost as well.
const MAX_PEERS_WITHOUT_LINKS: usize = 8;
/// Maximum number of leaving servers that a reply names: the latest ones.
const MAX_LEAVING: usize = 64;
/// Maximum number of limits that a reply names; the next replies name others.
const MAX_LIMITS: usize = 32;
/// Minimum timeout of a peer; also the `Retry-After` of a declined request.
const MIN_WAIT: Duration = Duration::from_millis(150);
/// Baseline latency of a peer as a share of the latency objective.
const BASELINE_SHARE: f64 = 0.5;

/// Result of passing a request on to peers.
#[derive(Debug)]
pub(crate) enum Delegation {
    /// A peer answered it.
    Answered(Response<Bytes>),
    /// No peer answers it.
    NotTaken {
        /// Whether one gave it up after servers may have run it; it may run again.
        may_have_run: bool,
    },
    /// A peer may have run it.
    MayHaveRun,
}

/// Passes a request on to a peer, and to the next one if it declines.
///
/// `route` is the route in this instance's configuration, if any. It only sets the waits here; the peer
/// matches the request in its own configuration, which is at least as new.
pub(crate) async fn delegate(
    relay: &Relay,
    caller_request: &CallerRequest,
    route: Option<&Route>,
) -> Delegation {
    let objective = route.map_or(DEFAULT_OBJECTIVE, |route| route.objective);
    let reply_timeout = route.map_or(DEFAULT_TIMEOUT, max_processing_time);
    let is_unlinked = relay.registry().links().are_lost();
    let max_peers = match is_unlinked {
        true => MAX_PEERS_WITHOUT_LINKS,
        false => MAX_PEERS_PER_REQUEST,
    };
    let mut tried: Vec<Rc<Server>> = Vec::new();
    let mut may_have_run = false;
    while tried.len() < max_peers {
        let baseline = objective.mul_f64(BASELINE_SHARE);
        let peers = relay.registry().peers();
        let Some((service, peer)) = peers.try_choose(baseline, &tried, is_unlinked) else {
            break;
        };
        let attempt = PeerAttempt {
            relay,
            caller_request,
            service,
            peer: peer.clone(),
            objective,
            reply_timeout,
        };
        let attempted = attempt.run().await;
        // The peer takes the request once this instance knows of its version.
        if !matches!(attempted, Attempted::Outdated) {
            tried.push(peer);
        }
        match attempted {
            Attempted::Outdated => {}

            Attempted::Answered(answer) => return Delegation::Answered(answer),
            Attempted::Declined { is_abandoned } => may_have_run |= is_abandoned,
            // This instance answers the request instead, if it has links.
            Attempted::Unsent if is_unlinked => {}
            Attempted::Unsent => break,
            Attempted::Lost => return Delegation::MayHaveRun,
        }
    }
    Delegation::NotTaken { may_have_run }
}

/// Returns the time after which a peer has answered or given up a request on a route.
fn max_processing_time(route: &Route) -> Duration {
    match &route.target {
        Target::Gather(_) => {
            let given_up = route.objective * (1 + DEADLINE_OBJECTIVES);
            route.timeout.min(given_up.max(MIN_WAIT))
        }
        _ => route.timeout,
    }
}

/// Result of one attempt to pass a request on to a peer.
enum Attempted {
    /// The peer answered it.
    Answered(Response<Bytes>),
    /// The peer declined it.
    Declined {
        /// Whether it did so after servers may have run it.
        is_abandoned: bool,
    },
    /// The peer has a later configuration than this instance knew of, and knows now.
    Outdated,
    /// No byte of it was sent.
    Unsent,
    /// It was sent, and no answer arrived.
    Lost,
}

/// One attempt to pass a request on to a peer.
struct PeerAttempt<'a> {
    relay: &'a Relay,
    caller_request: &'a CallerRequest,
    service: Rc<Service>,
    peer: Rc<Server>,
    objective: Duration,
    reply_timeout: Duration,
}

impl PeerAttempt<'_> {
    /// Runs the exchange.
    async fn run(&self) -> Attempted {
        let Self {
            relay,
            caller_request,
            peer,
            ..
        } = self;
        let now = Instant::now();
        let baseline = self.objective.mul_f64(BASELINE_SHARE);
        let result = self.exchange(now, baseline).await;
        let id = caller_request.id.to_str().unwrap_or("unprintable");
        let ms = now.elapsed().as_millis() as u64;
        match result {
            Some(Ok(Ok(reply))) if learn_version(relay, &reply) => {
                let version = relay.known_version();
                info!(request = id, peer = %peer.id(), ms, version, "peer: it has a later configuration.");
                Attempted::Outdated
            }
            Some(Ok(Ok(reply))) if reply.headers().contains_key(DECLINED_HEADER) => {
                let is_out = peer.record_failure(Instant::now()) != Transition::None;
                let is_abandoned = reply.headers()[DECLINED_HEADER] == ABANDONED;
                info!(request = id, peer = %peer.id(), ms, is_out, is_abandoned, "peer: request declined.");
                relay.meter().declined.add(1);
                Attempted::Declined { is_abandoned }
            }
            Some(Ok(Ok(reply))) if reply.headers().contains_key(hop::HEADER) => {
                peer.record_success(Instant::now());
                peer.record_latency(Instant::now(), latency_multiple(now.elapsed(), baseline));
                record_hop_overhead(relay, &reply, now.elapsed());
                relay.meter().delegated.add(1);
                record_notices(relay, &reply);
                info!(request = id, peer = %peer.id(), status = reply.status().as_u16(), ms, "peer: answered.");
                Attempted::Answered(answer::from_reply(reply))
            }
            failure => self.failed(id, ms, failure),
        }
    }

    /// Sends the request and waits for the reply; returns none if it doesn't arrive in time.
    ///
    /// The wait is cut short if the peer is unresponsive.
    async fn exchange(&self, now: Instant, baseline: Duration) -> Option<ExchangeResult> {
        let Self {
            relay,
            caller_request,
            peer,
            ..
        } = self;
        let time_left = self
            .reply_timeout
            .min(caller_request.time_left(now).unwrap_or(self.reply_timeout));
        let stated_wait = caller_request.time_left(now).unwrap_or(time_left);
        let mut request = caller_request.outgoing(relay.names(), peer.target(), stated_wait);
        sender(relay, caller_request, now).add_to(request.headers_mut());
        let number = self.service.next_exchange();
        let sent = peer.send(Exchange {
            request,
            id: (relay.names().request.clone(), caller_request.id.clone()),
            number,
            deadline: now + time_left,
            baseline,
            is_at_most_once: false,
            witness: None,
            used: &[],
            needs_new_connection: false,
        });
        let result = {
            let unresponsive = pin!(self.unresponsive(now));
            let deadline = pin!(sleep_until((now + time_left).into()));
            let given_up = select(unresponsive, deadline);
            match select(sent.receiver, given_up).await {
                Either::Left((result, _)) => Some(result),
                Either::Right(_) => None,
            }
        };
        peer.remove_pending(number);
        result
    }

    /// Completes once the peer is unresponsive: it replies neither to any request nor to a probe for a while.
    async fn unresponsive(&self, sent_at: Instant) {
        let max_silence = (self.objective * UNRESPONSIVE_OBJECTIVES).max(MIN_WAIT);
        let mut since = sent_at;
        loop {
            let until = since + max_silence;
            sleep_until((since + max_silence.mul_f64(PROBE_SHARE)).into()).await;
            let time_left = until.saturating_duration_since(Instant::now());
            let replies = liveness::probe(self.peer.address(), time_left).await;
            sleep_until(until.into()).await;
            let is_responsive = replies || self.peer.has_replied_since(since);
            let id = self.caller_request.id.to_str().unwrap_or("unprintable");
            let ms = sent_at.elapsed().as_millis() as u64;
            info!(request = id, peer = %self.peer.id(), ms, is_responsive, "peer: no answer for a while.");
            if !is_responsive {
                return;
            }
            since = until;
        }
    }

    fn failed(&self, id: &str, ms: u64, failure: Option<ExchangeResult>) -> Attempted {
        let peer = &self.peer;
        self.relay.meter().peer_failures.add(1);
        let was_sent = !matches!(&failure, Some(Ok(Err(failure))) if !failure.sent);
        let now = Instant::now();
        let change = match was_sent {
            true => peer.record_failure(now),
            false => peer.record_unreachable(now),
        };
        let is_out = change != Transition::None;
        let failure = describe_failure(failure);
        info!(request = id, peer = %peer.id(), failure, was_sent, ms, is_out, "peer: request failed.");
        match was_sent {
            true => Attempted::Lost,
            false => Attempted::Unsent,
        }
    }
}

/// Records the hop overhead: the time that a hop took less the time that the peer reports.
fn record_hop_overhead(relay: &Relay, reply: &Reply, took: Duration) {
    let peer_took = reply.headers().get(hop::HEADER);
    let peer_took = peer_took.and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(peer_took) = peer_took.map(Duration::from_micros) {
        let overhead = took.saturating_sub(peer_took);
        relay.registry().peers().record_hop_overhead(overhead);
    }
}

/// Result of an exchange with a peer.
type ExchangeResult = Result<Result<Reply, Failure>, oneshot::Canceled>;

fn describe_failure(failure: Option<ExchangeResult>) -> String {
    match failure {
        Some(Ok(Err(failure))) => failure.to_string(),
        Some(Ok(Ok(reply))) => format!("not from an instance, status {}", reply.status()),
        Some(Err(_)) => "the connection's task ended".to_owned(),
        None => "no answer in time".to_owned(),
    }
}

/// Returns what a peer is told of this instance with a request.
fn sender(relay: &Relay, caller_request: &CallerRequest, now: Instant) -> hop::Sender {
    let elapsed_here = now.saturating_duration_since(caller_request.arrived_at);
    let hop_overhead = relay.registry().peers().hop_overhead();
    hop::Sender {
        version: relay.known_version(),
        reaches_store: !relay.registry().is_store_unavailable(),
        waited: caller_request.waited + elapsed_here + hop_overhead,
        learns_versions: true,
    }
}

/// Records the version that a peer states which declined a request; returns whether it is later than the known ones.
fn learn_version(relay: &Relay, reply: &Reply) -> bool {
    let is_declined = reply.headers().contains_key(DECLINED_HEADER);
    let stated = reply.headers().get(VERSION_HEADER).filter(|_| is_declined);
    let stated = stated.and_then(|version| version.to_str().ok()?.parse().ok());
    stated.is_some_and(|version| relay.learn_version(version))
}

/// Removes the headers that instances exchange, which a server's reply must not set.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in [
        hop::HEADER,
        LEAVING_HEADER,
        LIMITS_HEADER,
        DECLINED_HEADER,
        VERSION_HEADER,
    ] {
        headers.remove(name);
    }
}

/// Returns the items of a header with a comma-separated list; none if it is missing or isn't text.
fn list_items<'a>(reply: &'a Reply, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    let list = reply.headers().get(name);
    let list = list.and_then(|list| list.to_str().ok()).unwrap_or_default();
    list.split(',').filter(|item| !item.is_empty())
}

/// Inserts a header with a comma-separated list, unless the list is empty.
fn insert_list(answer: &mut Response<Bytes>, name: HeaderName, list: &str) {
    match HeaderValue::from_str(list) {
        Ok(list) if !list.is_empty() => drop(answer.headers_mut().insert(name, list)),
        _ => {}
    }
}

/// Records what servers stated about themselves to the peer, as this instance passes on the replies that did.
fn record_notices(relay: &Relay, reply: &Reply) {
    let now = Instant::now();
    for id in list_items(reply, &LEAVING_HEADER) {
        relay.registry().mark_leaving(id, now);
    }
    let limits = list_items(reply, &LIMITS_HEADER).filter_map(|limit| limit.rsplit_once('='));
    for (id, per_s) in limits {
        if let Ok(per_s) = per_s.parse() {
            relay.registry().name_limit(id, per_s, now);
        }
    }
}

/// Why an instance declines a peer's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decline {
    /// It is shutting down.
    Leaving,
    /// It has too many requests in flight.
    Full,
    /// The sender knows of a newer configuration.
    Older,
    /// The sender doesn't know of the configuration of this instance. It must, so that it doesn't have a later request
    /// answered by an older one.
    Newer,
    /// The store is available to the sender, but not to this instance.
    CutOff,
    /// Its links to the backend servers are lost.
    Unlinked,
    /// Its links were lost while servers were working on the request, which may run again.
    Abandoned,
}

/// Decides whether to accept a peer's request.
///
/// # Errors
///
/// Returns the reason why the request is declined.
pub(crate) fn admit(relay: &Relay, sender: hop::Sender) -> Result<(), Decline> {
    let version = relay.table().map_or(0, |table| table.version());
    match () {
        () if relay.is_draining() => Err(Decline::Leaving),
        () if relay.in_flight() > MAX_IN_FLIGHT => Err(Decline::Full),
        () if relay.registry().links().are_lost() => Err(Decline::Unlinked),
        () if version < sender.version => Err(Decline::Older),
        () if relay.registry().is_store_unavailable() && sender.reaches_store => {
            Err(Decline::CutOff)
        }
        () if version > sender.version && sender.learns_versions => Err(Decline::Newer),
        () => Ok(()),
    }
}

/// Marks an answer as coming from an instance, with the time that it took and what servers state about
/// themselves.
pub(crate) fn mark_as_peer_answer(relay: &Relay, answer: &mut Response<Bytes>, took: Duration) {
    let took_us = HeaderValue::from(took.as_micros() as u64);
    answer.headers_mut().insert(hop::HEADER, took_us);
    let leaving = relay.registry().leaving_servers();
    let first = leaving.len().saturating_sub(MAX_LEAVING);
    insert_list(answer, LEAVING_HEADER, &leaving[first..].join(","));
    let limits = relay.registry().next_limits(MAX_LIMITS);
    let limits = limits.iter().map(|(id, per_s)| format!("{id}={per_s}"));
    insert_list(answer, LIMITS_HEADER, &limits.collect::<Vec<_>>().join(","));
}

/// Builds the answer to a declined request.
pub(crate) fn decline_answer(relay: &Relay, decline: Decline) -> Response<Bytes> {
    info!(?decline, "peer: request of a peer declined.");
    let mut answer = answer::refusal("declined", MIN_WAIT);
    let value = match decline {
        Decline::Abandoned => ABANDONED,
        _ => HeaderValue::from_static("1"),
    };
    answer.headers_mut().insert(DECLINED_HEADER, value);
    if decline == Decline::Newer {
        let version = relay.table().map_or(0, |table| table.version());
        let version = HeaderValue::from(version);
        answer.headers_mut().insert(VERSION_HEADER, version);
    }
    answer
}

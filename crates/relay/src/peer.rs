//! Requests that another instance answers, because it has more processor time.
//!
//! A peer answers on a port of its own, in the protocol that callers speak: a hop is then an exchange
//! on a [`crate::link`], whose answer is passed on as it is. Two headers of the relay's own tell what
//! the sender knows and whether the peer took the query.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_channel::oneshot;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Response, //
};
use monoio::time::timeout;
use policy::{
    health::Change,
    lag::Lag, //
};
use route::Route;
use tracing::info;

use crate::{
    answer,
    call::multiple,
    link::{
        Failure,
        Reply, //
    },
    relay::Relay,
    request::Asked,
    server::{
        Description,
        Server, //
    },
    service::Service,
};

/// Carries the configuration's version that the sender knows, whether it reaches the store, and the time
/// that its caller has waited, in microseconds. In an answer, the time that the peer took.
const HOP: HeaderName = HeaderName::from_static("tanageryoke-hop");
/// Present where a peer states that it didn't take a query.
const DECLINED: HeaderName = HeaderName::from_static("tanageryoke-declined");

/// Objective and longest wait of a request whose route this instance doesn't know.
const OBJECTIVE: Duration = Duration::from_millis(500);
const LONGEST: Duration = Duration::from_secs(10);
/// Connections to one peer; a request more than that is answered here.
const CONNECTIONS: usize = 32;
/// Requests that an instance answers for others at the same time: more would wait for the processor.
const TAKEN_MAX: usize = 48;
/// Multiple of the objective after which a peer that answers nobody isn't waited for any more: its
/// callers can still ask another instance.
const PATIENCE: u32 = 2;
/// Peers that are asked for one request at most: each that declines costs a way there and back.
const PEERS_MAX: usize = 3;
/// Shortest wait for a peer.
const WAIT_LEAST: Duration = Duration::from_millis(150);
/// Share of the objective that a gathered query usually takes.
const USUAL_SHARE: f64 = 0.5;

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Address at which peers are answered.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Processor time that it has, in cores.
    pub power: f64,
}

/// The instances that gather queries for this one.
#[derive(Debug)]
pub struct Peers {
    service: Rc<Service>,
    members: RefCell<Vec<Member>>,
    /// What hops take beyond the work of the peer.
    lag: RefCell<Lag>,
}

impl Peers {
    /// Makes an empty set.
    pub(crate) fn new(service: Rc<Service>) -> Self {
        Self {
            service,
            members: RefCell::default(),
            lag: RefCell::default(),
        }
    }

    /// Returns whether any of them can be asked now.
    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        self.service.is_reachable(now)
    }

    /// Records what a hop took beyond what the peer says that it took itself.
    fn record_lag(&self, reply: &Reply, took: Duration) {
        let own = reply.headers().get(HOP);
        let own = own.and_then(|own| own.to_str().ok()?.parse().ok());
        if let Some(own) = own.map(Duration::from_micros) {
            self.lag.borrow_mut().record(took.saturating_sub(own));
        }
    }

    /// Takes the instances that gather for this one; none if it gathers itself.
    pub(crate) fn set(&self, members: Vec<Member>) {
        let was = self.members.replace(members.clone());
        if was == members {
            return;
        }
        let now = Instant::now();
        for server in self.service.servers() {
            let stays = |member: &Member| {
                *member.name == **server.id() && member.address == server.description().address
            };
            if !members.iter().any(stays) {
                server.close();
                self.service.remove(&server);
            }
        }
        for member in members {
            let known = self.service.servers();
            if !known.iter().any(|server| **server.id() == *member.name) {
                let server = Server::peer(description(member), &self.service, now);
                server.set_connections(CONNECTIONS);
                self.service.add(server);
            }
        }
    }
}

fn description(member: Member) -> Description {
    Description {
        id: member.name,
        service: Arc::from("peers"),
        address: member.address,
        zone: member.zone,
        slots: CONNECTIONS,
        draining: false,
        warmup: Duration::ZERO,
        born: None,
    }
}

/// How a request that was passed on to a peer ended.
#[derive(Debug)]
pub(crate) enum Passed {
    /// The peer answered it.
    Answered(Response<Bytes>),
    /// No peer took it.
    NotTaken,
    /// A peer may have run it.
    MayHaveRun,
}

/// Passes a request on to a peer; one that declines it is followed by another.
///
/// `route` is what this instance knows of the request; a peer that knows better decides.
pub(crate) async fn ask(relay: &Relay, asked: &Asked, route: Option<&Route>) -> Passed {
    let service = &relay.registry().peers().service;
    let objective = route.map_or(OBJECTIVE, |route| route.objective);
    let limit = route.map_or(LONGEST, |route| route.timeout);
    let mut tried: Vec<Rc<Server>> = Vec::new();
    while tried.len() < PEERS_MAX {
        let usual = objective.mul_f64(USUAL_SHARE);
        let Some(peer) = service.choose_now(usual, &tried) else {
            return Passed::NotTaken;
        };
        tried.push(peer.clone());
        let hop = Hopping {
            relay,
            asked,
            peer,
            objective,
            limit,
        };
        match hop.run().await {
            Some(passed) => return passed,
            None => relay.meter().declined.add(1),
        }
    }
    Passed::NotTaken
}

/// A request on its way to one peer.
struct Hopping<'a> {
    relay: &'a Relay,
    asked: &'a Asked,
    peer: Rc<Server>,
    objective: Duration,
    limit: Duration,
}

impl Hopping<'_> {
    /// Runs the exchange; returns none if the peer declines.
    async fn run(&self) -> Option<Passed> {
        let Self {
            relay, asked, peer, ..
        } = self;
        let now = Instant::now();
        let usual = self.objective.mul_f64(USUAL_SHARE);
        let result = self.exchange(now, usual).await;
        let id = asked.id.to_str().unwrap_or("unprintable");
        let ms = now.elapsed().as_millis() as u64;
        match result {
            Some(Ok(Ok(reply))) if reply.headers().contains_key(DECLINED) => {
                let is_out = peer.failed(Instant::now()) != Change::None;
                info!(request = id, peer = %peer.id(), ms, is_out, "peer: request declined.");
                None
            }
            Some(Ok(Ok(reply))) if reply.headers().contains_key(HOP) => {
                peer.served();
                peer.record(Instant::now(), multiple(now.elapsed(), usual));
                relay.registry().peers().record_lag(&reply, now.elapsed());
                relay.meter().delegated.add(1);
                info!(request = id, peer = %peer.id(), status = reply.status().as_u16(), ms, "peer: answered.");
                Some(Passed::Answered(finish(reply)))
            }
            failure => Some(self.failed(id, ms, failure)),
        }
    }

    /// Sends the request and waits for the answer, as long as the peer answers anyone.
    async fn exchange(&self, now: Instant, usual: Duration) -> Option<Answered> {
        let Self {
            relay, asked, peer, ..
        } = self;
        let left = self.limit.min(asked.left(now).unwrap_or(self.limit));
        let told = asked.left(now).unwrap_or(left);
        let mut request = asked.outgoing(relay.names(), peer.target(), told);
        request.headers_mut().insert(HOP, hop(relay, asked, now));
        let number = relay.registry().peers().service.next_exchange();
        let mut receiver = peer.send(request, number, now + left, usual, false);
        let doubt = left.min((self.objective * PATIENCE).max(WAIT_LEAST));
        let mut result = timeout(doubt, &mut receiver).await;
        if result.is_err() && peer.has_answered_since(now) {
            result = timeout(left.saturating_sub(now.elapsed()), receiver).await;
        }
        peer.forget(number);
        result.ok()
    }

    fn failed(&self, id: &str, ms: u64, failure: Option<Answered>) -> Passed {
        let peer = &self.peer;
        self.relay.meter().peer_failures.add(1);
        let was_sent = !matches!(&failure, Some(Ok(Err(failure))) if !failure.sent);
        let now = Instant::now();
        let change = match was_sent {
            true => peer.failed(now),
            false => peer.lost(now),
        };
        let is_out = change != Change::None;
        let failure = describe(failure);
        info!(request = id, peer = %peer.id(), failure, was_sent, ms, is_out, "peer: request isn't answered.");
        match was_sent {
            true => Passed::MayHaveRun,
            false => Passed::NotTaken,
        }
    }
}

/// What came of an exchange with a peer.
type Answered = Result<Result<Reply, Failure>, oneshot::Canceled>;

fn describe(failure: Option<Answered>) -> String {
    match failure {
        Some(Ok(Err(failure))) => failure.to_string(),
        Some(Ok(Ok(reply))) => format!("not from an instance, status {}", reply.status()),
        Some(Err(_)) => "the connection's task ended".to_owned(),
        None => "no answer in time".to_owned(),
    }
}

fn hop(relay: &Relay, asked: &Asked, now: Instant) -> HeaderValue {
    let version = relay.table().map_or(0, |table| table.version());
    let reaches = u8::from(!relay.registry().is_store_lost());
    let here = now.saturating_duration_since(asked.arrived);
    let lag = relay.registry().peers().lag.borrow().usual();
    let waited_us = (asked.waited + here + lag).as_micros();
    let text = format!("{version};{reaches};{waited_us}");
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("0;0;0"))
}

fn finish(mut reply: Reply) -> Response<Bytes> {
    reply.headers_mut().remove(HOP);
    answer::passed_on(reply)
}

/// What a peer that sends a query knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    version: u64,
    reaches_store: bool,
    waited: Duration,
}

impl Hop {
    /// Returns the time that the caller had waited, with what the hop takes.
    pub(crate) fn waited(self) -> Duration {
        self.waited
    }
}

/// Longest time before a hop that is believed; it keeps sums of times in range.
const WAITED_MAX: Duration = Duration::from_secs(60);

/// Takes the sender's knowledge out of the headers of a query from a peer.
pub fn take(headers: &mut HeaderMap) -> Option<Hop> {
    let value = headers.remove(HOP)?;
    let mut fields = value.to_str().ok()?.split(';');
    let version = fields.next()?.parse().ok()?;
    let reaches_store = fields.next()? == "1";
    // An instance of an earlier release doesn't tell.
    let waited = fields.next().and_then(|waited| waited.parse().ok());
    Some(Hop {
        version,
        reaches_store,
        waited: Duration::from_micros(waited.unwrap_or(0)).min(WAITED_MAX),
    })
}

/// Why an instance doesn't take a peer's query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decline {
    /// It is about to stop.
    Leaving,
    /// It gathers as many as it can.
    Full,
    /// The sender knows a newer configuration.
    Older,
    /// The sender reaches the store, and it doesn't.
    CutOff,
}

/// Decides whether to take a peer's query.
pub(crate) fn admit(relay: &Relay, hop: Hop) -> Result<(), Decline> {
    let version = relay.table().map_or(0, |table| table.version());
    match () {
        () if relay.is_leaving() => Err(Decline::Leaving),
        () if relay.in_flight() > TAKEN_MAX => Err(Decline::Full),
        () if version < hop.version => Err(Decline::Older),
        () if relay.registry().is_store_lost() && hop.reaches_store => Err(Decline::CutOff),
        () => Ok(()),
    }
}

/// Marks an answer as one of a peer that `took` so long.
pub(crate) fn mark(answer: &mut Response<Bytes>, took: Duration) {
    let took_us = HeaderValue::from(took.as_micros() as u64);
    answer.headers_mut().insert(HOP, took_us);
}

/// Makes the answer that states that a query wasn't taken.
pub(crate) fn declined(decline: Decline) -> Response<Bytes> {
    info!(?decline, "peer: query declined.");
    let mut answer = answer::refusal("declined", WAIT_LEAST);
    answer
        .headers_mut()
        .insert(DECLINED, HeaderValue::from_static("1"));
    answer
}

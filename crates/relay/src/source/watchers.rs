//! Asks instances that watch the store, and remembers which of them don't supply this instance.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http::Method;
use platform::{
    Failure,
    Transport, //
};
use policy::watchers::Reliability;
use tracing::info;

use super::Read;
use crate::{
    feed::{
        self,
        Query, //
    },
    mirror::{
        Position,
        Reading, //
    },
    peers::Member,
    relay::Relay,
};

/// Timeout for connecting to a watcher.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a watcher's reply may take in addition to the wait.
pub(super) const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// Timeout of a complete listing, which may be hundreds of kilobytes on a slow link.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a watcher that failed is asked after the others only, and after which one that is silent is asked
/// again beside them.
const FAILED_PAUSE: Duration = Duration::from_millis(2_000);

/// Why a watcher doesn't supply a reading.
#[derive(Debug, Clone, Copy)]
pub(super) enum Denial {
    /// It doesn't reply.
    Silent(Failure),
    /// Its reply isn't a reading that this instance can use.
    Unusable(Failure),
}

impl Denial {
    pub(super) fn failure(self) -> Failure {
        match self {
            Self::Silent(failure) | Self::Unusable(failure) => failure,
        }
    }
}

/// What is asked of a watcher.
#[derive(Debug, Clone, Copy)]
pub(super) struct Question {
    /// The read.
    pub(super) read: Read,
    /// How long the watcher waits for a change.
    pub(super) wait: Duration,
    /// Whether only the existence of changes is of interest.
    pub(super) is_probe: bool,
}

impl Question {
    /// Asks whether there are changes now.
    pub(super) fn probe(read: Read) -> Self {
        Self {
            read,
            wait: Duration::ZERO,
            is_probe: true,
        }
    }
}

/// The watchers as this instance knows them.
#[derive(Debug)]
pub(super) struct Watchers {
    relay: Rc<Relay>,
    transports: RefCell<HashMap<SocketAddr, Rc<Transport>>>,
    /// When watchers last failed to supply a kind.
    failed_at: RefCell<HashMap<(SocketAddr, &'static str), Instant>>,
    /// Watchers that haven't replied, with the time of the last attempt, until they reply.
    silent_at: RefCell<HashMap<SocketAddr, Instant>>,
    /// Generation of each watcher's readings of a kind, as it last stated it.
    generations: RefCell<HashMap<(SocketAddr, &'static str), u64>>,
}

impl Watchers {
    /// Creates watchers of which nothing is known yet.
    pub(super) fn new(relay: Rc<Relay>) -> Self {
        Self {
            relay,
            transports: RefCell::default(),
            failed_at: RefCell::default(),
            silent_at: RefCell::default(),
            generations: RefCell::default(),
        }
    }

    /// Returns the watchers to ask for the read number `turn` of a kind, in order.
    pub(super) fn to_ask(&self, kind: &'static str, turn: u64) -> Vec<Member> {
        let registry = self.relay.registry();
        registry.watchers_to_ask(turn, |watcher| self.reliability(watcher, kind))
    }

    fn reliability(&self, watcher: &Member, kind: &'static str) -> Reliability {
        let failed_at = self.failed_at.borrow();
        let failed_at = failed_at.get(&(watcher.address, kind));
        match failed_at {
            _ if self.is_silent(watcher) => Reliability::Silent,
            Some(at) if at.elapsed() < FAILED_PAUSE => Reliability::Failing,
            _ => Reliability::Sound,
        }
    }

    /// Returns whether the watcher hasn't replied when it was last asked.
    pub(super) fn is_silent(&self, watcher: &Member) -> bool {
        self.silent_at.borrow().contains_key(&watcher.address)
    }

    /// Asks a watcher that has been silent for a while whether it replies again.
    pub(super) async fn recheck(&self, read: Read) {
        let is_due = |watcher: &Member| {
            let silent_at = self.silent_at.borrow();
            let at = silent_at.get(&watcher.address);
            at.is_some_and(|at| at.elapsed() >= FAILED_PAUSE)
        };
        let due = self.to_ask(read.kind, 0).into_iter().find(is_due);
        if let (Some(watcher), Some(_)) = (due, read.after) {
            // Whether it replies is recorded.
            let _ = self.ask(&watcher, Question::probe(read)).await;
        }
    }

    /// Records that a watcher supplied a reading of a kind.
    pub(super) fn record_supply(&self, watcher: &Member, kind: &'static str) {
        self.failed_at.borrow_mut().remove(&(watcher.address, kind));
    }

    /// Records that a watcher didn't supply a reading of a kind.
    pub(super) fn record_failed(&self, watcher: &Member, kind: &'static str) {
        let mut failed_at = self.failed_at.borrow_mut();
        failed_at.insert((watcher.address, kind), Instant::now());
    }

    fn transport(&self, address: SocketAddr) -> Rc<Transport> {
        let mut transports = self.transports.borrow_mut();
        let transport = transports
            .entry(address)
            .or_insert_with(|| Rc::new(Transport::new(address, CONNECT_TIMEOUT)));
        transport.clone()
    }

    /// Asks one watcher; returns none if it holds changes and was only asked whether there are any.
    pub(super) async fn ask(
        &self,
        watcher: &Member,
        question: Question,
    ) -> Result<Option<Reading>, Denial> {
        let result = self.exchange(watcher, question).await;
        let was_silent = match &result {
            Err(Denial::Silent(_)) => self
                .silent_at
                .borrow_mut()
                .insert(watcher.address, Instant::now()),
            _ => self.silent_at.borrow_mut().remove(&watcher.address),
        };
        match &result {
            Err(Denial::Silent(failure)) if was_silent.is_none() => {
                info!(watcher = %watcher.name, kind = question.read.kind, %failure, "source: watcher is silent.");
            }
            Ok(_) | Err(Denial::Unusable(_)) if was_silent.is_some() => {
                info!(watcher = %watcher.name, kind = question.read.kind, "source: watcher replies again.");
            }
            _ => {}
        }
        result
    }

    async fn exchange(
        &self,
        watcher: &Member,
        question: Question,
    ) -> Result<Option<Reading>, Denial> {
        let Question {
            read,
            wait,
            is_probe,
        } = question;
        let Read { kind, after, .. } = read;
        let known = (watcher.address, kind);
        let query = Query {
            kind,
            after,
            wait,
            generation: self.generations.borrow().get(&known).copied(),
            is_probe,
        };
        let transport = self.transport(watcher.address);
        let request = transport
            .request(Method::GET, &query.target())
            .body(Bytes::new())
            .map_err(|_| Denial::Unusable(Failure::Invalid))?;
        let reply_timeout = match after {
            Some(_) => wait + REPLY_MARGIN,
            None => LIST_TIMEOUT,
        };
        let response = transport.send(request, reply_timeout).await;
        let response = response.map_err(Denial::Silent)?;
        if let Some(generation) = feed::stated_generation(&response) {
            self.generations.borrow_mut().insert(known, generation);
        }
        let reading =
            feed::parse_reply(&response, read.limits.max_age).map_err(Denial::Unusable)?;
        match &reading {
            // It is behind what this instance has read elsewhere.
            Some(reading) if Some(Position::of(&reading.listing)) < read.latest => {
                Err(Denial::Unusable(Failure::Unavailable))
            }
            _ => Ok(reading),
        }
    }
}

//! Finds requests that crash the servers that run them, and shares them with the other instances through the store.
//!
//! `policy::quarantine` decides; this module observes, and keeps one object of the store up to date.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use futures_util::future::pending;
use http::HeaderValue;
use monoio::time::sleep;
use platform::{
    backoff::Backoff,
    Failure,
    Listing,
    Object,
    Store, //
};
use policy::quarantine::{
    Attempt,
    Cases,
    Crash,
    Fingerprint,
    Proof,
    State,
    Turn, //
};
use tracing::{
    info,
    warn, //
};
use web::Notification;

use crate::{
    connection::{
        self,
        FailureKind, //
    },
    directory::Directory,
    follow::{
        follow,
        relaxed_limits,
        Follower,
        StoreRecovery, //
    },
    meter::Counter,
    relay::Relay,
    request::CallerRequest,
    server::Server,
    source::{
        Limits,
        Source, //
    },
};

/// Timeout of one watch, shorter than the history that a store keeps. An instance whose watch the store has lost learns
/// of crashes when it writes its own.
const WATCH_TIMEOUT: Duration = Duration::from_millis(12_000);
/// Initial and maximum backoff after a write that wasn't accepted.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// What this instance knows of requests under which servers crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    state: RefCell<State>,
    /// Version of the store's object that was last read or written; 0 if there is none.
    version: Cell<u64>,
    /// Sent when there is something to write.
    changed: Notification,
    /// Sub-requests under which the server crashed.
    crashes: Counter,
}

impl Quarantine {
    /// Creates an empty quarantine that counts crashes.
    pub(crate) fn new(crashes: Counter) -> Rc<Self> {
        Rc::new(Self {
            crashes,
            ..Self::default()
        })
    }

    /// Returns for how much longer a request is refused; none if it isn't.
    pub(crate) fn refused_for(&self, request: &CallerRequest) -> Option<Duration> {
        let state = self.state.borrow();
        match state.is_empty() {
            true => None,
            false => state.refused_for(request.fingerprint(), now_ms()),
        }
    }

    /// Begins to track the crashes under one attempt of a caller.
    pub(crate) fn track(self: &Rc<Self>, request: &CallerRequest) -> Rc<Tracker> {
        let fingerprint = request.fingerprint();
        let turn = self.state.borrow().turn(fingerprint, now_ms());
        Rc::new(Tracker {
            quarantine: self.clone(),
            request: request.id.clone(),
            fingerprint,
            attempt: RefCell::new(Attempt::new(turn)),
            proof_changed: Notification::default(),
            is_served: Cell::new(false),
        })
    }

    fn report(&self, fingerprint: Fingerprint, crashes: Vec<Crash>) {
        let mut state = self.state.borrow_mut();
        state.report(fingerprint, crashes);
        let now = now_ms();
        let refused_for = state.refused_for(fingerprint, now);
        info!(%fingerprint, crashes = state.crashes(fingerprint, now), refused_s = refused_for.map(|left| left.as_secs()), "quarantine: servers crashed under a request.");
        drop(state);
        self.notify();
    }

    fn clear(&self, fingerprint: Fingerprint) {
        if self.state.borrow_mut().clear(fingerprint) {
            info!(%fingerprint, "quarantine: request cleared, a server served it.");
            self.notify();
        }
    }

    fn notify(&self) {
        self.changed.send();
    }

    /// Waits until there is something to write.
    async fn wait_for_changes(&self) {
        let has_none = || !self.state.borrow().has_changes();
        self.changed.wait_while(has_none).await;
    }

    /// Records that the store held no object at `revision`: there is none yet, or an operator has deleted it.
    fn set_deleted(&self, revision: u64) {
        if revision >= self.version.get() {
            self.version.set(0);
            self.state.borrow_mut().set_agreed(Cases::new());
        }
    }

    /// Replaces what the store holds by a version of its object, unless a later one is known.
    fn set_agreed(&self, version: u64, cases: Cases) {
        if version < self.version.get() {
            return;
        }
        self.version.set(version);
        let mut state = self.state.borrow_mut();
        let now = now_ms();
        let is_refused = |state: &State, fingerprint: &Fingerprint| {
            state.refused_for(*fingerprint, now).is_some()
        };
        let fingerprints: Vec<Fingerprint> = cases.keys().copied().collect();
        let before: Vec<Fingerprint> = fingerprints
            .iter()
            .copied()
            .filter(|fingerprint| is_refused(&state, fingerprint))
            .collect();
        state.set_agreed(cases);
        for fingerprint in fingerprints {
            if is_refused(&state, &fingerprint) && !before.contains(&fingerprint) {
                info!(%fingerprint, revision = version, "quarantine: request refused from now on.");
            }
        }
    }
}

/// Crashes under one attempt of a caller: those known when it ends are reported then, those of sub-requests that go on
/// after it when the last of these has ended.
#[derive(Debug)]
pub(crate) struct Tracker {
    quarantine: Rc<Quarantine>,
    /// Id of the request.
    request: HeaderValue,
    fingerprint: Fingerprint,
    attempt: RefCell<Attempt>,
    /// Sent when a server has served a part of the query, or none can be expected to.
    proof_changed: Notification,
    is_served: Cell<bool>,
}

/// An exchange that ended without a reply.
#[derive(Debug)]
pub(crate) struct LostExchange {
    pub(crate) server: Rc<Server>,
    pub(crate) turn: Turn,
    pub(crate) cause: FailureKind,
}

/// Accompanies a sub-request until its exchange ends, which may be after its caller has left.
#[derive(Debug)]
pub(crate) struct Witness {
    pub(crate) crashes: Rc<Tracker>,
    pub(crate) turn: Turn,
}

impl Witness {
    /// Finds out whether the server has crashed, after an exchange that nobody waits for ended without a reply.
    pub(crate) async fn report_lost(self, server: Rc<Server>, cause: FailureKind) {
        if self.crashes.is_served.get() {
            return;
        }
        let lost = LostExchange {
            server,
            turn: self.turn,
            cause,
        };
        self.crashes.confirm(lost).await;
    }
}

impl Tracker {
    /// Returns the turn of a sub-request that is sent now.
    pub(crate) fn turn(&self) -> Turn {
        self.attempt.borrow().turn()
    }

    /// Finds out whether the server of an exchange that ended without a reply has crashed, and records that; returns
    /// whether it has.
    pub(crate) async fn confirm(&self, lost: LostExchange) -> bool {
        let LostExchange {
            server,
            turn,
            cause,
        } = lost;
        let lost_at = Instant::now();
        let is_up = connection::probe(&server).await;
        let has_crashed = is_up == Some(false) && server.has_reachable_others(lost_at).await;
        info!(
            request = %self.request.to_str().unwrap_or("unprintable"),
            fingerprint = %self.fingerprint,
            server = %server.id(),
            service = %server.description().service,
            ?cause,
            turn = turn.0,
            is_up,
            has_crashed,
            "call: connection ended without a reply."
        );
        if has_crashed {
            self.record(turn, &server);
        }
        has_crashed
    }

    fn record(&self, turn: Turn, server: &Server) {
        self.quarantine.crashes.add(1);
        let description = server.description();
        let id = match description.started_at_ms {
            Some(started_at_ms) => Arc::from(format!("{}@{started_at_ms}", description.id)),
            None => description.id.clone(),
        };
        let crash = Crash {
            server: id,
            at_ms: now_ms(),
            turn,
        };
        self.attempt.borrow_mut().record(crash);
    }

    /// Begins calls to several services.
    pub(crate) fn begin_query(&self, calls: usize) {
        self.update(|attempt| attempt.begin_query(calls));
    }

    /// Records that a server replied after it had run a sub-request.
    pub(crate) fn record_served(&self) {
        self.update(Attempt::record_served);
    }

    /// Records that a call of the query has ended.
    pub(crate) fn record_ended(&self) {
        self.update(Attempt::record_ended);
    }

    fn update(&self, change: impl FnOnce(&mut Attempt)) {
        let before = self.proof();
        change(&mut self.attempt.borrow_mut());
        if self.proof() != before {
            self.proof_changed.send();
        }
    }

    fn proof(&self) -> Proof {
        self.attempt.borrow().proof()
    }

    /// Waits while no server has served a part of the query and one may still do so.
    async fn wait_for_proof(&self) {
        let is_awaited = || self.proof() == Proof::Awaited;
        self.proof_changed.wait_while(is_awaited).await;
    }

    /// Waits until a server has served a part of the query; for ever if there is nothing to wait for.
    pub(crate) async fn prove_for_hedge(&self) {
        let was_awaited = self.proof() == Proof::Awaited;
        self.wait_for_proof().await;
        if !was_awaited || self.proof() != Proof::Harmless {
            pending::<()>().await;
        }
    }

    /// Returns whether a retry may be sent to a service of which `crashed` servers crashed under this attempt.
    ///
    /// After a crash it waits until a server has served a part of the query, while further servers may crash.
    pub(crate) async fn may_retry(&self, crashed: usize) -> bool {
        let is_allowed = || self.attempt.borrow().may_retry(crashed);
        if !is_allowed() || !self.has_crashes() {
            return is_allowed();
        }
        self.update(|attempt| attempt.set_waiting(true));
        let _guard = Waiting(self);
        self.wait_for_proof().await;
        self.proof() == Proof::Harmless && is_allowed()
    }

    /// Returns whether crashes under the request were known before this attempt.
    pub(crate) fn is_suspected(&self) -> bool {
        self.attempt.borrow().is_suspected()
    }

    /// Returns whether any server crashed under this attempt.
    pub(crate) fn has_crashes(&self) -> bool {
        self.attempt.borrow().has_crashes()
    }

    /// Returns whether hedges may be sent.
    pub(crate) fn may_hedge(&self) -> bool {
        self.attempt.borrow().may_hedge()
    }

    /// Reports the crashes when the attempt ends; without a crash, a success clears the request.
    pub(crate) fn conclude(&self, was_served: bool) {
        if self.is_served.get() {
            return;
        }
        self.is_served.set(was_served);
        let report = self.attempt.borrow_mut().report(was_served);
        match report.is_empty() {
            false => self.quarantine.report(self.fingerprint, report),
            true if was_served && self.is_suspected() && !self.has_crashes() => {
                self.quarantine.clear(self.fingerprint);
            }
            true => {}
        }
    }
}

/// Ends the wait of a call for a proof.
struct Waiting<'a>(&'a Tracker);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.update(|attempt| attempt.set_waiting(false));
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        self.conclude(false);
    }
}

/// Learns of other instances' reports until the process ends.
pub async fn watch<D: Directory>(source: Rc<Source<D::Store>>, recovery: StoreRecovery) {
    let follower = Watch::<D> {
        relay: source.relay().clone(),
        directory: std::marker::PhantomData,
    };
    follow(source, D::QUARANTINE.0, recovery, follower).await;
}

struct Watch<D> {
    relay: Rc<Relay>,
    directory: std::marker::PhantomData<D>,
}

impl<D: Directory> Follower for Watch<D> {
    const NAME: &'static str = "crashes";

    fn relists_after_failure(&self) -> bool {
        true
    }

    fn limits(&self) -> Limits {
        relaxed_limits(WATCH_TIMEOUT)
    }

    fn listed(&mut self, listing: Listing, _now: Instant) {
        let named = |object: &&Object| &*object.name == D::QUARANTINE.1;
        match listing.objects.iter().find(named) {
            Some(object) => read_cases::<D>(&self.relay, object),
            None => self.relay.quarantine().set_deleted(listing.revision),
        }
    }

    fn changed(&mut self, listing: Listing, now: Instant) {
        let is_named = |name: &str| name == D::QUARANTINE.1;
        let is_changed = listing.objects.iter().any(|object| is_named(&object.name));
        if is_changed || listing.deleted.iter().any(|name| is_named(name)) {
            self.listed(listing, now);
        }
    }

    fn store_restored(&mut self, _now: Instant) {
        let quarantine = self.relay.quarantine();
        quarantine.version.set(0);
        quarantine.state.borrow_mut().store_restored();
        quarantine.notify();
    }
}

fn read_cases<D: Directory>(relay: &Relay, object: &Object) {
    let cases = D::cases(object).unwrap_or_else(|error| {
        relay.meter().unreadable.add(1);
        warn!(revision = object.version, %error, "quarantine: reports can't be parsed, they are written anew.");
        Cases::new()
    });
    relay.quarantine().set_agreed(object.version, cases);
}

/// Writes this instance's reports until the process ends.
pub async fn report<D: Directory>(source: Rc<Source<D::Store>>) {
    let (relay, store) = (source.relay().clone(), source.store().clone());
    let quarantine = relay.quarantine();
    let (kind, name) = D::QUARANTINE;
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        quarantine.wait_for_changes().await;
        let proposal = quarantine.state.borrow().proposal(now_ms());
        let value = D::quarantine(&proposal.cases);
        match store
            .write(kind, name, quarantine.version.get(), &value)
            .await
        {
            Ok(revision) => {
                backoff.reset();
                quarantine.version.set(revision);
                info!(
                    revision,
                    requests = proposal.cases.len(),
                    "quarantine: reports written."
                );
                quarantine.state.borrow_mut().accepted(proposal);
            }
            Err(Failure::Conflict { .. }) => {
                // Several instances see the same crash, and write at the same moment.
                sleep(backoff.next_wait()).await;
                match store.read(kind, name).await {
                    Ok(Some(object)) => read_cases::<D>(&relay, &object),
                    Ok(None) => quarantine.version.set(0),
                    Err(error) => warn!(%error, "quarantine: reports can't be read, retrying."),
                }
            }
            Err(error) => {
                warn!(%error, "quarantine: reports can't be written, retrying.");
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

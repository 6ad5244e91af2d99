//! Requests under which servers crash, and when they are refused.
//!
//! A request that crashes each server that runs it comes again, with another id and at any instance. Every crash
//! looks like a fault of one server, whose successor starts with a clean record, until a service has no server left.
//! Instances therefore share which servers crashed under which request.
//!
//! Servers also crash by themselves, and all requests that they run are lost with them. One crash therefore proves
//! nothing, and neither do many at the same moment: the request is refused after crashes of several servers that
//! began to run it one after the other, each once the crash before was known, and a success clears it.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
    time::Duration,
};

/// Crashes, one after the other, after which a request is refused.
pub const MAX_CRASHES: usize = 3;
/// Crashes under one attempt of a caller at one service after which the attempt ends.
const MAX_CRASHES_PER_CALL: usize = 2;
/// Time for which a crash counts.
const MEMORY: Duration = Duration::from_secs(600);
/// Maximum number of requests that are remembered. Those that aren't refused are forgotten first, and of these those
/// whose last crash is oldest.
const MAX_CASES: usize = 256;
/// Maximum number of own reports that are kept to be written again after the store was restored.
const MAX_OWN: usize = 64;

/// Identity of a request across its repetitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Number of crashes, one after the other, that were known of a request when a sub-request of it was sent.
///
/// Crashes under sub-requests of the same turn may have one cause other than the request, such as the loss of a rack, whichever
/// callers and instances sent them. They count as one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn(pub usize);

impl Turn {
    /// Returns the turn of what is sent once a crash of this turn is known.
    fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// A crash of a server while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Id of the server, with its start.
    pub server: Arc<str>,
    /// Time of day, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Turn of the sub-request that the server ran.
    pub turn: Turn,
}

/// Crashes by request.
pub type Cases = BTreeMap<Fingerprint, Vec<Crash>>;

/// What the store should hold, by one instance.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// The crashes.
    pub cases: Cases,
    /// Requests whose crashes it leaves out, as they were served since.
    cleared: BTreeSet<Fingerprint>,
}

/// What one instance knows of requests under which servers crashed.
#[derive(Debug, Default)]
pub struct State {
    /// What all instances agree on, as the store holds it.
    agreed: Cases,
    /// Crashes that this instance has seen and that the store doesn't hold yet.
    pending: Cases,
    /// Requests that were served after a crash, of which the store still holds crashes.
    cleared: BTreeSet<Fingerprint>,
    /// Latest reports of this instance.
    own: VecDeque<(Fingerprint, Crash)>,
}

fn age(crash: &Crash, now_ms: u64) -> Duration {
    Duration::from_millis(now_ms.saturating_sub(crash.at_ms))
}

/// Returns whether a crash adds nothing to those that are known: one of its turn counts already, or another instance has seen
/// the server crash.
fn is_counted(known: &[Crash], crash: &Crash) -> bool {
    let mut recent = known.iter().filter(|one| age(one, crash.at_ms) < MEMORY);
    recent.any(|one| one.turn == crash.turn || one.server == crash.server)
}

fn add(crashes: &mut Vec<Crash>, crash: Crash) {
    if !is_counted(crashes, &crash) {
        crashes.push(crash);
    }
}

impl State {
    /// Returns whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.agreed.is_empty() && self.pending.is_empty()
    }

    /// Returns the crashes that count, one of each turn.
    fn recent(&self, fingerprint: Fingerprint, now_ms: u64) -> Vec<Crash> {
        let agreed = self.agreed.get(&fingerprint).into_iter().flatten();
        let agreed = agreed.filter(|_| !self.cleared.contains(&fingerprint));
        let pending = self.pending.get(&fingerprint).into_iter().flatten();
        let mut crashes: Vec<Crash> = Vec::new();
        for crash in agreed.chain(pending) {
            if age(crash, now_ms) < MEMORY {
                add(&mut crashes, crash.clone());
            }
        }
        crashes
    }

    /// Returns the number of crashes under the request that count.
    pub fn crashes(&self, fingerprint: Fingerprint, now_ms: u64) -> usize {
        self.recent(fingerprint, now_ms).len()
    }

    /// Returns the turn of a sub-request of the request that is sent now.
    pub fn turn(&self, fingerprint: Fingerprint, now_ms: u64) -> Turn {
        let crashes = self.recent(fingerprint, now_ms);
        let last = crashes.iter().map(|crash| crash.turn).max();
        last.map_or(Turn::default(), Turn::next)
    }

    /// Returns for how much longer the request is refused; none if it isn't.
    pub fn refused_for(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<Duration> {
        let mut crashes = self.recent(fingerprint, now_ms);
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at_ms));
        let decisive = crashes.get(MAX_CRASHES - 1)?;
        Some(MEMORY.saturating_sub(age(decisive, now_ms)))
    }

    /// Records crashes under a request that this instance has seen.
    pub fn report(&mut self, fingerprint: Fingerprint, crashes: Vec<Crash>) {
        for crash in crashes {
            self.own.push_back((fingerprint, crash.clone()));
            add(self.pending.entry(fingerprint).or_default(), crash);
        }
        self.drop_counted();
        while self.own.len() > MAX_OWN {
            self.own.pop_front();
        }
    }

    /// Records that a server served the request; returns whether this cleared it.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.own.retain(|(reported, _)| *reported != fingerprint);
        let was_pending = self.pending.remove(&fingerprint).is_some();
        let is_agreed = self.agreed.contains_key(&fingerprint);
        was_pending | (is_agreed && self.cleared.insert(fingerprint))
    }

    /// Replaces what the store holds.
    pub fn set_agreed(&mut self, cases: Cases) {
        self.cleared.retain(|cleared| cases.contains_key(cleared));
        self.agreed = cases;
        self.drop_counted();
    }

    /// Drops the crashes that needn't be written, as the store holds one that counts for them.
    fn drop_counted(&mut self) {
        let Self {
            agreed,
            cleared,
            pending,
            ..
        } = self;
        pending.retain(|fingerprint, crashes| {
            let held = agreed.get(fingerprint);
            let held = held.filter(|_| !cleared.contains(fingerprint));
            let held = held.map_or(&[][..], Vec::as_slice);
            crashes.retain(|crash| !is_counted(held, crash));
            !crashes.is_empty()
        });
    }

    /// Records that the store was restored from an older copy, which may lack reports of this instance.
    pub fn store_restored(&mut self) {
        for (fingerprint, crash) in &self.own {
            add(self.pending.entry(*fingerprint).or_default(), crash.clone());
        }
    }

    /// Returns whether the store lacks something that this instance knows.
    pub fn has_changes(&self) -> bool {
        !self.pending.is_empty() || !self.cleared.is_empty()
    }

    /// Returns what the store should hold.
    pub fn proposal(&self, now_ms: u64) -> Proposal {
        let mut cases = self.agreed.clone();
        cases.retain(|fingerprint, _| !self.cleared.contains(fingerprint));
        for (fingerprint, crashes) in &self.pending {
            let known = cases.entry(*fingerprint).or_default();
            crashes.iter().for_each(|crash| add(known, crash.clone()));
        }
        for crashes in cases.values_mut() {
            crashes.retain(|crash| age(crash, now_ms) < MEMORY);
        }
        cases.retain(|_, crashes| !crashes.is_empty());
        let relevance = |crashes: &[Crash]| {
            let last_at_ms = crashes.iter().map(|crash| crash.at_ms).max();
            (crashes.len() >= MAX_CRASHES, last_at_ms)
        };
        let mut by_relevance: Vec<_> = cases
            .iter()
            .map(|(fingerprint, crashes)| (relevance(crashes), *fingerprint))
            .collect();
        by_relevance.sort_unstable();
        let surplus = cases.len().saturating_sub(MAX_CASES);
        for (_, least_relevant) in by_relevance.iter().take(surplus) {
            cases.remove(least_relevant);
        }
        Proposal {
            cases,
            cleared: self.cleared.clone(),
        }
    }

    /// Records that the store has accepted a proposal.
    ///
    /// What was reported or cleared since the proposal was made is still to be written.
    pub fn accepted(&mut self, proposal: Proposal) {
        let Proposal { cases, cleared } = proposal;
        // A full proposal has left out what is oldest.
        if cases.len() >= MAX_CASES {
            self.pending.clear();
        }
        self.cleared.retain(|one| !cleared.contains(one));
        self.set_agreed(cases);
    }
}

/// Crashes under one attempt of a caller, which may have sent sub-requests to many services.
#[derive(Debug, Default)]
pub struct Attempt {
    /// Turn of the sub-requests that are sent before a crash under this attempt is known.
    first_turn: Turn,
    /// Servers that crashed under this attempt.
    servers: usize,
    /// Crashes of servers that began to run the request one after the other.
    in_turn: Vec<Crash>,
    /// How many of these were reported.
    reported: usize,
    /// A further crash under the sub-requests of one turn.
    simultaneous: Option<Crash>,
    /// Calls to services that haven't ended and of which none has been served.
    unproven: Option<usize>,
    /// Calls whose next sub-request waits until one of another call is served.
    waiting: usize,
}

/// Whether a query may be sent to further replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// A server has served a part of it, or it isn't a query.
    Harmless,
    /// No server has replied yet.
    Awaited,
    /// None can be expected: every call has lost its server.
    Missing,
}

impl Attempt {
    /// Begins an attempt whose first sub-requests have the given turn.
    pub fn new(first_turn: Turn) -> Self {
        Self {
            first_turn,
            ..Self::default()
        }
    }

    /// Returns the turn of a sub-request that is sent now.
    pub fn turn(&self) -> Turn {
        Turn(self.first_turn.0.saturating_add(self.in_turn.len()))
    }

    /// Records that a server crashed under a sub-request.
    pub fn record(&mut self, crash: Crash) {
        self.servers += 1;
        match crash.turn == self.turn() {
            true => self.in_turn.push(crash),
            false => self.simultaneous = self.simultaneous.take().or(Some(crash)),
        }
    }

    /// Returns whether crashes under the request were known before the attempt.
    pub fn is_suspected(&self) -> bool {
        self.first_turn > Turn::default()
    }

    /// Returns whether a retry may be sent to a service of which `crashed` servers crashed under this attempt.
    pub fn may_retry(&self, crashed: usize) -> bool {
        let is_confirmed = self.is_suspected() && self.has_crashes();
        !is_confirmed && crashed < MAX_CRASHES_PER_CALL && self.servers < MAX_CRASHES
    }

    /// Returns whether hedges may be sent.
    pub fn may_hedge(&self) -> bool {
        let is_proven = self.proof() == Proof::Harmless;
        is_proven && !self.is_suspected() && self.servers < MAX_CRASHES
    }

    /// Begins calls to several services, whose replies tell whether the request crashes servers.
    pub fn begin_query(&mut self, calls: usize) {
        self.unproven = (calls > 1).then_some(calls);
    }

    /// Records that a server replied after it had run a sub-request.
    pub fn record_served(&mut self) {
        self.unproven = None;
    }

    /// Records that a call of the query has ended.
    pub fn record_ended(&mut self) {
        self.unproven = self.unproven.map(|calls| calls.saturating_sub(1));
    }

    /// Records that a call waits for the proof before it sends a retry, or no longer does.
    pub fn set_waiting(&mut self, is_waiting: bool) {
        match is_waiting {
            true => self.waiting += 1,
            false => self.waiting = self.waiting.saturating_sub(1),
        }
    }

    /// Returns whether the query may be sent to further replicas.
    ///
    /// A query that crashes servers reaches a replica of each shard at once. None serves it, while a query that is hit
    /// by the crashes of some is served by others.
    pub fn proof(&self) -> Proof {
        match self.unproven {
            None => Proof::Harmless,
            Some(calls) if self.waiting < calls => Proof::Awaited,
            Some(_) => Proof::Missing,
        }
    }

    /// Returns whether any server crashed under this attempt.
    pub fn has_crashes(&self) -> bool {
        self.servers > 0
    }

    /// Returns the crashes to report that weren't returned before, at the end of the attempt or after it.
    ///
    /// There are none if it was served and the request isn't to blame. A query that no server has served, with several
    /// crashes, is reported with a second one: the next crash under it is enough.
    pub fn report(&mut self, was_served: bool) -> Vec<Crash> {
        if was_served && self.in_turn.len() < MAX_CRASHES_PER_CALL {
            return Vec::new();
        }
        let mut report = self.in_turn[self.reported..].to_vec();
        self.reported = self.in_turn.len();
        let turn = self.turn();
        if self.unproven.is_some() {
            let simultaneous = self.simultaneous.take();
            report.extend(simultaneous.map(|crash| Crash { turn, ..crash }));
        }
        report
    }
}

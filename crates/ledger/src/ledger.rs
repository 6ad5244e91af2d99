//! The handle that runs keyed calls.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    future::Future,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_channel::oneshot;
use platform::{
    backoff::Backoff,
    Store, //
};
use wire::{
    CallReply,
    CallRequest,
    Reason, //
};

use crate::{
    change::{
        Change,
        Finding,
        Kind,
        Stake, //
    },
    claim::{
        Claim,
        Confirmed, //
    },
    health::Health,
    key::{
        self,
        Key, //
    },
    object::{
        Entry,
        State, //
    },
    partition::{
        count,
        Counters,
        Partition, //
    },
    reply,
    runtime::{
        until,
        Monoio,
        Runtime, //
    },
};

/// Shortest and longest wait between two looks at a key that somebody else runs.
const LOOK: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(320));
/// Time left below which nobody waits for an outcome.
const SHORT: Duration = Duration::from_millis(20);
/// One in this many parts of a call's time is kept for sending it.
const SEND_SHARE: u32 = 8;
/// Objects that are kept in memory between two writes.
const OBJECTS_MAX: usize = 32;
/// Time past the deadline after which a send that has no reply is given up.
const GRACE: Duration = Duration::from_millis(100);
/// Wait between two checks of whether everything is recorded.
const CLOSE_STEP: Duration = Duration::from_millis(10);

/// Sends a claimed call to the owner of its service, once.
pub trait Dispatch: 'static {
    /// Sends the call; never retries once a byte may have left.
    fn send(&self, request: CallRequest, deadline: Instant) -> impl Future<Output = CallReply>;
}

#[derive(Debug, Default)]
struct Calls {
    in_flight: Cell<u64>,
    sent: Cell<u64>,
    repeated: Cell<u64>,
    refused: RefCell<BTreeMap<&'static str, u64>>,
    settled: Cell<u64>,
}

/// A call that is counted as in flight until this is dropped.
#[derive(Debug)]
struct Flight<'a>(&'a Cell<u64>);

impl<'a> Flight<'a> {
    fn start(count: &'a Cell<u64>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What became of the wish to claim or to fence a key.
#[derive(Debug)]
enum Asked {
    /// The key is claimed.
    Granted(Claim<Confirmed>),
    /// The key's entry gives the reply.
    Settled(CallReply),
    /// Nothing is known but that this process doesn't use its claim.
    Unclaimed(CallReply),
}

/// The ledger as this instance sees it.
pub struct Ledger<S, D, R = Monoio> {
    store: Rc<S>,
    dispatch: Rc<D>,
    runtime: Rc<R>,
    me: Arc<str>,
    /// Drawn at the start, so that claims of an earlier process of the same name differ.
    run: u64,
    claims: Cell<u64>,
    stopping: Cell<bool>,
    partitions: RefCell<BTreeMap<u32, Rc<Partition<S, R>>>>,
    counters: Rc<Counters>,
    health: Rc<Health>,
    calls: Calls,
}

impl<S, D, R> std::fmt::Debug for Ledger<S, D, R> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ledger")
            .field("me", &self.me)
            .field("counters", &self.counters)
            .field("calls", &self.calls)
            .finish_non_exhaustive()
    }
}

impl<S: Store, D: Dispatch> Ledger<S, D> {
    /// Makes a ledger over `store` for the instance `me`.
    pub fn new(store: Rc<S>, dispatch: Rc<D>, me: Arc<str>) -> Rc<Self> {
        Self::with_runtime(store, dispatch, me, Rc::new(Monoio))
    }

    /// Returns the partition of `key`.
    pub fn partition(key: &str) -> u32 {
        key::partition_of(key)
    }
}

impl<S: Store, D: Dispatch, R: Runtime> Ledger<S, D, R> {
    /// Makes a ledger on a runtime of one's own.
    pub fn with_runtime(store: Rc<S>, dispatch: Rc<D>, me: Arc<str>, runtime: Rc<R>) -> Rc<Self> {
        let run = runtime.random();
        Rc::new(Self {
            store,
            dispatch,
            runtime,
            me,
            run,
            claims: Cell::new(0),
            stopping: Cell::new(false),
            partitions: RefCell::default(),
            counters: Rc::default(),
            health: Rc::default(),
            calls: Calls::default(),
        })
    }

    /// Runs a keyed call: claims, sends, records.
    ///
    /// The reply is handed out before its outcome is recorded. A key that was answered before gets
    /// the recorded reply; one that somebody else runs is waited for until shortly before
    /// `deadline`, then answered as one that may have run.
    pub async fn call(&self, request: CallRequest, deadline: Instant) -> CallReply {
        if self.stopping.get() {
            return self.counted(reply::may_have_run(Reason::Stopping));
        }
        let _flight = Flight::start(&self.calls.in_flight);
        let reply = self.run(request, deadline).await;
        self.counted(reply)
    }

    /// Settles a keyed call whose home went silent.
    ///
    /// A key that nobody claimed is claimed and sent from here. Otherwise the reply is the recorded
    /// one, or `may_have_run`, or, once the key is fenced so that the silent home can't run it any
    /// more, `not_run`.
    pub async fn settle(&self, request: CallRequest, deadline: Instant) -> CallReply {
        count(&self.calls.settled);
        let _flight = Flight::start(&self.calls.in_flight);
        let reply = self.settled(request, deadline).await;
        self.counted(reply)
    }

    async fn run(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let stake = match self.stake(&request) {
            Ok(stake) => stake,
            Err(fault) => return reply::unfit(fault),
        };
        let partition = self.open(stake.key.partition());
        let claim_by = self.claim_by(deadline);
        if self.health.is_hopeless(self.runtime.now(), claim_by) {
            return reply::may_have_run(Reason::Platform);
        }
        if !partition.has_room() {
            return reply::may_have_run(Reason::Overloaded);
        }
        match self.ask(&partition, Kind::Claim, &stake, claim_by).await {
            Asked::Granted(claim) => self.send(claim, request, deadline).await,
            Asked::Settled(reply) | Asked::Unclaimed(reply) => reply,
        }
    }

    async fn send(
        &self,
        claim: Claim<Confirmed>,
        request: CallRequest,
        deadline: Instant,
    ) -> CallReply {
        if self.runtime.now() >= deadline {
            claim.close();
            return reply::not_run(Reason::Deadline);
        }
        count(&self.calls.sent);
        let claim = claim.send();
        let send = self.dispatch.send(request, deadline);
        let reply = until(&*self.runtime, deadline + GRACE, send)
            .await
            .unwrap_or_else(|| reply::may_have_run(Reason::Deadline));
        claim.close(reply::outcome(&reply));
        reply
    }

    async fn settled(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let unknown = reply::may_have_run(Reason::OutcomeUnknown);
        let stake = match self.stake(&request) {
            Ok(stake) => stake,
            Err(fault) => return reply::unfit(fault),
        };
        let partition = self.open(stake.key.partition());
        let claim_by = self.claim_by(deadline);
        let reply = match self.ask(&partition, Kind::Claim, &stake, claim_by).await {
            Asked::Granted(claim) => self.send(claim, request, deadline).await,
            Asked::Settled(reply) => return reply,
            // The home may still claim the key.
            Asked::Unclaimed(_) => return unknown,
        };
        let is_free = reply
            .failure
            .as_ref()
            .is_some_and(|failure| failure.not_run);
        if !is_free {
            return reply;
        }
        match self.ask(&partition, Kind::Fence, &stake, deadline).await {
            Asked::Settled(reply) => reply,
            Asked::Granted(_) | Asked::Unclaimed(_) => unknown,
        }
    }

    /// Claims or fences a key, waiting for the outcome of one that somebody runs.
    ///
    /// A key that comes free meanwhile is claimed or fenced too: only then is it certain that this
    /// request doesn't run through another instance.
    async fn ask(
        &self,
        partition: &Rc<Partition<S, R>>,
        kind: Kind,
        stake: &Stake,
        deadline: Instant,
    ) -> Asked {
        let unknown = reply::may_have_run(Reason::OutcomeUnknown);
        let mut backoff = Backoff::seeded(LOOK.0, LOOK.1, self.runtime.random());
        let mut is_fresh = false;
        let mut is_seen = false;
        loop {
            let change = Change::asking(kind.clone(), stake.clone(), deadline, is_fresh);
            let entry = match self.push(partition, change, deadline).await {
                Some(Finding::Granted(claim)) => return Asked::Granted(claim),
                Some(Finding::Entry(entry)) => entry,
                // This request wasn't run, but the one that was seen may have been: whoever asks
                // again with a key wants to know of both.
                _ if is_seen => return Asked::Settled(unknown),
                other => return Asked::Unclaimed(unclaimed(other)),
            };
            if let Some(reply) = self.answer(stake, &entry) {
                return Asked::Settled(reply);
            }
            if self.is_short(deadline) {
                return Asked::Settled(unknown);
            }
            is_seen = true;
            is_fresh = !self.is_mine(&entry);
            self.runtime.sleep(backoff.next_wait()).await;
        }
    }

    fn answer(&self, stake: &Stake, entry: &Entry) -> Option<CallReply> {
        if entry.fingerprint != stake.fingerprint {
            return Some(reply::not_run(Reason::KeyReused));
        }
        match &entry.state {
            State::Done {
                status,
                server,
                payload,
                ..
            } => Some(reply::recorded(*status, server, payload.as_deref())),
            State::Unknown => Some(reply::may_have_run(Reason::OutcomeUnknown)),
            State::Void => Some(reply::not_run(Reason::KeyExpired)),
            // One that is free was claimed or fenced in the same step.
            State::Claimed { .. } | State::NotRun => None,
        }
    }

    /// Returns the time by which a claim has to be confirmed: the rest is for the call and for the
    /// reply's way back.
    fn claim_by(&self, deadline: Instant) -> Instant {
        let left = deadline.saturating_duration_since(self.runtime.now());
        deadline - left / SEND_SHARE
    }

    fn is_short(&self, deadline: Instant) -> bool {
        deadline.saturating_duration_since(self.runtime.now()) <= SHORT
    }

    async fn push(
        &self,
        partition: &Rc<Partition<S, R>>,
        (change, found): (Change, oneshot::Receiver<Finding>),
        deadline: Instant,
    ) -> Option<Finding> {
        partition.push(change);
        let found = until(&*self.runtime, deadline, found).await?;
        Some(found.unwrap_or(Finding::Unavailable))
    }

    fn stake(&self, request: &CallRequest) -> Result<Stake, key::Fault> {
        let at_ms = self.runtime.unix_ms();
        let key = Key::parse(&request.key, at_ms)?;
        let number = self.claims.get();
        self.claims.set(number + 1);
        Ok(Stake {
            key,
            claim: format!("{}{number:x}", self.prefix()).into(),
            fingerprint: key::fingerprint(&request.service, &request.body).into(),
            at_ms,
        })
    }

    /// Returns whether this process made the claim, so that it knows of an outcome first.
    fn is_mine(&self, entry: &Entry) -> bool {
        matches!(&entry.state, State::Claimed { by, .. } if by.starts_with(&self.prefix()))
    }

    fn prefix(&self) -> String {
        format!("{}-{:016x}-", self.me, self.run)
    }

    fn open(&self, number: u32) -> Rc<Partition<S, R>> {
        let mut partitions = self.partitions.borrow_mut();
        let kept = partitions.values().filter(|partition| partition.size() > 0);
        if kept.count() > OBJECTS_MAX {
            partitions.values().for_each(|partition| partition.forget());
        }
        let partition = partitions.entry(number).or_insert_with(|| {
            let store = self.store.clone();
            let runtime = self.runtime.clone();
            let (counters, health) = (self.counters.clone(), self.health.clone());
            Partition::new(number, store, runtime, counters, health)
        });
        partition.clone()
    }

    fn counted(&self, reply: CallReply) -> CallReply {
        if reply.recorded {
            count(&self.calls.repeated);
        }
        if let Some(failure) = &reply.failure {
            let reason = failure.reason().as_str_name();
            *self.calls.refused.borrow_mut().entry(reason).or_default() += 1;
        }
        reply
    }

    /// Returns claims in flight and counters, as JSON of bounded size.
    pub fn state(&self) -> serde_json::Value {
        let partitions = self.partitions.borrow();
        let listed = partitions.iter().map(|(number, partition)| {
            serde_json::json!({
                "partition": number,
                "bytes": partition.size(),
                "queued": partition.queued(),
            })
        });
        let listed = listed.collect::<Vec<_>>();
        serde_json::json!({
            "in_flight": self.calls.in_flight.get(),
            "sent": self.calls.sent.get(),
            "repeated": self.calls.repeated.get(),
            "settled": self.calls.settled.get(),
            "refused": *self.calls.refused.borrow(),
            "reads": self.counters.reads.get(),
            "writes": self.counters.writes.get(),
            "conflicts": self.counters.conflicts.get(),
            "lost": self.counters.lost.get(),
            "unavailable": self.counters.unavailable.get(),
            "malformed": self.counters.malformed.get(),
            "unrecorded": self.counters.unrecorded.get(),
            "partitions": listed,
        })
    }

    /// Refuses new calls and waits for the outcomes that are still to be recorded, for at most
    /// until `deadline`.
    pub async fn close(self: Rc<Self>, deadline: Instant) {
        self.stopping.set(true);
        while self.is_busy() && self.runtime.now() < deadline {
            self.runtime.sleep(CLOSE_STEP).await;
        }
    }

    fn is_busy(&self) -> bool {
        let partitions = self.partitions.borrow();
        self.calls.in_flight.get() > 0 || partitions.values().any(|partition| partition.is_busy())
    }
}

/// Makes the reply to a call whose claim wasn't confirmed.
///
/// This process alone could use the claim, and its id is dropped with the change. But only a full
/// partition was read and didn't hold the key: otherwise an earlier request with it may have run.
fn unclaimed(found: Option<Finding>) -> CallReply {
    match found {
        Some(Finding::Full) => reply::not_run(Reason::Overloaded),
        Some(Finding::Expired) => reply::may_have_run(Reason::KeyExpired),
        Some(_) => reply::may_have_run(Reason::Platform),
        None => reply::may_have_run(Reason::Deadline),
    }
}

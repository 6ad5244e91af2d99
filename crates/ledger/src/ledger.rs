//! Runs and settles calls that carry an idempotency key.

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
        Attempt,
        Change,
        ChangeResult,
        Kind, //
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
        increment,
        Counters,
        Partition, //
    },
    reply,
    runtime::{
        timeout_at,
        Monoio,
        Runtime, //
    },
};

/// Initial and maximum wait between two checks of a key that another request has claimed.
const POLL_BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(320));
/// Remaining time below which a request stops waiting for another request's outcome.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// The time reserved for sending a call is its remaining time divided by this number.
const SEND_TIME_DIVISOR: u32 = 8;
/// Number of cached objects above which all of them are dropped from memory.
const MAX_CACHED_OBJECTS: usize = 32;
/// Time after the deadline until which a sent call may still receive its reply.
const SEND_GRACE: Duration = Duration::from_millis(100);
/// Interval at which [`Ledger::close`] checks whether all outcomes are recorded.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sends a claimed call to the owner of its service, once.
pub trait Dispatch: 'static {
    /// Sends the call; never retries once any byte may have been sent.
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

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
struct InFlightGuard<'a>(&'a Cell<u64>);

impl<'a> InFlightGuard<'a> {
    fn start(counter: &'a Cell<u64>) -> Self {
        counter.set(counter.get() + 1);
        Self(counter)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Result of an attempt to claim or fence a key, after waiting for another request's outcome.
#[derive(Debug)]
enum Resolution {
    /// The key is claimed.
    Granted(Claim<Confirmed>),
    /// The key's entry determines the reply.
    Settled(CallReply),
    /// The state of the key is unknown, but this process won't use its claim.
    Unclaimed(CallReply),
}

/// One instance's access to the ledger.
pub struct Ledger<S, D, R = Monoio> {
    store: Rc<S>,
    dispatch: Rc<D>,
    runtime: Rc<R>,
    instance: Arc<str>,
    /// Random number that distinguishes this process's claims from those of an earlier process of
    /// the same instance name.
    process_nonce: u64,
    next_claim: Cell<u64>,
    is_stopping: Cell<bool>,
    partitions: RefCell<BTreeMap<u32, Rc<Partition<S, R>>>>,
    counters: Rc<Counters>,
    health: Rc<Health>,
    calls: Calls,
}

impl<S, D, R> std::fmt::Debug for Ledger<S, D, R> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ledger")
            .field("instance", &self.instance)
            .field("counters", &self.counters)
            .field("calls", &self.calls)
            .finish_non_exhaustive()
    }
}

impl<S: Store, D: Dispatch> Ledger<S, D> {
    /// Creates a ledger over `store` for the instance named `instance`.
    pub fn new(store: Rc<S>, dispatch: Rc<D>, instance: Arc<str>) -> Rc<Self> {
        Self::with_runtime(store, dispatch, instance, Rc::new(Monoio))
    }

    /// Returns the partition of `key`.
    pub fn partition(key: &str) -> u32 {
        key::partition_of(key)
    }
}

impl<S: Store, D: Dispatch, R: Runtime> Ledger<S, D, R> {
    /// Creates a ledger that runs on `runtime`.
    pub fn with_runtime(
        store: Rc<S>,
        dispatch: Rc<D>,
        instance: Arc<str>,
        runtime: Rc<R>,
    ) -> Rc<Self> {
        let process_nonce = runtime.random();
        Rc::new(Self {
            store,
            dispatch,
            runtime,
            instance,
            process_nonce,
            next_claim: Cell::new(0),
            is_stopping: Cell::new(false),
            partitions: RefCell::default(),
            counters: Rc::default(),
            health: Rc::default(),
            calls: Calls::default(),
        })
    }

    /// Runs a keyed call: claims the key, sends the call and records the outcome.
    ///
    /// The reply is returned before its outcome is recorded. If the key's call already has a reply,
    /// the recorded one is returned. If another request has claimed the key, this waits for its
    /// outcome until shortly before `deadline` and then replies that the call may have run.
    pub async fn call(&self, request: CallRequest, deadline: Instant) -> CallReply {
        if self.is_stopping.get() {
            return self.count_reply(reply::may_have_run(Reason::Stopping));
        }
        let _guard = InFlightGuard::start(&self.calls.in_flight);
        let reply = self.run_call(request, deadline).await;
        self.count_reply(reply)
    }

    /// Settles a keyed call whose home instance stopped replying.
    ///
    /// If the key isn't claimed, this instance claims it and sends the call. Otherwise the reply is
    /// the recorded one, or `may_have_run`, or `not_run` once the key is fenced so that the home
    /// instance can't run the call any more.
    pub async fn settle(&self, request: CallRequest, deadline: Instant) -> CallReply {
        increment(&self.calls.settled);
        let _guard = InFlightGuard::start(&self.calls.in_flight);
        let reply = self.settle_call(request, deadline).await;
        self.count_reply(reply)
    }

    async fn run_call(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let attempt = match self.new_attempt(&request) {
            Ok(attempt) => attempt,
            Err(fault) => return reply::invalid_key(fault),
        };
        let partition = self.get_partition(attempt.key.partition());
        let claim_by = self.claim_by(deadline);
        if self.health.should_refuse(self.runtime.now(), claim_by) {
            return reply::may_have_run(Reason::Platform);
        }
        if !partition.has_room() {
            return reply::may_have_run(Reason::Overloaded);
        }
        match self
            .resolve(&partition, Kind::Claim, &attempt, claim_by)
            .await
        {
            Resolution::Granted(claim) => self.send(claim, request, deadline).await,
            Resolution::Settled(reply) | Resolution::Unclaimed(reply) => reply,
        }
    }

    async fn send(
        &self,
        claim: Claim<Confirmed>,
        request: CallRequest,
        deadline: Instant,
    ) -> CallReply {
        if self.runtime.now() >= deadline {
            claim.release();
            return reply::not_run(Reason::Deadline);
        }
        increment(&self.calls.sent);
        let claim = claim.mark_sent();
        let send = self.dispatch.send(request, deadline);
        let reply = timeout_at(&*self.runtime, deadline + SEND_GRACE, send)
            .await
            .unwrap_or_else(|| reply::may_have_run(Reason::Deadline));
        claim.complete(reply::outcome(&reply));
        reply
    }

    async fn settle_call(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let unknown = reply::may_have_run(Reason::OutcomeUnknown);
        let attempt = match self.new_attempt(&request) {
            Ok(attempt) => attempt,
            Err(fault) => return reply::invalid_key(fault),
        };
        let partition = self.get_partition(attempt.key.partition());
        let claim_by = self.claim_by(deadline);
        let reply = match self
            .resolve(&partition, Kind::Claim, &attempt, claim_by)
            .await
        {
            Resolution::Granted(claim) => self.send(claim, request, deadline).await,
            Resolution::Settled(reply) => return reply,
            // The home instance may still claim the key.
            Resolution::Unclaimed(_) => return unknown,
        };
        let is_not_run = reply
            .failure
            .as_ref()
            .is_some_and(|failure| failure.not_run);
        if !is_not_run {
            return reply;
        }
        match self
            .resolve(&partition, Kind::Fence, &attempt, deadline)
            .await
        {
            Resolution::Settled(reply) => reply,
            Resolution::Granted(_) | Resolution::Unclaimed(_) => unknown,
        }
    }

    /// Claims or fences a key; if another request has claimed it, waits for that request's outcome.
    ///
    /// If the other claim is released meanwhile, this claims or fences the key instead of replying
    /// that it didn't run: only then is it certain that no other instance runs this request.
    async fn resolve(
        &self,
        partition: &Rc<Partition<S, R>>,
        kind: Kind,
        attempt: &Attempt,
        deadline: Instant,
    ) -> Resolution {
        let unknown = reply::may_have_run(Reason::OutcomeUnknown);
        let mut backoff = Backoff::seeded(POLL_BACKOFF.0, POLL_BACKOFF.1, self.runtime.random());
        let mut needs_read = false;
        let mut has_seen_entry = false;
        loop {
            let change = Change::with_reply(kind.clone(), attempt.clone(), deadline, needs_read);
            let entry = match self.push_and_wait(partition, change, deadline).await {
                Some(ChangeResult::Granted(claim)) => return Resolution::Granted(claim),
                Some(ChangeResult::Entry(entry)) => entry,
                // This request didn't run, but the other one with the same key may have run, and
                // the caller needs a reply that is true of both.
                _ if has_seen_entry => return Resolution::Settled(unknown),
                other => return Resolution::Unclaimed(unclaimed_reply(other)),
            };
            if let Some(reply) = self.reply_from_entry(attempt, &entry) {
                return Resolution::Settled(reply);
            }
            if self.is_nearly_due(deadline) {
                return Resolution::Settled(unknown);
            }
            has_seen_entry = true;
            needs_read = !self.is_own_claim(&entry);
            self.runtime.sleep(backoff.next_wait()).await;
        }
    }

    fn reply_from_entry(&self, attempt: &Attempt, entry: &Entry) -> Option<CallReply> {
        if entry.fingerprint != attempt.fingerprint {
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
            // A claim may still get an outcome. A `NotRun` entry with this fingerprint doesn't get
            // here: the change replaced it.
            State::Claimed { .. } | State::NotRun => None,
        }
    }

    /// Returns the time by which a claim has to be confirmed; the rest of the time is reserved for
    /// the call's round trip.
    fn claim_by(&self, deadline: Instant) -> Instant {
        let remaining = deadline.saturating_duration_since(self.runtime.now());
        deadline - remaining / SEND_TIME_DIVISOR
    }

    fn is_nearly_due(&self, deadline: Instant) -> bool {
        deadline.saturating_duration_since(self.runtime.now()) <= MIN_WAIT
    }

    async fn push_and_wait(
        &self,
        partition: &Rc<Partition<S, R>>,
        (change, result): (Change, oneshot::Receiver<ChangeResult>),
        deadline: Instant,
    ) -> Option<ChangeResult> {
        partition.push(change);
        let result = timeout_at(&*self.runtime, deadline, result).await?;
        Some(result.unwrap_or(ChangeResult::Unavailable))
    }

    fn new_attempt(&self, request: &CallRequest) -> Result<Attempt, key::Fault> {
        let at_ms = self.runtime.unix_ms();
        let key = Key::parse(&request.key, at_ms)?;
        let number = self.next_claim.get();
        self.next_claim.set(number + 1);
        Ok(Attempt {
            key,
            claim_id: format!("{}{number:x}", self.claim_prefix()).into(),
            fingerprint: key::fingerprint(&request.service, &request.body).into(),
            at_ms,
        })
    }

    /// Returns whether this process made the claim, so that its cached object shows the outcome
    /// without a read.
    fn is_own_claim(&self, entry: &Entry) -> bool {
        matches!(&entry.state, State::Claimed { by, .. } if by.starts_with(&self.claim_prefix()))
    }

    fn claim_prefix(&self) -> String {
        format!("{}-{:016x}-", self.instance, self.process_nonce)
    }

    fn get_partition(&self, number: u32) -> Rc<Partition<S, R>> {
        let mut partitions = self.partitions.borrow_mut();
        let cached = partitions
            .values()
            .filter(|partition| partition.size_bytes() > 0);
        if cached.count() > MAX_CACHED_OBJECTS {
            partitions
                .values()
                .for_each(|partition| partition.clear_cache());
        }
        let partition = partitions.entry(number).or_insert_with(|| {
            let store = self.store.clone();
            let runtime = self.runtime.clone();
            let (counters, health) = (self.counters.clone(), self.health.clone());
            Partition::new(number, store, runtime, counters, health)
        });
        partition.clone()
    }

    fn count_reply(&self, reply: CallReply) -> CallReply {
        if reply.recorded {
            increment(&self.calls.repeated);
        }
        if let Some(failure) = &reply.failure {
            let reason = failure.reason().as_str_name();
            *self.calls.refused.borrow_mut().entry(reason).or_default() += 1;
        }
        reply
    }

    /// Returns the number of calls in flight, the counters and the partitions, as JSON of limited
    /// size.
    pub fn state(&self) -> serde_json::Value {
        let partitions = self.partitions.borrow();
        let partition_states = partitions.iter().map(|(number, partition)| {
            serde_json::json!({
                "partition": number,
                "bytes": partition.size_bytes(),
                "queued": partition.queued(),
            })
        });
        let partition_states = partition_states.collect::<Vec<_>>();
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
            "partitions": partition_states,
        })
    }

    /// Refuses new calls and waits until all outcomes are recorded, but not past `deadline`.
    pub async fn close(self: Rc<Self>, deadline: Instant) {
        self.is_stopping.set(true);
        while self.is_busy() && self.runtime.now() < deadline {
            self.runtime.sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    fn is_busy(&self) -> bool {
        let partitions = self.partitions.borrow();
        self.calls.in_flight.get() > 0 || partitions.values().any(|partition| partition.is_busy())
    }
}

/// Returns the reply to a call whose claim wasn't confirmed.
///
/// This call doesn't run: only this process could use the claim, and its id is dropped with the
/// change. But an earlier request with the key may have run, except if the partition is full: then
/// it was read and didn't contain the key.
fn unclaimed_reply(result: Option<ChangeResult>) -> CallReply {
    match result {
        Some(ChangeResult::Full) => reply::not_run(Reason::Overloaded),
        Some(ChangeResult::Expired) => reply::may_have_run(Reason::KeyExpired),
        Some(_) => reply::may_have_run(Reason::Platform),
        None => reply::may_have_run(Reason::Deadline),
    }
}

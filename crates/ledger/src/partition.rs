//! Group commit: one task per partition writes the changes that arrived during the previous write.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use platform::{
    backoff::Backoff,
    Store, //
};

use crate::{
    change::{
        Attempt,
        Change,
        ChangeResult,
        Effect,
        Kind, //
    },
    claim::{
        Claim,
        Recorder, //
    },
    health::Health,
    key::WINDOW_MS,
    object::{
        Fault,
        Object,
        State,
        MAX_VALUE_FOR_CLAIMS_BYTES, //
    },
    rate_limiter::RateLimiter,
    runtime::Runtime,
    KIND,
};

/// Maximum number of changes in one write.
const MAX_BATCH_CHANGES: usize = 512;
/// Number of waiting changes from which on new claims are refused.
const MAX_QUEUED_CHANGES: usize = 4096;
/// Time during which recording an outcome is retried; after it the key has expired anyway.
const RECORD_TIMEOUT: Duration = Duration::from_millis(WINDOW_MS);
/// Initial and maximum wait after a version conflict with another instance's write.
const CONFLICT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(2), Duration::from_millis(100));
/// Initial and maximum wait after a failed read or write.
const FAILURE_BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(2));

/// Counters of the reads and writes of all partitions of one instance.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) reads: Cell<u64>,
    pub(crate) writes: Cell<u64>,
    pub(crate) conflicts: Cell<u64>,
    pub(crate) lost: Cell<u64>,
    pub(crate) unavailable: Cell<u64>,
    pub(crate) malformed: Cell<u64>,
    pub(crate) unrecorded: Cell<u64>,
}

/// Increments a counter.
pub(crate) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

#[derive(Debug, Default)]
struct CachedObject {
    version: u64,
    size_bytes: usize,
    object: Object,
}

/// Why a batch wasn't written or may not have been.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitError {
    /// Reading the object failed; nothing was written.
    Read(platform::Failure),
    /// The object isn't a valid partition or would be too large; nothing was written.
    Object(Fault),
    /// Writing the object failed; it may have taken effect.
    Write(platform::Failure),
}

impl CommitError {
    fn is_conflict(self) -> bool {
        matches!(self, Self::Write(platform::Failure::Conflict { .. }))
    }

    fn is_in_doubt(self) -> bool {
        matches!(self, Self::Write(failure) if failure.may_have_taken_effect())
    }
}

impl From<Fault> for CommitError {
    fn from(fault: Fault) -> Self {
        Self::Object(fault)
    }
}

/// One instance's access to a partition.
pub(crate) struct Partition<S, R> {
    name: String,
    store: Rc<S>,
    runtime: Rc<R>,
    counters: Rc<Counters>,
    queue: RefCell<VecDeque<Change>>,
    cache: RefCell<Option<CachedObject>>,
    is_running: Cell<bool>,
    health: Rc<Health>,
    rate_limiter: RateLimiter,
}

impl<S: Store, R: Runtime> Partition<S, R> {
    pub(crate) fn new(
        number: u32,
        store: Rc<S>,
        runtime: Rc<R>,
        counters: Rc<Counters>,
        health: Rc<Health>,
    ) -> Rc<Self> {
        Rc::new(Self {
            name: format!("p{number:02}"),
            store,
            runtime,
            counters,
            queue: RefCell::default(),
            cache: RefCell::default(),
            is_running: Cell::new(false),
            health,
            rate_limiter: RateLimiter::new(),
        })
    }

    /// Returns the number of changes that wait for a write.
    pub(crate) fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Returns whether changes are waiting or being written.
    pub(crate) fn is_busy(&self) -> bool {
        self.is_running.get()
    }

    /// Returns the size of the cached object, in bytes; 0 if none is cached.
    pub(crate) fn size_bytes(&self) -> usize {
        self.cache
            .borrow()
            .as_ref()
            .map_or(0, |cache| cache.size_bytes)
    }

    /// Drops the cached object; the next write reads it again.
    pub(crate) fn clear_cache(&self) {
        *self.cache.borrow_mut() = None;
    }

    /// Returns whether the queue accepts more claims.
    pub(crate) fn has_room(&self) -> bool {
        self.queued() < MAX_QUEUED_CHANGES
    }

    /// Queues a change for the next write.
    pub(crate) fn push(self: &Rc<Self>, change: Change) {
        self.queue.borrow_mut().push_back(change);
        if !self.is_running.replace(true) {
            self.runtime.spawn(self.clone().run());
        }
    }

    async fn run(self: Rc<Self>) {
        let mut conflict_backoff = Backoff::seeded(
            CONFLICT_BACKOFF.0,
            CONFLICT_BACKOFF.1,
            self.runtime.random(),
        );
        let mut failure_backoff =
            Backoff::seeded(FAILURE_BACKOFF.0, FAILURE_BACKOFF.1, self.runtime.random());
        loop {
            self.wait_for_turn().await;
            let Some(batch) = self.take_batch() else {
                return;
            };
            let wait = match self.commit(batch).await {
                Ok(()) => {
                    conflict_backoff.reset();
                    failure_backoff.reset();
                    continue;
                }
                Err(error) if error.is_conflict() => conflict_backoff.next_wait(),
                Err(_) => failure_backoff.next_wait(),
            };
            self.runtime.sleep(wait).await;
        }
    }

    /// Waits until the rate limit allows another write.
    async fn wait_for_turn(&self) {
        let wait = self.rate_limiter.wait(self.runtime.now());
        if !wait.is_zero() {
            self.runtime.sleep(wait).await;
        }
    }

    /// Takes the changes for the next write from the queue; ends the task if there are none.
    fn take_batch(&self) -> Option<Vec<Change>> {
        let now = self.runtime.now();
        let mut batch = Vec::new();
        while batch.len() < MAX_BATCH_CHANGES {
            let Some(change) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            match change.is_expired(now) && !change.must_be_written() {
                true => batch.extend(self.refuse(change)),
                false => batch.push(change),
            }
        }
        if batch.is_empty() {
            self.is_running.set(false);
            return None;
        }
        Some(batch)
    }

    async fn commit(self: &Rc<Self>, batch: Vec<Change>) -> Result<(), CommitError> {
        match self.write(&batch).await {
            Ok(effects) => {
                for (change, effect) in batch.into_iter().zip(effects) {
                    self.finish(change, effect);
                }
                Ok(())
            }
            Err(error) => {
                self.report_failure(error);
                self.requeue(batch, error);
                Err(error)
            }
        }
    }

    async fn write(&self, batch: &[Change]) -> Result<Vec<Effect>, CommitError> {
        let mut cached = match self.cache.take() {
            Some(cached) if !batch.iter().any(|change| change.needs_read) => cached,
            _ => self.read().await?,
        };
        let room = cached.size_bytes < MAX_VALUE_FOR_CLAIMS_BYTES;
        // Sweeping first prevents a claim of this batch from entering a bucket that is then
        // dropped.
        cached.object.sweep(self.runtime.unix_ms());
        let mut any_changed = false;
        let mut effects = Vec::with_capacity(batch.len());
        for change in batch {
            let (effect, is_changed) = change.apply(&mut cached.object, room);
            any_changed |= is_changed;
            effects.push(effect);
        }
        if any_changed {
            let value = cached.object.encode()?;
            self.rate_limiter.record_write(self.runtime.now());
            increment(&self.counters.writes);
            let request = self.health.start_request(self.runtime.now());
            cached.version = self
                .store
                .write(KIND, &self.name, cached.version, &value)
                .await
                .map_err(CommitError::Write)?;
            request.succeed();
            cached.size_bytes = value.get().len();
        }
        *self.cache.borrow_mut() = Some(cached);
        Ok(effects)
    }

    async fn read(&self) -> Result<CachedObject, CommitError> {
        increment(&self.counters.reads);
        let request = self.health.start_request(self.runtime.now());
        let object = self
            .store
            .read(KIND, &self.name)
            .await
            .map_err(CommitError::Read)?;
        request.succeed();
        match object {
            Some(object) => Ok(CachedObject {
                version: object.version,
                size_bytes: object.value.get().len(),
                object: Object::decode(object.value.get())?,
            }),
            None => Ok(CachedObject::default()),
        }
    }

    fn finish(self: &Rc<Self>, change: Change, effect: Effect) {
        let result = match effect {
            Effect::Granted => {
                ChangeResult::Granted(Claim::new(self.clone(), change.attempt.clone()))
            }
            Effect::Entry(entry) => ChangeResult::Entry(entry),
            Effect::Expired => ChangeResult::Expired,
            Effect::Full => ChangeResult::Full,
            Effect::NoReply => return,
        };
        if change.in_doubt && matches!(result, ChangeResult::Full) {
            self.push(Change::abandonment(change.attempt, self.record_by()));
        }
        if let Some(reply) = change.reply {
            // If the receiver is gone, the claim is dropped here, which records that it wasn't
            // used.
            drop(reply.send(result));
        }
    }

    /// Puts the changes that can still be written back into the queue and refuses the rest.
    fn requeue(&self, batch: Vec<Change>, error: CommitError) {
        let now = self.runtime.now();
        let mut retained = Vec::with_capacity(batch.len());
        for mut change in batch {
            change.in_doubt |= error.is_in_doubt();
            let must_be_written = change.must_be_written();
            let is_refused = !must_be_written && !error.is_conflict() && !error.is_in_doubt();
            match change.is_expired(now) || is_refused {
                false => retained.push(change),
                true if must_be_written => increment(&self.counters.unrecorded),
                true => retained.extend(self.refuse(change)),
            }
        }
        let mut queue = self.queue.borrow_mut();
        retained
            .into_iter()
            .rev()
            .for_each(|change| queue.push_front(change));
    }

    /// Replies to a change that isn't retried; returns the abandonment of a claim whose write may
    /// still take effect.
    fn refuse(&self, change: Change) -> Option<Change> {
        if let Some(reply) = change.reply {
            drop(reply.send(ChangeResult::Unavailable));
        }
        let may_take_effect = change.in_doubt && matches!(change.kind, Kind::Claim);
        may_take_effect.then(|| Change::abandonment(change.attempt, self.record_by()))
    }

    fn record_by(&self) -> Instant {
        self.runtime.now() + RECORD_TIMEOUT
    }

    fn report_failure(&self, error: CommitError) {
        let name = &self.name;
        match error {
            CommitError::Write(platform::Failure::Conflict { .. }) => {
                increment(&self.counters.conflicts)
            }
            CommitError::Write(failure) if failure.may_have_taken_effect() => {
                increment(&self.counters.lost);
                tracing::info!(
                    "ledger: write of partition {name} may have taken effect: {failure}."
                );
            }
            CommitError::Read(failure) | CommitError::Write(failure) => {
                increment(&self.counters.unavailable);
                tracing::warn!("ledger: partition {name} is unavailable: {failure}.");
            }
            CommitError::Object(fault) => {
                increment(&self.counters.malformed);
                tracing::error!("ledger: partition {name} can't be updated: {fault}.");
            }
        }
        if !error.is_conflict() && !error.is_in_doubt() {
            self.health.record_failure(self.runtime.now());
        }
    }
}

impl<S: Store, R: Runtime> Recorder for Partition<S, R> {
    fn record(self: Rc<Self>, attempt: Attempt, outcome: State) {
        let deadline = self.record_by();
        self.push(Change::recording(attempt, outcome, deadline));
    }
}

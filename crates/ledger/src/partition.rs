//! Group commit: one task a partition writes the changes that arrived during the last write.

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
        Change,
        Finding,
        Kind,
        Stake,
        Step, //
    },
    claim::{
        Claim,
        Sink, //
    },
    health::Health,
    key::WINDOW_MS,
    object::{
        Fault,
        Object,
        State,
        CLAIMS_MAX, //
    },
    pace::Pace,
    runtime::Runtime,
    KIND,
};

/// Most changes in one write.
const BATCH_MAX: usize = 512;
/// Most changes that wait for a write.
const QUEUE_MAX: usize = 4096;
/// Time for which the recording of an outcome is tried; after it the key is forgotten anyway.
const RECORD_FOR: Duration = Duration::from_millis(WINDOW_MS);
/// Shortest and longest wait after another instance's write came first.
const CONTENDED: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(100));
/// Shortest and longest wait after a failed read or write.
const FAILED: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(2));

/// What the partitions of one instance did.
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

/// Adds one to a counter.
pub(crate) fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

#[derive(Debug, Default)]
struct Version {
    number: u64,
    size: usize,
    object: Object,
}

/// Why a batch wasn't written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Halt {
    /// The object can't be read; nothing was written.
    Read(platform::Failure),
    /// The object isn't a partition or would be too long; nothing was written.
    Object(Fault),
    /// The write failed.
    Write(platform::Failure),
}

impl Halt {
    fn is_conflict(self) -> bool {
        matches!(self, Self::Write(platform::Failure::Conflict { .. }))
    }

    fn is_in_doubt(self) -> bool {
        matches!(self, Self::Write(failure) if failure.may_have_taken_effect())
    }
}

impl From<Fault> for Halt {
    fn from(fault: Fault) -> Self {
        Self::Object(fault)
    }
}

/// One partition as this instance sees it.
pub(crate) struct Partition<S, R> {
    name: String,
    store: Rc<S>,
    runtime: Rc<R>,
    counters: Rc<Counters>,
    queue: RefCell<VecDeque<Change>>,
    cache: RefCell<Option<Version>>,
    is_running: Cell<bool>,
    health: Rc<Health>,
    pace: Pace,
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
            pace: Pace::new(),
        })
    }

    /// Returns the changes that wait for a write.
    pub(crate) fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Returns whether changes wait or are being written.
    pub(crate) fn is_busy(&self) -> bool {
        self.is_running.get()
    }

    /// Returns the size of the object when it was last seen, in bytes.
    pub(crate) fn size(&self) -> usize {
        self.cache.borrow().as_ref().map_or(0, |cache| cache.size)
    }

    /// Drops the object that is kept, which the next write reads again.
    pub(crate) fn forget(&self) {
        *self.cache.borrow_mut() = None;
    }

    /// Returns whether more changes may wait.
    pub(crate) fn has_room(&self) -> bool {
        self.queued() < QUEUE_MAX
    }

    /// Queues a change for the next write.
    pub(crate) fn push(self: &Rc<Self>, change: Change) {
        self.queue.borrow_mut().push_back(change);
        if !self.is_running.replace(true) {
            self.runtime.spawn(self.clone().run());
        }
    }

    async fn run(self: Rc<Self>) {
        let mut contended = Backoff::seeded(CONTENDED.0, CONTENDED.1, self.runtime.random());
        let mut failed = Backoff::seeded(FAILED.0, FAILED.1, self.runtime.random());
        loop {
            self.wait_for_turn().await;
            let Some(batch) = self.take() else {
                return;
            };
            let wait = match self.commit(batch).await {
                Ok(()) => {
                    contended.reset();
                    failed.reset();
                    continue;
                }
                Err(halt) if halt.is_conflict() => contended.next_wait(),
                Err(_) => failed.next_wait(),
            };
            self.runtime.sleep(wait).await;
        }
    }

    /// Waits until the partition may be written again.
    async fn wait_for_turn(&self) {
        let wait = self.pace.wait(self.runtime.now());
        if !wait.is_zero() {
            self.runtime.sleep(wait).await;
        }
    }

    /// Takes the changes of the next write; ends the task if there are none.
    fn take(&self) -> Option<Vec<Change>> {
        let now = self.runtime.now();
        let mut batch = Vec::new();
        while batch.len() < BATCH_MAX {
            let Some(change) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            match change.is_over(now) && !change.is_lasting() {
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

    async fn commit(self: &Rc<Self>, batch: Vec<Change>) -> Result<(), Halt> {
        match self.write(&batch).await {
            Ok(steps) => {
                for (change, step) in batch.into_iter().zip(steps) {
                    self.finish(change, step);
                }
                Ok(())
            }
            Err(halt) => {
                self.note(halt);
                self.requeue(batch, halt);
                Err(halt)
            }
        }
    }

    async fn write(&self, batch: &[Change]) -> Result<Vec<Step>, Halt> {
        let mut version = match self.cache.take() {
            Some(version) if !batch.iter().any(|change| change.is_fresh) => version,
            _ => self.read().await?,
        };
        let room = version.size < CLAIMS_MAX;
        // Sweeping first keeps a claim of this batch out of a bucket that is dropped.
        version.object.sweep(self.runtime.unix_ms());
        let mut changed = false;
        let mut steps = Vec::with_capacity(batch.len());
        for change in batch {
            let (step, changes) = change.apply(&mut version.object, room);
            changed |= changes;
            steps.push(step);
        }
        if changed {
            let value = version.object.encode()?;
            self.pace.spend(self.runtime.now());
            count(&self.counters.writes);
            let trip = self.health.start(self.runtime.now());
            version.number = self
                .store
                .write(KIND, &self.name, version.number, &value)
                .await
                .map_err(Halt::Write)?;
            trip.close();
            version.size = value.get().len();
        }
        *self.cache.borrow_mut() = Some(version);
        Ok(steps)
    }

    async fn read(&self) -> Result<Version, Halt> {
        count(&self.counters.reads);
        let trip = self.health.start(self.runtime.now());
        let object = self
            .store
            .read(KIND, &self.name)
            .await
            .map_err(Halt::Read)?;
        trip.close();
        match object {
            Some(object) => Ok(Version {
                number: object.version,
                size: object.value.get().len(),
                object: Object::decode(object.value.get())?,
            }),
            None => Ok(Version::default()),
        }
    }

    fn finish(self: &Rc<Self>, change: Change, step: Step) {
        let finding = match step {
            Step::Granted => Finding::Granted(Claim::new(self.clone(), change.stake.clone())),
            Step::Entry(entry) => Finding::Entry(entry),
            Step::Expired => Finding::Expired,
            Step::Full => Finding::Full,
            Step::Nothing => return,
        };
        if change.in_doubt && matches!(finding, Finding::Full) {
            self.push(Change::abandonment(change.stake, self.record_until()));
        }
        if let Some(reply) = change.reply {
            // A claim that nobody waits for comes back here and records that it wasn't used.
            drop(reply.send(finding));
        }
    }

    /// Puts back what can still be written and answers the rest.
    fn requeue(&self, batch: Vec<Change>, halt: Halt) {
        let now = self.runtime.now();
        let mut kept = Vec::with_capacity(batch.len());
        for mut change in batch {
            change.in_doubt |= halt.is_in_doubt();
            let is_lasting = change.is_lasting();
            let is_refused = !is_lasting && !halt.is_conflict() && !halt.is_in_doubt();
            match change.is_over(now) || is_refused {
                false => kept.push(change),
                true if is_lasting => count(&self.counters.unrecorded),
                true => kept.extend(self.refuse(change)),
            }
        }
        let mut queue = self.queue.borrow_mut();
        kept.into_iter()
            .rev()
            .for_each(|change| queue.push_front(change));
    }

    /// Answers a change that isn't tried again; one whose write may still take effect is followed
    /// by its abandonment.
    fn refuse(&self, change: Change) -> Option<Change> {
        if let Some(reply) = change.reply {
            drop(reply.send(Finding::Unavailable));
        }
        let may_land = change.in_doubt && matches!(change.kind, Kind::Claim);
        may_land.then(|| Change::abandonment(change.stake, self.record_until()))
    }

    fn record_until(&self) -> Instant {
        self.runtime.now() + RECORD_FOR
    }

    fn note(&self, halt: Halt) {
        let name = &self.name;
        match halt {
            Halt::Write(platform::Failure::Conflict { .. }) => count(&self.counters.conflicts),
            Halt::Write(failure) if failure.may_have_taken_effect() => {
                count(&self.counters.lost);
                tracing::info!("ledger: write of {name} is in doubt: {failure}.");
            }
            Halt::Read(failure) | Halt::Write(failure) => {
                count(&self.counters.unavailable);
                tracing::warn!("ledger: {name} can't be reached: {failure}.");
            }
            Halt::Object(fault) => {
                count(&self.counters.malformed);
                tracing::error!("ledger: {name} is left as it is: {fault}.");
            }
        }
        if !halt.is_conflict() && !halt.is_in_doubt() {
            self.health.fail(self.runtime.now());
        }
    }
}

impl<S: Store, R: Runtime> Sink for Partition<S, R> {
    fn record(self: Rc<Self>, stake: Stake, outcome: State) {
        let until = self.record_until();
        self.push(Change::recording(stake, outcome, until));
    }
}

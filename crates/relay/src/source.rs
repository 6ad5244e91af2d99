//! Where a task reads the store's objects: from the store itself, or from an instance that watches it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    future::Future,
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::future::{
    select,
    Either, //
};
use monoio::time::timeout;
use platform::{
    Failure,
    Store, //
};
use policy::watchers::{
    patience,
    Shortage, //
};
use tracing::info;

use self::{
    poll::{
        Outcome,
        Poll, //
    },
    watchers::{
        Question,
        Watchers, //
    },
};
use crate::{
    mirror::{
        Position,
        Reading, //
    },
    peers::Member,
    registry::StoreRole,
    relay::Relay,
};

mod poll;
mod watchers;

/// Maximum wait for the first list of instances before the store is asked anyway.
const MAX_ROLE_WAIT: Duration = Duration::from_millis(8_000);

/// Limits of the reads of one kind of objects.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// How long a watch of the store waits for a change.
    pub(crate) store_wait: Duration,
    /// How long a watcher waits for a change before it replies without one.
    pub(crate) feed_wait: Duration,
    /// Maximum age of a watcher's reading.
    pub(crate) max_age: Duration,
}

/// What is read.
#[derive(Debug, Clone, Copy)]
struct Read {
    /// Kind of objects.
    kind: &'static str,
    /// Position after which changes are wanted; none for all objects.
    after: Option<Position>,
    /// Latest position that this instance has read; an earlier one isn't used.
    latest: Option<Position>,
    limits: Limits,
}

/// Why a read failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The store or a watcher gave a definite answer, or the store couldn't be read.
    Failed(Failure),
    /// No watcher supplies this instance now, and it isn't time yet to ask the store.
    Unsupplied,
}

/// Reads of one kind of objects.
#[derive(Debug, Clone, Copy)]
struct Reads {
    /// Number of reads, by which watchers take turns.
    turn: u64,
    /// When a watcher supplied the last reading, or the store was asked instead.
    supplied_at: Instant,
    /// Whether any watcher has supplied a reading since the start, or since the store failed.
    was_supplied: bool,
    /// Whether the store is read until a watcher supplies this instance again.
    is_direct: bool,
    /// Latest position that was read.
    latest: Option<Position>,
}

/// Reads from the store or from watchers, as the role of this instance requires.
#[derive(Debug)]
pub struct Source<S> {
    store: Rc<S>,
    relay: Rc<Relay>,
    watchers: Watchers,
    reads: RefCell<HashMap<&'static str, Reads>>,
    /// Latest era that a watcher stated.
    era: Cell<u64>,
    started_at: Instant,
}

impl<S: Store> Source<S> {
    /// Creates a source that knows no watchers yet.
    pub fn new(store: Rc<S>, relay: Rc<Relay>) -> Rc<Self> {
        Rc::new(Self {
            store,
            watchers: Watchers::new(relay.clone()),
            relay,
            reads: RefCell::default(),
            era: Cell::new(0),
            started_at: Instant::now(),
        })
    }

    /// Returns the store.
    pub(crate) fn store(&self) -> &Rc<S> {
        &self.store
    }

    /// Returns the relay that the readings are for.
    pub(crate) fn relay(&self) -> &Rc<Relay> {
        &self.relay
    }

    /// Records a position that was read past this source, so that no earlier reading replaces it.
    pub(crate) fn record_position(&self, kind: &'static str, position: Position) {
        self.with_reads(kind, |reads| {
            reads.latest = reads.latest.max(Some(position));
        });
    }

    /// Returns the latest position of a kind that was read; none before the first reading.
    pub(crate) fn latest(&self, kind: &'static str) -> Option<Position> {
        self.with_reads(kind, |reads| reads.latest)
    }

    /// Returns the latest era of the store that is known.
    pub(crate) fn era(&self) -> u64 {
        self.era.get().max(self.store.era())
    }

    /// Reads all objects of a kind, or waits for changes after the position `after`.
    pub(crate) async fn read(
        &self,
        kind: &'static str,
        after: Option<Position>,
        limits: Limits,
    ) -> Result<Reading, ReadError> {
        let reading = match self.role().await {
            StoreRole::Watcher => self.read_store(kind, after, limits.store_wait).await?,
            StoreRole::Reader if self.is_direct(kind) => {
                self.read_directly(kind, after, limits).await?
            }
            StoreRole::Reader => match self.read_feed(kind, after, limits).await {
                Err(ReadError::Unsupplied) if self.is_direct(kind) => {
                    self.read_directly(kind, after, limits).await?
                }
                result => result?,
            },
        };
        self.with_reads(kind, |reads| {
            reads.latest = Some(Position::of(&reading.listing));
        });
        match after.is_some_and(|after| after.era != reading.listing.era) {
            true => Err(ReadError::Failed(Failure::Restored)),
            false => Ok(reading),
        }
    }

    /// Returns the role of this instance, once the instances are known.
    async fn role(&self) -> StoreRole {
        let registry = self.relay.registry();
        if !registry.knows_instances() {
            let left = MAX_ROLE_WAIT.saturating_sub(self.started_at.elapsed());
            // Without the list of instances, the store is the only source.
            let _ = timeout(left, registry.wait_for_instances()).await;
        }
        registry.store_role()
    }

    async fn read_store(
        &self,
        kind: &'static str,
        after: Option<Position>,
        wait: Duration,
    ) -> Result<Reading, ReadError> {
        let result = match after {
            None => self.store.list(kind).await,
            Some(position) => self.store.watch(kind, position.revision, wait).await,
        };
        let listing = result.map_err(ReadError::Failed)?;
        Ok(Reading {
            listing,
            fresh_at: Instant::now(),
        })
    }

    /// Reads the store, and finds out meanwhile whether a watcher supplies this instance again.
    ///
    /// After a failure, watchers are asked again, and the store only after a longer wait, as it may be unavailable to all.
    async fn read_directly(
        &self,
        kind: &'static str,
        after: Option<Position>,
        limits: Limits,
    ) -> Result<Reading, ReadError> {
        let read = self.read_store(kind, after, limits.store_wait);
        let supply = self.find_supply(kind, after, limits);
        let result = run_beside(read, supply).await;
        let is_answered = matches!(
            result,
            Ok(_) | Err(ReadError::Failed(Failure::Compacted | Failure::Restored))
        );
        if !is_answered {
            self.with_reads(kind, |reads| {
                reads.is_direct = false;
                reads.was_supplied = false;
                reads.supplied_at = Instant::now();
            });
        }
        result
    }

    /// Asks one watcher whether it supplies this instance; the next one is asked at the next read.
    async fn find_supply(&self, kind: &'static str, after: Option<Position>, limits: Limits) {
        let (turn, latest) = self.next_turn(kind);
        let read = Read {
            kind,
            after,
            latest,
            limits,
        };
        let watchers = self.watchers.to_ask(kind, turn);
        let (Some(watcher), Some(_)) = (watchers.first(), after) else {
            return;
        };
        match self.watchers.ask(watcher, Question::probe(read)).await {
            Ok(_) => {
                info!(kind, watcher = %watcher.name, "source: a watcher supplies this instance again.");
                self.record_supply(watcher, kind);
                self.with_reads(kind, |reads| reads.is_direct = false);
            }
            Err(_) => self.watchers.record_failed(watcher, kind),
        }
    }

    fn is_direct(&self, kind: &'static str) -> bool {
        self.with_reads(kind, |reads| reads.is_direct)
    }

    /// Counts a read; returns its number and the latest position that was read.
    fn next_turn(&self, kind: &'static str) -> (u64, Option<Position>) {
        self.with_reads(kind, |reads| {
            reads.turn += 1;
            (reads.turn, reads.latest)
        })
    }

    fn record_supply(&self, watcher: &Member, kind: &'static str) {
        self.watchers.record_supply(watcher, kind);
        self.with_reads(kind, |reads| {
            reads.supplied_at = Instant::now();
            reads.was_supplied = true;
        });
    }

    /// Asks watchers until one supplies a reading; if none does for a while, the store is read next.
    async fn read_feed(
        &self,
        kind: &'static str,
        after: Option<Position>,
        limits: Limits,
    ) -> Result<Reading, ReadError> {
        let (turn, latest) = self.next_turn(kind);
        // A complete listing is long, and traffic between zones is billed.
        let turn = match after {
            None => turn * 2,
            Some(_) => turn,
        };
        let read = Read {
            kind,
            after,
            latest,
            limits,
        };
        let to_ask = self.watchers.to_ask(kind, turn);
        let local_zone = self.relay.registry().local_zone();
        let poll = Poll::new(&self.watchers, read, to_ask, &local_zone);
        let recheck = self.watchers.recheck(read);
        match run_beside(poll.run(), recheck).await {
            Outcome::Supplied(watcher, reading) => {
                self.record_supply(&watcher, kind);
                self.era.set(self.era.get().max(reading.listing.era));
                self.relay.meter().supplied.add(1);
                Ok(reading)
            }
            Outcome::Relist(failure) => Err(ReadError::Failed(failure)),
            Outcome::Unsupplied { is_any_reachable } => {
                self.turn_to_store(kind, is_any_reachable);
                Err(ReadError::Unsupplied)
            }
        }
    }

    /// Has the store read next if no watcher has supplied the kind for long enough.
    fn turn_to_store(&self, kind: &'static str, may_be_supplied: bool) {
        let name = self.relay.registry().local_name();
        self.with_reads(kind, |reads| {
            let shortage = match may_be_supplied {
                _ if !reads.was_supplied => Shortage::Start,
                true => Shortage::Outdated,
                false => Shortage::Unreachable,
            };
            let unsupplied = reads.supplied_at.elapsed();
            reads.is_direct = unsupplied >= patience(&name, shortage);
            if reads.is_direct {
                let ms = unsupplied.as_millis() as u64;
                info!(
                    kind,
                    ?shortage,
                    ms,
                    "source: no watcher supplies this instance, the store is read."
                );
                self.relay.meter().unsupplied.add(1);
            }
        });
    }

    fn with_reads<T>(&self, kind: &'static str, change: impl FnOnce(&mut Reads) -> T) -> T {
        let mut reads = self.reads.borrow_mut();
        change(reads.entry(kind).or_insert(Reads {
            turn: 0,
            supplied_at: self.started_at,
            was_supplied: false,
            is_direct: false,
            latest: None,
        }))
    }
}

/// Runs a read, and another task until the read ends.
async fn run_beside<T>(read: impl Future<Output = T>, beside: impl Future<Output = ()>) -> T {
    match select(pin!(read), pin!(beside)).await {
        Either::Left((result, _)) => result,
        Either::Right(((), read)) => read.await,
    }
}

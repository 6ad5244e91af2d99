//! The store's objects as this instance last read them, for instances that don't watch the store.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        VecDeque, //
    },
    sync::Arc,
    time::Instant,
};

use platform::{
    Failure,
    Listing,
    Object, //
};
use serde::Serialize;
use web::Notification;

use crate::compression;

/// Maximum number of changes of one kind that are kept for readers to resume from.
const MAX_CHANGES: usize = 4_000;

/// Maximum number of encoded readings that are kept.
const MAX_ENCODED: usize = 6;

/// State of the store that was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store.
    pub era: u64,
    /// Revision in that era.
    pub revision: u64,
}

impl Position {
    /// Returns the position of a listing.
    pub fn of(listing: &Listing) -> Self {
        Self {
            era: listing.era,
            revision: listing.revision,
        }
    }
}

/// What was read of the store, and when the store last confirmed it.
#[derive(Debug, Clone)]
pub struct Reading {
    /// All objects of a kind, or the changes since the position that was asked for.
    pub listing: Listing,
    /// When the store held no newer state, as far as it has told anyone on the way.
    pub fresh_at: Instant,
}

/// What was read of one kind, in a dump.
#[derive(Debug, Serialize)]
pub struct State {
    /// Era of the store.
    pub era: u64,
    /// Revision in that era.
    pub revision: u64,
    /// Time since the store confirmed it, in milliseconds.
    pub age_ms: u64,
}

/// Objects of one kind.
#[derive(Debug)]
struct Kind {
    position: Position,
    fresh_at: Instant,
    objects: BTreeMap<Arc<str>, Object>,
    /// Names of changed objects with the revision at which the change was read, oldest first.
    changes: VecDeque<(u64, Arc<str>)>,
    /// Revision before the oldest change that is kept.
    floor: u64,
    /// Changes whenever a listing holds changes that weren't reported before it; random at first, so that those of
    /// two processes differ.
    generation: u64,
}

impl Kind {
    fn new(listing: Listing, fresh_at: Instant) -> Self {
        let objects = listing.objects.iter();
        Self {
            position: Position::of(&listing),
            fresh_at,
            objects: objects
                .map(|object| (object.name.clone(), object.clone()))
                .collect(),
            changes: VecDeque::new(),
            floor: listing.revision,
            generation: rand::random(),
        }
    }

    fn record_change(&mut self, revision: u64, name: Arc<str>) {
        self.changes.push_back((revision, name));
        while self.changes.len() > MAX_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.floor = dropped;
            }
        }
    }

    /// Applies a complete listing of the same era by its differences, so that readers needn't list again.
    fn replace(&mut self, listing: Listing) {
        let listed: BTreeSet<&Arc<str>> =
            listing.objects.iter().map(|object| &object.name).collect();
        let gone = self.objects.keys().filter(|name| !listed.contains(name));
        let deleted: Vec<Arc<str>> = gone.cloned().collect();
        let is_new = |object: &&Object| {
            let known = self.objects.get(&object.name);
            known.is_none_or(|known| known.version < object.version)
        };
        let objects: Vec<Object> = listing.objects.iter().filter(is_new).cloned().collect();
        // A revision that was passed on already may include these changes.
        if !objects.is_empty() || !deleted.is_empty() {
            self.generation = self.generation.wrapping_add(1);
        }
        self.update(Listing {
            objects,
            deleted,
            ..listing
        });
    }

    fn update(&mut self, listing: Listing) {
        let revision = listing.revision.max(self.position.revision);
        for name in listing.deleted {
            self.objects.remove(&name);
            self.record_change(revision, name);
        }
        for object in listing.objects {
            self.record_change(revision, object.name.clone());
            self.objects.insert(object.name.clone(), object);
        }
        self.position.revision = revision;
    }

    fn since(&self, revision: u64) -> Listing {
        let newer = self.changes.iter().rev();
        let names: BTreeSet<&Arc<str>> = newer
            .take_while(|(changed_at, _)| *changed_at > revision)
            .map(|(_, name)| name)
            .collect();
        let mut listing = Listing {
            era: self.position.era,
            revision: self.position.revision.max(revision),
            ..Listing::default()
        };
        for name in names {
            match self.objects.get(name) {
                Some(object) => listing.objects.push(object.clone()),
                None => listing.deleted.push(name.clone()),
            }
        }
        listing
    }
}

/// The objects of all kinds that this instance follows.
#[derive(Debug, Default)]
pub struct Mirror {
    kinds: RefCell<HashMap<&'static str, Kind>>,
    changed: Notification,
    encoded: RefCell<VecDeque<Encoded>>,
}

/// A reading as it is sent. Most readers are at the same position when a change comes.
#[derive(Debug)]
struct Encoded {
    kind: Arc<str>,
    after: Option<Position>,
    position: Position,
    body: compression::Body,
}

impl Mirror {
    /// Records a complete listing of a kind.
    pub fn replace(&self, kind: &'static str, reading: &Reading) {
        let Reading { listing, fresh_at } = reading.clone();
        let mut kinds = self.kinds.borrow_mut();
        match kinds.get_mut(kind) {
            Some(known) if known.position.era == listing.era => {
                known.fresh_at = known.fresh_at.max(fresh_at);
                known.replace(listing);
            }
            _ => drop(kinds.insert(kind, Kind::new(listing, fresh_at))),
        }
        drop(kinds);
        self.notify();
    }

    /// Records the changes of a kind since its last reading.
    pub fn update(&self, kind: &'static str, reading: &Reading) {
        let Reading { listing, fresh_at } = reading.clone();
        if let Some(known) = self.kinds.borrow_mut().get_mut(kind) {
            known.fresh_at = known.fresh_at.max(fresh_at);
            known.update(listing);
        }
        self.notify();
    }

    fn notify(&self) {
        self.changed.send();
    }

    /// Waits for the next reading of any kind.
    pub(crate) fn wait_for_reading(&self) -> impl std::future::Future<Output = ()> {
        self.changed.wait()
    }

    /// Returns the era, the revision and the age in milliseconds of what was read of each kind, for a dump.
    pub fn state(&self, now: Instant) -> BTreeMap<&'static str, State> {
        let kinds = self.kinds.borrow();
        let state = |known: &Kind| State {
            era: known.position.era,
            revision: known.position.revision,
            age_ms: now.saturating_duration_since(known.fresh_at).as_millis() as u64,
        };
        kinds
            .iter()
            .map(|(kind, known)| (*kind, state(known)))
            .collect()
    }

    /// Encodes a reading that was asked for with `after`.
    ///
    /// # Errors
    ///
    /// Fails if an object can't be written as JSON.
    pub(crate) fn encode(
        &self,
        kind: &str,
        after: Option<Position>,
        reading: &Reading,
    ) -> Result<compression::Body, serde_json::Error> {
        let position = Position::of(&reading.listing);
        let mut encoded = self.encoded.borrow_mut();
        let is_same =
            |one: &&Encoded| *one.kind == *kind && one.after == after && one.position == position;
        if let Some(known) = encoded.iter().find(is_same) {
            return Ok(known.body.clone());
        }
        let body = compression::encode(serde_json::to_vec(&reading.listing)?);
        encoded.push_back(Encoded {
            kind: Arc::from(kind),
            after,
            position,
            body: body.clone(),
        });
        if encoded.len() > MAX_ENCODED {
            encoded.pop_front();
        }
        Ok(body)
    }

    /// Returns the generation of a kind; 0 before the first reading. A reader that knows another one lists again.
    pub fn generation(&self, kind: &str) -> u64 {
        let kinds = self.kinds.borrow();
        kinds.get(kind).map_or(0, |known| known.generation)
    }

    /// Returns all objects of a kind; none before the first reading.
    pub fn list(&self, kind: &str) -> Option<Reading> {
        let kinds = self.kinds.borrow();
        let known = kinds.get(kind)?;
        Some(Reading {
            listing: Listing {
                era: known.position.era,
                revision: known.position.revision,
                objects: known.objects.values().cloned().collect(),
                deleted: Vec::new(),
            },
            fresh_at: known.fresh_at,
        })
    }

    /// Returns the changes of a kind after `position`, possibly none.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Unavailable`] before the first reading, or if this instance has read an earlier era
    /// only; with [`Failure::Restored`] if it has read a later one; and with [`Failure::Compacted`] if the changes are
    /// no longer kept.
    pub fn changes(&self, kind: &str, position: Position) -> Result<Reading, Failure> {
        let kinds = self.kinds.borrow();
        let known = kinds.get(kind).ok_or(Failure::Unavailable)?;
        match () {
            () if known.position.era < position.era => Err(Failure::Unavailable),
            () if known.position.era > position.era => Err(Failure::Restored),
            () if position.revision < known.floor => Err(Failure::Compacted),
            () => Ok(Reading {
                listing: known.since(position.revision),
                fresh_at: known.fresh_at,
            }),
        }
    }
}

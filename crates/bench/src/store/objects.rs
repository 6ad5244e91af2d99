//! Versioned objects with conditional updates and a bounded history of changes.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
    time::Duration,
};

use ::platform::{
    Listing,
    Object,
    MAX_VALUE_BYTES, //
};
use serde_json::value::RawValue;

use crate::{
    backends::now_us,
    verify::log::AcceptedVersion, //
};

/// Changes kept for watches to resume from.
const MAX_HISTORY: usize = 10_000;

/// Precondition of a write on the object's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Why a call was refused; nothing was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The object has another version, 0 if it doesn't exist.
    Conflict {
        /// Version that the object has.
        current: u64,
    },
    /// The value is larger than `MAX_VALUE_BYTES`.
    Oversized,
    /// The history no longer goes back to the revision.
    Compacted,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    at_us: u64,
    kind: Arc<str>,
    name: Arc<str>,
    /// The object before the change; `None` if it didn't exist.
    previous: Option<Object>,
}

/// All objects of the store.
#[derive(Debug, Default)]
pub struct Objects {
    revision: u64,
    kinds: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Object>>,
    history: VecDeque<Change>,
    /// Revision of the newest change that was removed from the history.
    compacted: u64,
    /// Number of times that the store was restored from an older copy.
    restorations: u64,
}

impl Objects {
    /// Returns an object, if it exists.
    pub fn read(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.get(name)
    }

    /// Returns all objects of a kind.
    pub fn list(&self, kind: &str) -> Listing {
        let objects = self.kinds.get(kind).into_iter().flat_map(BTreeMap::values);
        Listing {
            era: self.era(),
            revision: self.revision,
            objects: objects.cloned().collect(),
            deleted: Vec::new(),
        }
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Refuses a value that is too large and an object that doesn't meet the condition.
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Arc<RawValue>,
    ) -> Result<u64, Refusal> {
        if value.get().len() > MAX_VALUE_BYTES {
            return Err(Refusal::Oversized);
        }
        self.check_condition(kind, name, condition)?;
        let name = Arc::<str>::from(name);
        let previous = self.read(kind, &name).cloned();
        let version = self.record_change(kind, &name, previous);
        let object = Object {
            name: name.clone(),
            version,
            value,
        };
        let objects = self.kinds.entry(Arc::from(kind)).or_default();
        objects.insert(name, object);
        Ok(version)
    }

    /// Deletes an object and returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Refuses an object that doesn't meet the condition.
    pub fn delete(&mut self, kind: &str, name: &str, condition: Condition) -> Result<u64, Refusal> {
        self.check_condition(kind, name, condition)?;
        let objects = self.kinds.get_mut(kind);
        let previous = objects.and_then(|objects| objects.remove(name));
        Ok(self.record_change(kind, &Arc::from(name), previous))
    }

    /// Returns the objects of a kind that changed after revision `after`; `None` if there are none.
    ///
    /// # Errors
    ///
    /// Refuses a revision that the history no longer goes back to.
    pub fn changes_after(&self, kind: &str, after: u64) -> Result<Option<Listing>, Refusal> {
        // A revision that was given out before a restoration may not exist any more.
        if after < self.compacted || after > self.revision {
            return Err(Refusal::Compacted);
        }
        let names: BTreeSet<_> = self
            .history
            .iter()
            .rev()
            .take_while(|change| change.revision > after)
            .filter(|change| &*change.kind == kind)
            .map(|change| change.name.clone())
            .collect();
        if names.is_empty() {
            return Ok(None);
        }
        let mut listing = Listing {
            era: self.era(),
            revision: self.revision,
            ..Listing::default()
        };
        for name in names {
            match self.read(kind, &name) {
                Some(object) => listing.objects.push(object.clone()),
                None => listing.deleted.push(name),
            }
        }
        Ok(Some(listing))
    }

    /// Clears the history, so that watches can't resume from any older revision.
    pub fn clear_history(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// Goes back to the state of `age` ago, as far as the history goes, and enters a new era.
    ///
    /// The revisions after that state are given out again.
    pub fn restore(&mut self, age: Duration) {
        let since = now_us().saturating_sub(age.as_micros() as u64);
        while self
            .history
            .back()
            .is_some_and(|change| change.at_us >= since)
        {
            let Some(change) = self.history.pop_back() else {
                break;
            };
            self.revision = change.revision - 1;
            let objects = self.kinds.entry(change.kind).or_default();
            match change.previous {
                Some(object) => drop(objects.insert(change.name, object)),
                None => drop(objects.remove(&change.name)),
            }
        }
        self.restorations += 1;
    }

    /// Returns the era: 1, and one more for each restoration.
    pub fn era(&self) -> u64 {
        self.restorations + 1
    }

    /// Returns the version and time of every change of an object in the history, oldest first.
    pub fn accepted(&self, kind: &str, name: &str) -> Vec<AcceptedVersion> {
        let of_object = |change: &&Change| &*change.kind == kind && &*change.name == name;
        let accepted = |change: &Change| AcceptedVersion {
            version: change.revision,
            at_us: change.at_us,
        };
        self.history
            .iter()
            .filter(of_object)
            .map(accepted)
            .collect()
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn check_condition(&self, kind: &str, name: &str, condition: Condition) -> Result<(), Refusal> {
        let current = self.read(kind, name).map_or(0, |object| object.version);
        match condition {
            Condition::Absent if current == 0 => Ok(()),
            Condition::Version(version) if version == current && current > 0 => Ok(()),
            _ => Err(Refusal::Conflict { current }),
        }
    }

    fn record_change(&mut self, kind: &str, name: &Arc<str>, previous: Option<Object>) -> u64 {
        self.revision += 1;
        self.history.push_back(Change {
            revision: self.revision,
            at_us: now_us(),
            kind: Arc::from(kind),
            name: name.clone(),
            previous,
        });
        if self.history.len() > MAX_HISTORY {
            self.compacted = self.history.pop_front().map_or(0, |change| change.revision);
        }
        self.revision
    }
}

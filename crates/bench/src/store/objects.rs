//! Versioned objects with conditional updates and a bounded history of changes.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
};

use ::platform::{
    Listing,
    Object,
    MAX_VALUE_BYTES, //
};
use serde_json::value::RawValue;

use crate::{
    backends::now_us,
    verify::log::Accepted, //
};

/// Changes that watches can look back over.
const HISTORY_MAX: usize = 10_000;

/// What a write expects of the object's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Why a call on the objects isn't done; nothing was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The object has another version, 0 if it doesn't exist.
    Conflict {
        /// Version that the object has.
        current: u64,
    },
    /// The value is over its bound.
    Oversized,
    /// The revision is older than the history.
    Compacted,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    at_us: u64,
    kind: Arc<str>,
    name: Arc<str>,
}

/// All objects of the store.
#[derive(Debug, Default)]
pub struct Objects {
    revision: u64,
    kinds: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Object>>,
    history: VecDeque<Change>,
    /// Revision of the newest change that the history has lost.
    compacted: u64,
}

impl Objects {
    /// Reads one object.
    pub fn read(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.get(name)
    }

    /// Lists the objects of a kind.
    pub fn list(&self, kind: &str) -> Listing {
        let objects = self.kinds.get(kind).into_iter().flat_map(BTreeMap::values);
        Listing {
            revision: self.revision,
            objects: objects.cloned().collect(),
            deleted: Vec::new(),
        }
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Refuses a value over the bound and a version that isn't the expected one.
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
        self.check(kind, name, condition)?;
        let name = Arc::<str>::from(name);
        let version = self.record(kind, &name);
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
    /// Refuses a version that isn't the expected one.
    pub fn delete(&mut self, kind: &str, name: &str, condition: Condition) -> Result<u64, Refusal> {
        self.check(kind, name, condition)?;
        if let Some(objects) = self.kinds.get_mut(kind) {
            objects.remove(name);
        }
        Ok(self.record(kind, &Arc::from(name)))
    }

    /// Returns what changed in a kind after `after`, or nothing.
    ///
    /// # Errors
    ///
    /// Refuses a revision that is older than the history.
    pub fn changed(&self, kind: &str, after: u64) -> Result<Option<Listing>, Refusal> {
        if after < self.compacted {
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

    /// Forgets the history, so that no watch can go on.
    pub fn forget(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// Returns every change of an object that the history holds, oldest first.
    pub fn accepted(&self, kind: &str, name: &str) -> Vec<Accepted> {
        let own = |change: &&Change| &*change.kind == kind && &*change.name == name;
        let accepted = |change: &Change| Accepted {
            version: change.revision,
            at_us: change.at_us,
        };
        self.history.iter().filter(own).map(accepted).collect()
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn check(&self, kind: &str, name: &str, condition: Condition) -> Result<(), Refusal> {
        let current = self.read(kind, name).map_or(0, |object| object.version);
        match condition {
            Condition::Absent if current == 0 => Ok(()),
            Condition::Version(version) if version == current && current > 0 => Ok(()),
            _ => Err(Refusal::Conflict { current }),
        }
    }

    fn record(&mut self, kind: &str, name: &Arc<str>) -> u64 {
        self.revision += 1;
        self.history.push_back(Change {
            revision: self.revision,
            at_us: now_us(),
            kind: Arc::from(kind),
            name: name.clone(),
        });
        if self.history.len() > HISTORY_MAX {
            self.compacted = self.history.pop_front().map_or(0, |change| change.revision);
        }
        self.revision
    }
}

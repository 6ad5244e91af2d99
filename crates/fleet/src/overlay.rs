//! Marks that are newer than the marks document in force, and marks that it changed recently.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use config::{
    catalog::Service,
    marks::{
        Mark,
        Marks, //
    },
    Catalog,
};

/// Maximum number of marks that are kept.
const MAX_ENTRIES: usize = 1024;
/// How long a changed mark is attached to calls to peers.
const FORWARD_TIME: Duration = Duration::from_secs(30);

/// A changed mark.
#[derive(Debug, Clone, Copy)]
struct Entry {
    leaving: bool,
    version: u64,
    changed_at: Instant,
}

/// Changed marks by subject.
#[derive(Debug, Default)]
pub(crate) struct Overlay {
    entries: BTreeMap<Arc<str>, Entry>,
}

impl Overlay {
    /// Merges a mark from a peer; returns whether it is newer than what is known, which includes
    /// the document of version `version`.
    pub(crate) fn merge(&mut self, mark: &wire::Mark, version: u64, now: Instant) -> bool {
        let known = self.entries.get(&*mark.subject);
        let known = known.map_or(version, |entry| entry.version.max(version));
        if mark.version <= known || self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        let entry = Entry {
            leaving: mark.leaving,
            version: mark.version,
            changed_at: now,
        };
        self.entries.insert(mark.subject.as_str().into(), entry);
        true
    }

    /// Follows the replacement of document `old` by `new`, of version `version`: records the marks
    /// that `new` changes and drops earlier entries that aren't newer than it.
    pub(crate) fn replace(&mut self, old: &Marks, new: &Marks, version: u64, now: Instant) {
        self.entries.retain(|_, entry| entry.version > version);
        let names = old.servers.keys().chain(new.servers.keys());
        for name in names.filter(|name| old.is_leaving(name) != new.is_leaving(name)) {
            if self.entries.len() >= MAX_ENTRIES {
                return;
            }
            let entry = Entry {
                leaving: new.is_leaving(name),
                version,
                changed_at: now,
            };
            self.entries.entry(name.clone()).or_insert(entry);
        }
    }

    /// Returns the marks of the document of version `version`, overridden by those that are newer.
    pub(crate) fn apply_to(
        &self,
        marks: &Arc<Marks>,
        version: u64,
        catalog: &Catalog,
    ) -> Arc<Marks> {
        let mut newer = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.version > version)
            .peekable();
        if newer.peek().is_none() {
            return marks.clone();
        }
        let mut marks = Marks::clone(marks);
        for (name, entry) in newer {
            let subjects = match is_server(catalog, name) {
                true => &mut marks.servers,
                false => &mut marks.instances,
            };
            match entry.leaving {
                true => subjects.insert(name.clone(), Mark::Leaving),
                false => subjects.remove(name),
            };
        }
        Arc::new(marks)
    }

    /// Returns the recently changed marks on the backend servers of `services`, and drops the
    /// entries that are neither recent nor newer than the document of version `version`.
    pub(crate) fn recent<'a>(
        &mut self,
        services: impl Iterator<Item = &'a Arc<Service>>,
        version: u64,
        now: Instant,
    ) -> Vec<wire::Mark> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.entries.retain(|_, entry| {
            let is_recent = now.saturating_duration_since(entry.changed_at) < FORWARD_TIME;
            is_recent || entry.version > version
        });
        services
            .flat_map(|service| &service.servers)
            .filter_map(|server| {
                let entry = self.entries.get(&server.name)?;
                Some(wire::Mark {
                    subject: server.name.to_string(),
                    leaving: entry.leaving,
                    version: entry.version,
                })
            })
            .collect()
    }
}

fn is_server(catalog: &Catalog, name: &str) -> bool {
    catalog
        .services
        .values()
        .flat_map(|service| &service.servers)
        .any(|server| &*server.name == name)
}

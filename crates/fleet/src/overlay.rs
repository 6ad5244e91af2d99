//! Marks that are newer than the marks document in force, or that changed with it lately.

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

/// Marks kept at most.
const ENTRIES_MAX: usize = 1024;
/// Time in which a changed mark is passed on with calls.
const FRESH: Duration = Duration::from_secs(30);

/// One mark that changed.
#[derive(Debug, Clone, Copy)]
struct Entry {
    leaving: bool,
    version: u64,
    at: Instant,
}

/// Changed marks by subject.
#[derive(Debug, Default)]
pub(crate) struct Overlay {
    entries: BTreeMap<Arc<str>, Entry>,
}

impl Overlay {
    /// Takes in a mark that is newer than the document of version `version`; returns whether it is
    /// news.
    pub(crate) fn hear(&mut self, mark: &wire::Mark, version: u64, now: Instant) -> bool {
        let known = self.entries.get(&*mark.subject);
        let known = known.map_or(version, |entry| entry.version.max(version));
        if mark.version <= known || self.entries.len() >= ENTRIES_MAX {
            return false;
        }
        let entry = Entry {
            leaving: mark.leaving,
            version: mark.version,
            at: now,
        };
        self.entries.insert(mark.subject.as_str().into(), entry);
        true
    }

    /// Takes in the document of version `version`: what it changes is fresh, and what is older than
    /// it is dropped.
    pub(crate) fn replace(&mut self, old: &Marks, new: &Marks, version: u64, now: Instant) {
        self.entries.retain(|_, entry| entry.version > version);
        let names = old.servers.keys().chain(new.servers.keys());
        for name in names.filter(|name| old.is_leaving(name) != new.is_leaving(name)) {
            if self.entries.len() >= ENTRIES_MAX {
                return;
            }
            let entry = Entry {
                leaving: new.is_leaving(name),
                version,
                at: now,
            };
            self.entries.entry(name.clone()).or_insert(entry);
        }
    }

    /// Returns the marks of the document of version `version` with the newer ones laid over them.
    pub(crate) fn lay_over(
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

    /// Returns the fresh marks on the backend servers of `services`.
    pub(crate) fn fresh<'a>(
        &mut self,
        services: impl Iterator<Item = &'a Arc<Service>>,
        version: u64,
        now: Instant,
    ) -> Vec<wire::Mark> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.entries.retain(|_, entry| {
            let is_fresh = now.saturating_duration_since(entry.at) < FRESH;
            is_fresh || entry.version > version
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

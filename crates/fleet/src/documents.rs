//! The documents that this instance has in force.

use std::{
    sync::Arc,
    time::Instant, //
};

use bytes::Bytes;
use config::{
    Catalog,
    Marks,
    Presets,
    View, //
};
use garde::Validate as _;
use serde::de::DeserializeOwned;

use crate::overlay::Overlay;

/// Why a document isn't applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invalid {
    /// The document has a name that nobody knows.
    Name,
    /// The document doesn't parse.
    Malformed,
    /// The preset in force isn't among the presets.
    Missing,
    /// A field of the preset in force is out of its range.
    Range,
}

impl std::fmt::Display for Invalid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Name => f.write_str("name isn't known"),
            Self::Malformed => f.write_str("document doesn't parse"),
            Self::Missing => f.write_str("preset in force is missing"),
            Self::Range => f.write_str("preset in force has a field out of range"),
        }
    }
}

impl std::error::Error for Invalid {}

/// One of the documents, and the versions of it that were seen.
#[derive(Debug, Default)]
struct Slot {
    body: Bytes,
    version: u64,
    /// The version that was refused last, which isn't asked for again.
    refused: u64,
}

impl Slot {
    /// Returns whether `version` is to be applied; one below a refused version may be a good one.
    fn is_news(&self, version: u64) -> bool {
        version > self.version && version != self.refused
    }
}

/// The documents with their text, for peers that lack them.
#[derive(Debug, Default)]
pub(crate) struct Documents {
    view: Arc<View>,
    presets: Slot,
    catalog: Slot,
    marks: Slot,
    /// The marks document, without the newer marks that the view holds.
    document: Arc<Marks>,
    overlay: Overlay,
    refused: u64,
}

impl Documents {
    /// Returns the documents in force.
    pub(crate) fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the versions in force, as they are sent.
    pub(crate) fn versions(&self) -> wire::Versions {
        wire::Versions {
            presets: self.presets.version,
            catalog: self.catalog.version,
            marks: self.marks.version,
        }
    }

    /// Returns how many documents were refused.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns whether a peer with `versions` has something that isn't known here.
    pub(crate) fn is_behind(&self, versions: &wire::Versions) -> bool {
        self.presets.is_news(versions.presets)
            || self.catalog.is_news(versions.catalog)
            || self.marks.is_news(versions.marks)
    }

    /// Returns the documents that are newer here than at a peer with `versions`.
    pub(crate) fn since(&self, versions: &wire::Versions) -> Vec<wire::Document> {
        [
            (Presets::NAME, &self.presets, versions.presets),
            (Catalog::NAME, &self.catalog, versions.catalog),
            (Marks::NAME, &self.marks, versions.marks),
        ]
        .into_iter()
        .filter(|(_, slot, theirs)| slot.version > *theirs)
        .map(|(name, slot, _)| wire::Document {
            name: name.to_owned(),
            version: slot.version,
            body: slot.body.clone(),
        })
        .collect()
    }

    /// Applies version `version` of the document `name` if it is higher than the one in force.
    ///
    /// Returns whether it was applied.
    ///
    /// # Errors
    ///
    /// Returns why the document is refused; the one in force stays.
    pub(crate) fn apply(&mut self, name: &str, version: u64, body: &[u8]) -> Result<bool, Invalid> {
        let slot = self.slot(name).ok_or(Invalid::Name)?;
        if !slot.is_news(version) {
            return Ok(false);
        }
        let view = match self.combine(name, version, body) {
            Ok(view) => view,
            Err(invalid) => {
                self.refuse(name, version);
                return Err(invalid);
            }
        };
        if let Some(slot) = self.slot(name) {
            slot.version = version;
            slot.body = Bytes::copy_from_slice(body);
        }
        if name == Marks::NAME {
            let now = Instant::now();
            self.overlay
                .replace(&self.document, &view.marks, version, now);
            self.document = view.marks.clone();
        }
        self.show(view);
        Ok(true)
    }

    /// Takes in marks from a peer's call; returns whether one of them is news.
    pub(crate) fn hear(&mut self, marks: &[wire::Mark]) -> bool {
        let now = Instant::now();
        let mut is_news = false;
        for mark in marks {
            is_news |= self.overlay.hear(mark, self.marks.version, now);
        }
        if is_news {
            self.show(View::clone(&self.view));
        }
        is_news
    }

    /// Returns the marks on backend servers of `services` that changed lately.
    pub(crate) fn fresh<'a>(&mut self, services: impl Iterator<Item = &'a str>) -> Vec<wire::Mark> {
        let known = &self.view.catalog.services;
        let services = services.filter_map(|name| known.get(name));
        self.overlay
            .fresh(services, self.marks.version, Instant::now())
    }

    fn show(&mut self, mut view: View) {
        let version = self.marks.version;
        view.marks = self
            .overlay
            .lay_over(&self.document, version, &view.catalog);
        self.view = Arc::new(view);
    }

    fn slot(&mut self, name: &str) -> Option<&mut Slot> {
        match name {
            Presets::NAME => Some(&mut self.presets),
            Catalog::NAME => Some(&mut self.catalog),
            Marks::NAME => Some(&mut self.marks),
            _ => None,
        }
    }

    fn refuse(&mut self, name: &str, version: u64) {
        self.refused += 1;
        if let Some(slot) = self.slot(name) {
            slot.refused = version;
        }
    }

    /// Returns the view in force with one document replaced.
    fn combine(&self, name: &str, version: u64, body: &[u8]) -> Result<View, Invalid> {
        let mut view = View::clone(&self.view);
        match name {
            Presets::NAME => {
                let presets: Presets = parse(body)?;
                let current = presets.current().ok_or(Invalid::Missing)?;
                current.validate().map_err(|_| Invalid::Range)?;
                view.preset = current.clone();
                view.presets = Arc::new(presets);
                view.versions.presets = version;
            }
            Catalog::NAME => {
                view.catalog = Arc::new(parse(body)?);
                view.versions.catalog = version;
            }
            Marks::NAME => {
                view.marks = Arc::new(parse(body)?);
                view.versions.marks = version;
            }
            _ => return Err(Invalid::Name),
        }
        Ok(view)
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Invalid> {
    serde_json::from_slice(body).map_err(|_| Invalid::Malformed)
}

#[cfg(test)]
mod tests;

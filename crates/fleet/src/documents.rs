//! The configuration documents that this instance has in force.

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

/// Why a document is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invalid {
    /// No document has this name.
    Name,
    /// The document can't be parsed.
    Malformed,
    /// The document doesn't hold the preset that it names as the one in force.
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

/// The body and versions of a document.
#[derive(Debug, Default)]
struct Slot {
    body: Bytes,
    version: u64,
    /// The version that was refused last, which isn't fetched again.
    refused_version: u64,
}

impl Slot {
    /// Returns whether `version` should be applied; a version below a refused one may be valid.
    fn is_wanted(&self, version: u64) -> bool {
        version > self.version && version != self.refused_version
    }
}

/// The documents in force, with their bodies for peers that lack them.
#[derive(Debug, Default)]
pub(crate) struct Documents {
    view: Arc<View>,
    presets: Slot,
    catalog: Slot,
    marks: Slot,
    /// The marks document, without the newer marks that the view includes.
    marks_document: Arc<Marks>,
    overlay: Overlay,
    refused_count: u64,
}

impl Documents {
    /// Returns the documents in force.
    pub(crate) fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the versions in force, in their wire form.
    pub(crate) fn versions(&self) -> wire::Versions {
        wire::Versions {
            presets: self.presets.version,
            catalog: self.catalog.version,
            marks: self.marks.version,
        }
    }

    /// Returns how many document versions were refused.
    pub(crate) fn refused(&self) -> u64 {
        self.refused_count
    }

    /// Returns whether a peer with `versions` has a document that should be applied here.
    pub(crate) fn is_behind(&self, versions: &wire::Versions) -> bool {
        self.presets.is_wanted(versions.presets)
            || self.catalog.is_wanted(versions.catalog)
            || self.marks.is_wanted(versions.marks)
    }

    /// Returns the documents that are newer than those of a peer with `versions`.
    pub(crate) fn newer_than(&self, versions: &wire::Versions) -> Vec<wire::Document> {
        [
            (Presets::NAME, &self.presets, versions.presets),
            (Catalog::NAME, &self.catalog, versions.catalog),
            (Marks::NAME, &self.marks, versions.marks),
        ]
        .into_iter()
        .filter(|(_, slot, peer_version)| slot.version > *peer_version)
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
    /// Fails with the reason if the document is refused; the one in force stays.
    pub(crate) fn apply(&mut self, name: &str, version: u64, body: &[u8]) -> Result<bool, Invalid> {
        let slot = self.slot(name).ok_or(Invalid::Name)?;
        if !slot.is_wanted(version) {
            return Ok(false);
        }
        let view = match self.view_with(name, version, body) {
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
                .replace(&self.marks_document, &view.marks, version, now);
            self.marks_document = view.marks.clone();
        }
        self.set_view(view);
        Ok(true)
    }

    /// Merges marks from a peer's call; returns whether any of them was newer than what is known.
    pub(crate) fn merge_marks(&mut self, marks: &[wire::Mark]) -> bool {
        let now = Instant::now();
        let mut is_changed = false;
        for mark in marks {
            is_changed |= self.overlay.merge(mark, self.marks.version, now);
        }
        if is_changed {
            self.set_view(View::clone(&self.view));
        }
        is_changed
    }

    /// Returns the recently changed marks on backend servers of `services`.
    pub(crate) fn recent_marks<'a>(
        &mut self,
        services: impl Iterator<Item = &'a str>,
    ) -> Vec<wire::Mark> {
        let known = &self.view.catalog.services;
        let services = services.filter_map(|name| known.get(name));
        self.overlay
            .recent(services, self.marks.version, Instant::now())
    }

    fn set_view(&mut self, mut view: View) {
        let version = self.marks.version;
        view.marks = self
            .overlay
            .apply_to(&self.marks_document, version, &view.catalog);
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
        self.refused_count += 1;
        if let Some(slot) = self.slot(name) {
            slot.refused_version = version;
        }
    }

    /// Returns the view in force with one document replaced.
    fn view_with(&self, name: &str, version: u64, body: &[u8]) -> Result<View, Invalid> {
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

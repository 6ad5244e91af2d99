//! A consistent view of the documents in force.

use std::sync::Arc;

use crate::{
    catalog::Catalog,
    marks::Marks,
    preset::Preset,
    presets::Presets, //
};

/// Versions of the three documents, with 0 for a document that isn't known yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version of [`Presets`].
    pub presets: u64,
    /// Version of [`Catalog`].
    pub catalog: u64,
    /// Version of [`Marks`].
    pub marks: u64,
}

/// An immutable combination of the documents.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Versions of the documents.
    pub versions: Versions,
    /// The preset in force.
    pub preset: Arc<Preset>,
    /// All presets.
    pub presets: Arc<Presets>,
    /// The catalog.
    pub catalog: Arc<Catalog>,
    /// The marks.
    pub marks: Arc<Marks>,
}

impl View {
    /// Returns whether presets and catalog are known, so that requests can be served.
    pub fn is_ready(&self) -> bool {
        self.versions.presets > 0 && self.versions.catalog > 0
    }

    /// Returns whether `server` is leaving, by the catalog or by a mark, and gets no new work.
    pub fn is_leaving(&self, server: &crate::catalog::Server) -> bool {
        server.leaving || self.marks.is_leaving(&server.name)
    }
}

//! The document that holds all presets and selects the one in force.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::preset::Preset;

/// All presets and the name of the one in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Presets {
    /// Name of the preset in force.
    pub in_force: Arc<str>,
    /// Presets by name.
    pub presets: BTreeMap<Arc<str>, Arc<Preset>>,
}

impl Presets {
    /// Name of the store's object that holds the document.
    pub const NAME: &str = "presets";

    /// Returns the preset in force, if the document holds it.
    pub fn current(&self) -> Option<&Arc<Preset>> {
        self.presets.get(&self.in_force)
    }
}

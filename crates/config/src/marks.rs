//! The document of marks that operators set on instances and backend servers.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// State that an operator sets for an instance or backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// Joining: an instance takes its share of the work, a backend server starts warming up.
    Joining,
    /// Leaving: gets no new work.
    Leaving,
}

/// Marks by name of the instance or backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Marks {
    /// Marks on instances.
    pub instances: BTreeMap<Arc<str>, Mark>,
    /// Marks on backend servers.
    pub servers: BTreeMap<Arc<str>, Mark>,
}

impl Marks {
    /// Name of the store's object that holds the document.
    pub const NAME: &str = "marks";

    /// Returns whether the backend server `name` is marked as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.servers.get(name) == Some(&Mark::Leaving)
    }
}

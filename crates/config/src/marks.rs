//! The document of operators' marks on instances and backend servers.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// What an operator says of an instance or backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// It joins: an instance takes its share, a backend server starts cold.
    Joining,
    /// It leaves: no new work.
    Leaving,
}

/// Operators' marks, by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Marks {
    /// Marks on instances.
    pub instances: BTreeMap<Arc<str>, Mark>,
    /// Marks on backend servers.
    pub servers: BTreeMap<Arc<str>, Mark>,
}

impl Marks {
    /// Name of the object that holds the document.
    pub const NAME: &str = "marks";

    /// Returns whether the backend server `name` is marked as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.servers.get(name) == Some(&Mark::Leaving)
    }
}

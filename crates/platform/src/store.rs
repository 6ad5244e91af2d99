//! The store's trait and the types that it exchanges.

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;

/// One object of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique in its kind.
    pub name: Arc<str>,
    /// Version; it increases with every write to the store, whatever the object.
    pub version: u64,
    /// Value, as JSON text.
    pub value: Arc<RawValue>,
}

/// All objects of one kind, or those that changed since a revision.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Era of the store: it rises each time the store is restored from an older copy, and revisions of different
    /// eras aren't comparable. 0 if the store states none.
    #[serde(default)]
    pub era: u64,
    /// Revision of the store that the listing reflects.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
    /// Names of objects that were deleted, in the reply to a watch.
    #[serde(default)]
    pub deleted: Vec<Arc<str>>,
}

/// One entry of the platform's list of instances, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address that serves the protocol between instances.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether the platform is about to stop the instance.
    pub leaving: bool,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The expected version didn't match; nothing was written.
    Conflict {
        /// Current version of the object, 0 if it doesn't exist.
        current: u64,
    },
    /// The store refused the request or is unavailable; nothing was written.
    Unavailable,
    /// The reply was lost; a write may have taken effect.
    Lost,
    /// The value exceeds the size limit; nothing was written.
    Oversized,
    /// The kind or name isn't allowed in a path; nothing was sent.
    Invalid,
    /// The revision to watch from is too old.
    Compacted,
    /// The reply is malformed; a write may have taken effect.
    Malformed,
    /// The store was restored from an older copy meanwhile; what was written before may be lost.
    Restored,
}

impl Failure {
    /// Returns whether a write that failed this way may have taken effect.
    pub fn may_have_taken_effect(self) -> bool {
        matches!(self, Self::Lost | Self::Malformed | Self::Restored)
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict { current } => write!(f, "version conflict, current is {current}"),
            Self::Unavailable => f.write_str("platform unavailable"),
            Self::Lost => f.write_str("platform reply lost"),
            Self::Oversized => f.write_str("value exceeds the size limit"),
            Self::Invalid => f.write_str("kind or name not allowed"),
            Self::Compacted => f.write_str("revision too old to watch from"),
            Self::Malformed => f.write_str("platform reply malformed"),
            Self::Restored => f.write_str("platform restored from an older copy"),
        }
    }
}

impl std::error::Error for Failure {}

/// The platform's object store.
pub trait Store: 'static {
    /// Reads one object.
    fn read(&self, kind: &str, name: &str)
        -> impl Future<Output = Result<Option<Object>, Failure>>;

    /// Reads all objects of a kind.
    fn list(&self, kind: &str) -> impl Future<Output = Result<Listing, Failure>>;

    /// Reads all objects of a kind as they were some seconds ago at most, which costs the store less.
    ///
    /// The default reads the current ones.
    fn list_stale(&self, kind: &str) -> impl Future<Output = Result<Listing, Failure>> {
        self.list(kind)
    }

    /// Writes `value` if the object's version is `expected`, which is 0 for an object that doesn't
    /// exist; returns the new version.
    fn write(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: &RawValue,
    ) -> impl Future<Output = Result<u64, Failure>>;

    /// Waits at most `wait` for changes to objects of a kind after the revision `after`.
    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, Failure>>;

    /// Returns the latest era that the store has stated in any reply; 0 if it has stated none.
    fn era(&self) -> u64 {
        0
    }

    /// Reads the list of instances, which lags behind the actual state.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, Failure>>;
}

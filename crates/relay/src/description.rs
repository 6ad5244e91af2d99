//! Description of a backend server in the store, and its eligibility for work.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// A backend server as its entry in the store describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Description {
    /// Id; most restarts get a new one.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: usize,
    /// Whether it is draining.
    pub draining: bool,
    /// Remaining time for which it is warming up.
    pub warmup: Duration,
    /// Start time in Unix milliseconds; distinguishes starts under the same id.
    pub started_at_ms: Option<u64>,
}

impl Description {
    /// Returns whether `other` describes the same server process.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.address == other.address
            && self.service == other.service
            && self.started_at_ms == other.started_at_ms
    }
}

/// Whether a server is eligible for work, from its entry in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Listed and not draining.
    Ready,
    /// Its entry expired during an outage of the store; it stays eligible until then.
    Kept(Instant),
    /// It is draining or its entry was removed; until then it gets work only if no other server is
    /// available.
    LastResort(Instant),
}

impl Standing {
    /// Returns the name in logs and dumps.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Kept(_) => "kept",
            Self::LastResort(_) => "last-resort",
        }
    }
}

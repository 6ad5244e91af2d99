//! What a backend server says of itself, and whether it is to get work.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// What a server says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Description {
    /// Id, new with most starts.
    pub id: Arc<str>,
    /// Service that it is one of.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it works on at the same time.
    pub slots: usize,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Time for which it is still slow after its start.
    pub warmup: Duration,
    /// Tells starts under the same id apart: Unix milliseconds of the start.
    pub born: Option<u64>,
}

impl Description {
    /// Returns whether `other` describes the same start of the same server.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.address == other.address && self.service == other.service && self.born == other.born
    }
}

/// Whether a server is to get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is.
    Ready,
    /// Its entry has gone in an outage of the store; it is, until then.
    Kept(Instant),
    /// It leaves or has gone; only where no other server can be had, until then.
    LastResort(Instant),
}

impl Standing {
    /// Returns the standing as logs and dumps show it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Kept(_) => "kept",
            Self::LastResort(_) => "last-resort",
        }
    }
}

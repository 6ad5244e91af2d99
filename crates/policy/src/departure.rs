//! Servers that have left, and when one of them may get work again.
//!
//! The list of servers can go back in time: heartbeats overtake each other, a reader is cut off from the
//! store, or the store is restored from an older copy. A server that has said that it is leaving never gets
//! work again under the same start. One whose entry was removed without a word may only have been silent, so
//! it returns with its next entry, but not with one that a restored store still holds.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time for which a departure is remembered: longer than any server serves on after it has said that it is
/// leaving.
const MEMORY: Duration = Duration::from_secs(300);

/// How a departure became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The server said so, in its entry or in a reply.
    Announced,
    /// Its entry was removed or expired.
    Removed,
}

/// Where an entry was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A listing, which may hold entries that were written long ago.
    Listing,
    /// A change that was made after the listing.
    Change,
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    started_at_ms: Option<u64>,
    at: Instant,
    cause: Cause,
}

/// Memory of the servers that have left.
#[derive(Debug, Default)]
pub struct Departures {
    by_id: HashMap<Arc<str>, Departure>,
    restored_at: Option<Instant>,
}

impl Departures {
    /// Records a departure of the server `id` that was started at `started_at_ms`.
    ///
    /// The first announcement counts; a removal after it changes nothing.
    pub fn record(
        &mut self,
        id: &Arc<str>,
        started_at_ms: Option<u64>,
        cause: Cause,
        now: Instant,
    ) {
        let departure = Departure {
            started_at_ms,
            at: now,
            cause,
        };
        match self.by_id.get_mut(id) {
            Some(known)
                if known.started_at_ms == started_at_ms && known.cause == Cause::Announced => {}
            Some(known) => *known = departure,
            None => drop(self.by_id.insert(id.clone(), departure)),
        }
    }

    /// Records that the store was restored from an older copy.
    pub fn store_restored(&mut self, now: Instant) {
        self.restored_at = Some(now);
    }

    /// Returns when the server announced that it is leaving, if it did.
    pub fn announced_at(&self, id: &str, started_at_ms: Option<u64>) -> Option<Instant> {
        let departure = self.by_id.get(id)?;
        let is_announced =
            departure.started_at_ms == started_at_ms && departure.cause == Cause::Announced;
        is_announced.then_some(departure.at)
    }

    /// Returns whether a server whose entry doesn't say that it is leaving may get work.
    pub fn may_return(&self, id: &str, started_at_ms: Option<u64>, source: Source) -> bool {
        match self.by_id.get(id) {
            Some(departure) if departure.started_at_ms != started_at_ms => true,
            Some(departure) if departure.cause == Cause::Announced => false,
            Some(departure) => {
                let is_older_copy = self.restored_at.is_some_and(|at| at >= departure.at);
                source == Source::Change || !is_older_copy
            }
            None => true,
        }
    }

    /// Forgets the server's departure: it has returned.
    pub fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Forgets departures that are too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.by_id
            .retain(|_, departure| now.saturating_duration_since(departure.at) < MEMORY);
    }
}

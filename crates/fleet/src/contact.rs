//! The last known contact of any instance with the platform.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

/// Age on the wire that means that there was no contact.
const NEVER_MS: u64 = u64::MAX;

/// The last known contact with the platform.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    last_at: Cell<Option<Instant>>,
}

impl Contact {
    /// Records that the platform replied at `now`.
    pub(crate) fn record(&self, now: Instant) {
        self.last_at.set(self.last_at.get().max(Some(now)));
    }

    /// Merges the age of the last contact that a peer measured at `earliest` or later.
    ///
    /// Counting back from `earliest` never makes the contact more recent than it was.
    pub(crate) fn merge_age(&self, age_ms: u64, earliest: Instant) {
        if age_ms == NEVER_MS {
            return;
        }
        let last_at = earliest.checked_sub(Duration::from_millis(age_ms));
        self.last_at.set(self.last_at.get().max(last_at));
    }

    /// Returns the time since the last contact, or `None` if there was none.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.last_at
            .get()
            .map(|last_at| now.saturating_duration_since(last_at))
    }

    /// Returns the age in milliseconds for the wire, [`NEVER_MS`] if there was no contact.
    pub(crate) fn age_ms(&self, now: Instant) -> u64 {
        self.age(now).map_or(NEVER_MS, |age| {
            u64::try_from(age.as_millis()).unwrap_or(NEVER_MS)
        })
    }
}

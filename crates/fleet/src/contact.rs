//! When the platform was last reached, by this instance or by anyone it heard of.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

/// Age that stands for never, in milliseconds.
const NEVER_MS: u64 = u64::MAX;

/// The time of the last contact with the platform.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    seen: Cell<Option<Instant>>,
}

impl Contact {
    /// Takes note that the platform answered at `now`.
    pub(crate) fn reached(&self, now: Instant) {
        self.seen.set(self.seen.get().max(Some(now)));
    }

    /// Takes in the age that a peer stated, which was true at `then` or later.
    pub(crate) fn heard(&self, age_ms: u64, then: Instant) {
        if age_ms == NEVER_MS {
            return;
        }
        let seen = then.checked_sub(Duration::from_millis(age_ms));
        self.seen.set(self.seen.get().max(seen));
    }

    /// Returns the time since the last contact, `None` if there was none.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.seen
            .get()
            .map(|seen| now.saturating_duration_since(seen))
    }

    /// Returns the age in milliseconds, as it is sent.
    pub(crate) fn age_ms(&self, now: Instant) -> u64 {
        self.age(now).map_or(NEVER_MS, |age| {
            u64::try_from(age.as_millis()).unwrap_or(NEVER_MS)
        })
    }
}

//! When a server whose entry expired or was removed stops getting work.
//!
//! If the store is unavailable for longer than entries last without a heartbeat, it lists hardly any server
//! when it is available again, although nearly all of them are running; they register again within
//! moments. Dropping them at once would refuse every request.

use std::time::{
    Duration,
    Instant, //
};

/// Time after an outage of the store within which running servers register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);

/// Current and last outage of the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    /// Since when the store has been unavailable; `None` while it is available.
    pub unavailable_since: Option<Instant>,
    /// When the last outage ended in which entries can have expired.
    pub ended_at: Option<Instant>,
}

/// How a server whose entry expired or was removed is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retention {
    /// It gets work as before until this instant, or longer if it registers again.
    Kept(Instant),
    /// It gets work until this instant, but only if no other server can take it.
    LastResort(Instant),
}

impl Outage {
    /// Records that the store has been unavailable since `since`.
    pub fn record_unavailable(&mut self, since: Instant) {
        self.unavailable_since.get_or_insert(since);
    }

    /// Records that the store is available; returns whether it was unavailable before.
    ///
    /// Entries expire in an outage of `min_expiry` or longer; a shorter one, such as a broken connection, leaves no
    /// running server without its entry.
    pub fn record_available(&mut self, now: Instant, min_expiry: Duration) -> bool {
        let Some(since) = self.unavailable_since.take() else {
            return false;
        };
        if now.saturating_duration_since(since) >= min_expiry {
            self.ended_at = Some(now);
        }
        true
    }

    /// Records that the store was restored from an older copy, which may lack entries as after an outage.
    pub fn record_restored(&mut self, now: Instant) {
        self.ended_at = Some(now);
    }

    /// Decides how a server is used whose entry is found missing at `now`.
    ///
    /// `drain` is how long a draining server keeps serving.
    pub fn retention(&self, now: Instant, drain: Duration) -> Retention {
        let kept_until = self.ended_at.map(|ended_at| ended_at + REREGISTRATION_TIME);
        match kept_until {
            Some(until) if now < until => Retention::Kept(until),
            _ => Retention::LastResort(now + drain / 2),
        }
    }
}

//! When a server whose entry has gone stops getting work.
//!
//! Load pattern: the store is down for longer than entries last without a heartbeat. When it is back
//! it lists hardly any server, although nearly all of them live; they register again in a moment.
//! Dropping them at once would refuse everything.

use std::time::{
    Duration,
    Instant, //
};

/// Time after the store's return in which servers that live are back in its list.
const RETURN: Duration = Duration::from_millis(2_500);

/// What is known of the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    /// Since when the store can't be reached, if it can't.
    pub since: Option<Instant>,
    /// When it was last reached again.
    pub ended: Option<Instant>,
}

/// What becomes of a server whose entry has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It keeps its work until then, unless its entry comes back.
    Kept(Instant),
    /// It gets work only where no other server can take it, until then.
    LastResort(Instant),
}

impl Outage {
    /// Notes that the store can't be reached.
    pub fn lost(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Notes that the store was reached; returns whether it was away.
    pub fn reached(&mut self, now: Instant) -> bool {
        let was_away = self.since.take().is_some();
        if was_away {
            self.ended = Some(now);
        }
        was_away
    }

    /// Decides about a server whose entry is found gone at `now`.
    ///
    /// `drain` is the time for which a server that leaves goes on serving.
    pub fn fate(&self, now: Instant, drain: Duration) -> Fate {
        let ended = self.ended.map(|ended| ended + RETURN);
        match ended {
            Some(until) if now < until => Fate::Kept(until),
            _ => Fate::LastResort(now + drain / 2),
        }
    }
}

//! Rate limits that backend servers name.
//!
//! A server in need states in its replies how many requests a second it takes from all instances together, and
//! goes on stating so for as long as the limit holds.

use std::time::{
    Duration,
    Instant, //
};

/// The limit that one server has named.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    named: Option<Named>,
}

#[derive(Debug, Clone, Copy)]
struct Named {
    per_s: f64,
    since: Instant,
    confirmed_at: Instant,
    /// Requests that this instance has sent since the limit was named.
    sent: u64,
}

/// Effect of a statement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The limit is the one that was known.
    None,
    /// A limit was named where there was none, or another one.
    Named(f64),
    /// The number isn't a usable one; it is ignored.
    Unusable,
    /// The server no longer names a limit.
    Lifted {
        /// Time for which it named one.
        after: Duration,
        /// Requests that this instance sent to it in that time.
        sent: u64,
    },
}

impl Limit {
    /// Records that the server named a limit of `per_s` requests a second.
    pub fn name(&mut self, now: Instant, per_s: f64) -> Change {
        if !per_s.is_finite() || per_s < 0.0 {
            return Change::Unusable;
        }
        let known = self.named;
        let fresh = Named {
            per_s,
            since: now,
            confirmed_at: now,
            sent: 0,
        };
        let named = known.unwrap_or(fresh);
        self.named = Some(Named {
            per_s,
            confirmed_at: now,
            ..named
        });
        match known {
            Some(known) if known.per_s == per_s => Change::None,
            _ => Change::Named(per_s),
        }
    }

    /// Records a reply that names no limit, to a request that was sent at `sent_at`.
    ///
    /// The reply ends a limit only if its request was sent after the limit was last named: replies on different
    /// connections overtake each other.
    pub fn reply_without(&mut self, sent_at: Instant, now: Instant) -> Change {
        match self.named {
            Some(named) if sent_at > named.confirmed_at => {
                self.named = None;
                Change::Lifted {
                    after: now.saturating_duration_since(named.since),
                    sent: named.sent,
                }
            }
            _ => Change::None,
        }
    }

    /// Counts a request that is sent to the server.
    pub fn count_sent(&mut self) {
        if let Some(named) = &mut self.named {
            named.sent += 1;
        }
    }

    /// Returns the limit in requests a second; none if the server names none.
    pub fn per_s(&self) -> Option<f64> {
        self.named.map(|named| named.per_s)
    }
}

//! Rate limits that backend servers name.
//!
//! A server in need states in its replies how many requests a second it takes from all instances together, and
//! goes on stating so for as long as the limit holds. Each instance uses its part of the limit and no more. It
//! earns tokens at that rate, one for each request, and keeps those of a short time, as callers arrive
//! unevenly.

use std::time::{
    Duration,
    Instant, //
};

/// Time whose tokens an instance may keep.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Minimum number of tokens that an instance may keep.
const MIN_BURST: f64 = 1.0;
/// Requests a second of all instances together that learn whether a limit still holds, whatever the limit.
const PROBES_PER_S: f64 = 0.5;
/// Longest wait for a token that is returned.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Change of a limit, as a share of it, that is reported.
const REPORTED_CHANGE: f64 = 0.1;
/// Tolerance for the rounding errors of repeated additions, which must not cost a token.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// One instance's part of the limit of one server.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    share: f64,
    named: Option<Named>,
    /// Whether an unusable number was reported.
    is_unusable_reported: bool,
}

#[derive(Debug, Clone, Copy)]
struct Named {
    per_s: f64,
    /// The limit as it was last reported.
    reported_per_s: f64,
    since: Instant,
    confirmed_at: Instant,
    tokens: f64,
    earned_at: Instant,
    /// Requests that this instance has sent since the limit was named.
    sent: u64,
}

/// Effect of a statement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The limit is about the one that was reported.
    None,
    /// A limit was named where there was none, or another one.
    Named(f64),
    /// The number isn't a usable one; it is ignored. This is reported once.
    Unusable,
    /// The server no longer names a limit.
    Lifted {
        /// Time for which it named one.
        after: Duration,
        /// Requests that this instance sent to it in that time.
        sent: u64,
    },
}

impl Default for Limit {
    /// Returns the part of an instance that doesn't know yet how many share the limit: nothing.
    fn default() -> Self {
        Self {
            share: 0.0,
            named: None,
            is_unusable_reported: false,
        }
    }
}

impl Named {
    fn rate(&self, share: f64) -> f64 {
        self.per_s.max(PROBES_PER_S) * share
    }

    fn burst(&self, share: f64) -> f64 {
        (self.rate(share) * BURST_TIME.as_secs_f64()).max(MIN_BURST)
    }

    fn tokens_at(&self, share: f64, now: Instant) -> f64 {
        let earning_time = now.saturating_duration_since(self.earned_at);
        let earned = self.rate(share) * earning_time.as_secs_f64();
        (self.tokens + earned).min(self.burst(share))
    }

    /// Adds the tokens that were earned until `now`.
    fn earn(&mut self, share: f64, now: Instant) {
        self.tokens = self.tokens_at(share, now);
        self.earned_at = now.max(self.earned_at);
    }
}

impl Limit {
    /// Sets the share of the limit, from 0 to 1, that this instance may use.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        if let Some(named) = &mut self.named {
            named.earn(self.share, now);
        }
        self.share = share;
    }

    /// Records that the server named a limit of `per_s` requests a second.
    ///
    /// Instances that hear of a limit at the same moment start with different parts of a token, from 0 to 1, so that
    /// they don't send at the same moments later.
    pub fn name(&mut self, now: Instant, per_s: f64, first_tokens: f64) -> Change {
        if !per_s.is_finite() || per_s < 0.0 {
            return match std::mem::replace(&mut self.is_unusable_reported, true) {
                true => Change::None,
                false => Change::Unusable,
            };
        }
        let fresh = Named {
            per_s,
            reported_per_s: f64::NAN,
            since: now,
            confirmed_at: now,
            tokens: first_tokens,
            earned_at: now,
            sent: 0,
        };
        let mut named = self.named.unwrap_or(fresh);
        named.earn(self.share, now);
        named.per_s = per_s;
        named.confirmed_at = now;
        let change = (per_s - named.reported_per_s).abs();
        let is_reported = change <= named.reported_per_s * REPORTED_CHANGE;
        if !is_reported {
            named.reported_per_s = per_s;
        }
        self.named = Some(named);
        match is_reported {
            true => Change::None,
            false => Change::Named(per_s),
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

    /// Takes a token for a request that is sent at `now`.
    pub fn record_sent(&mut self, now: Instant) {
        if let Some(named) = &mut self.named {
            named.earn(self.share, now);
            named.tokens -= 1.0;
            named.sent += 1;
        }
    }

    /// Returns the time until this instance may send the server a request; zero if it may now.
    pub fn wait(&self, now: Instant) -> Duration {
        let Some(named) = self.named else {
            return Duration::ZERO;
        };
        let lacking = 1.0 - named.tokens_at(self.share, now);
        if lacking <= ROUNDING_TOLERANCE {
            return Duration::ZERO;
        }
        let seconds = lacking / named.rate(self.share);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Returns how many requests a second this instance may send; none if the server names no limit.
    pub fn own_rate(&self) -> Option<f64> {
        self.named.map(|named| named.rate(self.share))
    }

    /// Returns the limit in requests a second; none if the server names none.
    pub fn per_s(&self) -> Option<f64> {
        self.named.map(|named| named.per_s)
    }
}

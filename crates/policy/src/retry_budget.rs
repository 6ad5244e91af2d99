//! Retry budget: how many hedges and retries may be sent to a service.
//!
//! If half of a service's servers stall at the same moment, every instance wants to send every
//! sub-request twice. The limit applies to the sum over all instances, so each instance may use the share
//! that its own initial sub-requests earn and an equal part of the allowance.
//!
//! An instance that is killed loses its counts, and one that shuts down may have used its part of the
//! allowance. A new instance therefore uses its part, and a remaining instance a larger part, only after a
//! full window.

use std::time::{
    Duration,
    Instant, //
};

/// Limit on the hedges and retries that all instances together send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Hedges and retries allowed for each initial sub-request.
    pub ratio: f64,
    /// Hedges and retries allowed in a window in addition, whatever the load.
    pub allowance: f64,
    /// Length of the sliding window in which the limit holds.
    pub span: Duration,
}

impl Default for Bound {
    /// Returns the limit of a fleet without a configured one: a tenth, and ten more, in ten seconds.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            allowance: 10.0,
            span: Duration::from_secs(10),
        }
    }
}

/// Why a sub-request beyond the initial one is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The sub-request before it is slow.
    Hedge,
    /// The sub-request before it failed.
    Retry,
}

/// Number of buckets that the window is divided into.
const BUCKETS: usize = 10;
/// Share of the limit that is used. The rest covers initial sub-requests that a server counts in another
/// window than this instance does, as their windows have different edges, and instances that this one
/// hasn't learned of yet.
const LIMIT_SHARE: f64 = 0.85;
/// Share of the usable budget that hedges may use; the rest is reserved for retries.
const HEDGE_SHARE: f64 = 0.75;

#[derive(Debug, Clone, Copy, Default)]
struct WindowBucket {
    index: u64,
    initial: u32,
    hedges_and_retries: u32,
}

/// One instance's retry budget for one service: its part of a [`Bound`].
#[derive(Debug, Clone)]
pub struct Budget {
    limit: Bound,
    /// Parts of the allowance, each with the time from which it applies, oldest first.
    parts: Vec<(Instant, f64)>,
    started_at: Instant,
    // One bucket more than the window, so that a bucket counts until all of it is outside the window.
    buckets: [WindowBucket; BUCKETS + 1],
}

/// Returns one instance's part of the allowance; 0 if the number of instances isn't known.
fn allowance_part(limit: Bound, instances: usize) -> f64 {
    match instances {
        0 => 0.0,
        instances => limit.allowance / instances as f64,
    }
}

impl Budget {
    /// Makes a budget for one of `instances`, 0 if their number isn't known, that started at `started_at`.
    pub fn new(limit: Bound, instances: usize, started_at: Instant) -> Self {
        Self {
            limit,
            // A predecessor of the instance may have used its part, so the part is 0 before the start.
            parts: vec![
                (started_at, 0.0),
                (started_at, allowance_part(limit, instances)),
            ],
            started_at,
            buckets: [WindowBucket::default(); BUCKETS + 1],
        }
    }

    /// Sets the limit and the number of instances that share it, 0 if it isn't known.
    ///
    /// A larger part of the allowance applies only after a full window: instances that have shut down may
    /// have used theirs within it.
    pub fn set_limit(&mut self, limit: Bound, instances: usize, now: Instant) {
        if limit.span != self.limit.span {
            self.set_span(limit.span, now);
        }
        self.limit = limit;
        let part = allowance_part(limit, instances);
        if self.parts.last().is_none_or(|(_, last)| *last != part) {
            self.parts.push((now, part));
        }
        let is_window_old = |from: Instant| now.saturating_duration_since(from) >= limit.span;
        while self.parts.len() > 1 && is_window_old(self.parts[1].0) {
            self.parts.remove(0);
        }
    }

    /// Changes the length of the window, whose buckets have other edges then.
    ///
    /// What was counted is counted as sent now, since it isn't known when it was; of the initial sub-requests only
    /// the share that a shorter window would hold.
    fn set_span(&mut self, span: Duration, now: Instant) {
        let (initial, hedges_and_retries) = self.counts(now);
        let kept = span.as_secs_f64() / self.limit.span.as_secs_f64().max(1e-3);
        self.limit.span = span;
        self.buckets = [WindowBucket::default(); BUCKETS + 1];
        let bucket = self.current_bucket(now);
        bucket.initial = (f64::from(initial) * kept.min(1.0)) as u32;
        bucket.hedges_and_retries = hedges_and_retries;
    }

    /// Returns this instance's part of the allowance: the smallest one that applied within the window.
    fn allowance(&self, now: Instant) -> f64 {
        let age = |from: Instant| now.saturating_duration_since(from);
        let next = self.parts.iter().skip(1).map(|(from, _)| Some(*from));
        let until = next.chain([None]);
        let recent = self
            .parts
            .iter()
            .zip(until)
            .filter(|(_, until)| until.is_none_or(|until| age(until) < self.limit.span));
        let smallest = recent.map(|((_, part), _)| *part).reduce(f64::min);
        smallest.unwrap_or(0.0)
    }

    fn bucket_index(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        let bucket_s = self.limit.span.as_secs_f64() / BUCKETS as f64;
        // Indexes start at 1, as 0 marks a bucket that was never used.
        (age.as_secs_f64() / bucket_s.max(1e-3)) as u64 + 1
    }

    fn current_bucket(&mut self, now: Instant) -> &mut WindowBucket {
        let index = self.bucket_index(now);
        let slot = (index % (BUCKETS as u64 + 1)) as usize;
        let bucket = &mut self.buckets[slot];
        if bucket.index != index {
            *bucket = WindowBucket {
                index,
                ..WindowBucket::default()
            };
        }
        bucket
    }

    /// Counts an initial sub-request.
    pub fn count_initial(&mut self, now: Instant) {
        self.current_bucket(now).initial += 1;
    }

    /// Counts one hedge or retry if the budget allows it; returns whether it may be sent.
    pub fn take(&mut self, now: Instant, purpose: Purpose) -> bool {
        let share = match purpose {
            Purpose::Hedge => HEDGE_SHARE,
            Purpose::Retry => 1.0,
        };
        let is_allowed = self.has_room(now, share);
        if is_allowed {
            self.current_bucket(now).hedges_and_retries += 1;
        }
        is_allowed
    }

    /// Returns whether the budget allows a retry now, as a sub-request needs that a server is likely to shed.
    pub fn allows_retry(&self, now: Instant) -> bool {
        self.has_room(now, 1.0)
    }

    /// Returns whether one more hedge or retry stays within a share of the usable budget.
    fn has_room(&self, now: Instant, share: f64) -> bool {
        let (initial, hedges_and_retries) = self.counts(now);
        let limit = self.limit.ratio * f64::from(initial) + self.allowance(now);
        f64::from(hedges_and_retries + 1) <= limit * LIMIT_SHARE * share
    }

    /// Takes back the count of a hedge or retry that wasn't sent.
    pub fn refund(&mut self, now: Instant) {
        let bucket = self.current_bucket(now);
        bucket.hedges_and_retries = bucket.hedges_and_retries.saturating_sub(1);
    }

    /// Returns the numbers of initial sub-requests and of hedges and retries in the window that ends at `now`.
    pub fn counts(&self, now: Instant) -> (u32, u32) {
        let index = self.bucket_index(now);
        let is_recent =
            |bucket: &&WindowBucket| bucket.index + BUCKETS as u64 >= index && bucket.index > 0;
        let recent = self.buckets.iter().filter(is_recent);
        recent.fold((0, 0), |(initial, hedges_and_retries), bucket| {
            (
                initial + bucket.initial,
                hedges_and_retries + bucket.hedges_and_retries,
            )
        })
    }
}

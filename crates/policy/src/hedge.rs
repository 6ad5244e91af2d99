//! How many hedges may be sent, and when.

use std::time::{
    Duration,
    Instant, //
};

use crate::bucket::Bucket;

/// Hedges that may be sent at once after a quiet time.
const BURST: f64 = 8.0;

/// Hedges kept back for stragglers.
const RESERVE: f64 = BURST / 2.0;

/// How late a sub-request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lateness {
    /// It just passed the wait.
    Slow,
    /// It is far beyond what is usual.
    Straggling,
}

/// Bounds hedges to a share of the sub-requests.
#[derive(Debug, Clone)]
pub struct Budget(Bucket);

impl Budget {
    /// Makes a half-full budget that earns `share` of a hedge for each sub-request.
    pub fn new(share: f64) -> Self {
        let tokens = if share > 0.0 { RESERVE } else { 0.0 };
        Self(Bucket::new(share, BURST, tokens))
    }

    /// Sets the share; 0 stops hedges at once.
    pub fn set_share(&mut self, share: f64) {
        self.0.set_share(share);
    }

    /// Counts one sub-request.
    pub fn earn(&mut self) {
        self.0.earn();
    }

    /// Takes the token for one hedge.
    ///
    /// One that is merely slow gets none of the reserve: where few sub-requests are sent, an empty
    /// budget takes longer to earn the next token than a straggler takes.
    pub fn take(&mut self, lateness: Lateness) -> bool {
        match lateness {
            Lateness::Slow => self.0.take_above(RESERVE),
            Lateness::Straggling => self.0.take(),
        }
    }

    /// Gives back the token of a hedge that wasn't sent.
    pub fn refund(&mut self) {
        self.0.refund();
    }

    /// Returns the hedges that may be sent now.
    pub fn tokens(&self) -> f64 {
        self.0.tokens()
    }
}

/// Returns the quantile after which a sub-request is hedged.
///
/// A quantile at which more sub-requests qualify than the budget covers would spend the budget on
/// those that are merely a little slow, and leave none for the stragglers.
pub fn quantile(configured: f64, budget: f64) -> f64 {
    configured.max(1.0 - budget)
}

/// Returns the wait before a hedge, given the latency at [`quantile`] where it is known.
pub fn wait(observed: Option<Duration>, least: Duration) -> Option<Duration> {
    observed.map(|observed| observed.max(least))
}

/// Usual latencies that a second sub-request needs to be of use: its own, and as much again for the
/// queue that it meets.
const ROOM: u32 = 2;

/// Returns when a sub-request that was sent at `sent` is hedged.
///
/// Load pattern: short queries share servers with long ones and wait behind them. What is slow for
/// them is nearly all of their objective; a hedge at that time comes too late.
///
/// `slow` is the latency that few exceed, `usual` the one in the middle, `answer_by` the time at
/// which the answer is needed.
pub fn at(sent: Instant, slow: Duration, usual: Duration, answer_by: Instant) -> Instant {
    let useful = answer_by
        .saturating_duration_since(sent)
        .saturating_sub(usual * ROOM);
    let least = usual.mul_f64(1.5);
    sent + slow.min(useful.max(least))
}

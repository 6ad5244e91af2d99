//! Hedging: the hedge delay, and a budget for hedges alone; [`crate::retry_budget`] limits hedges and retries
//! together, over the fleet.

use std::time::{
    Duration,
    Instant, //
};

use crate::bucket::Bucket;

/// Maximum number of hedges that the budget holds, so that few can be sent at once after a quiet time.
const BURST: f64 = 8.0;

/// Tokens of the budget that are reserved for stragglers.
const STRAGGLER_RESERVE: f64 = BURST / 2.0;

/// How late a sub-request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lateness {
    /// It has just exceeded the hedge delay.
    Slow,
    /// It has taken far longer than the baseline latency.
    Straggling,
}

/// Hedge budget: limits hedges to a share of the sub-requests.
#[derive(Debug, Clone)]
pub struct Budget(Bucket);

impl Budget {
    /// Makes a half-full budget that earns `share` of a token for each sub-request.
    pub fn new(share: f64) -> Self {
        let tokens = if share > 0.0 { STRAGGLER_RESERVE } else { 0.0 };
        Self(Bucket::new(share, BURST, tokens))
    }

    /// Sets the share of a token that each sub-request earns; 0 stops hedges at once.
    pub fn set_share(&mut self, share: f64) {
        self.0.set_share(share);
    }

    /// Adds the share earned by one sub-request.
    pub fn earn(&mut self) {
        self.0.earn();
    }

    /// Takes the token for one hedge; returns whether the hedge may be sent.
    ///
    /// A sub-request that is merely slow can't use the reserve: if few sub-requests are sent, an empty
    /// budget takes longer to earn its next token than a straggler takes.
    pub fn take(&mut self, lateness: Lateness) -> bool {
        match lateness {
            Lateness::Slow => self.0.take_above(STRAGGLER_RESERVE),
            Lateness::Straggling => self.0.take(),
        }
    }

    /// Returns the token of a hedge that wasn't sent.
    pub fn refund(&mut self) {
        self.0.refund();
    }

    /// Returns the number of hedges that may be sent now.
    pub fn tokens(&self) -> f64 {
        self.0.tokens()
    }
}

/// Returns the latency quantile to use as the hedge delay.
///
/// At a quantile that more sub-requests exceed than the budget covers, slightly slow sub-requests would
/// use up the budget and leave nothing for the stragglers.
pub fn quantile(configured: f64, budget: f64) -> f64 {
    configured.max(1.0 - budget)
}

/// Returns the hedge delay, given the observed latency at [`quantile`]; `None` if that isn't known.
pub fn delay(observed: Option<Duration>, min_delay: Duration) -> Option<Duration> {
    observed.map(|observed| observed.max(min_delay))
}

/// Multiple of the median latency that must be left when a hedge is sent for it to be useful: once for its own
/// work and once for the queue in front of it.
const HEDGE_LATENCIES: u32 = 2;

/// Returns when a sub-request that was sent at `sent_at` is hedged.
///
/// Short queries share servers with long ones and wait behind them. A high quantile of their latency is
/// then nearly as long as their latency objective, and a hedge after that delay would come too late.
///
/// `high_quantile` is the latency that few sub-requests exceed, `median` their median latency, and
/// `answer_by` the time at which the reply is needed. A short time left doesn't lower the delay below 1.5
/// times the median, so that a service that is slow for every request isn't hedged too early.
pub fn due_at(
    sent_at: Instant,
    high_quantile: Duration,
    median: Duration,
    answer_by: Instant,
) -> Instant {
    let latest_delay = answer_by
        .saturating_duration_since(sent_at)
        .saturating_sub(median * HEDGE_LATENCIES);
    let min_delay = median.mul_f64(1.5);
    sent_at + high_quantile.min(latest_delay.max(min_delay))
}

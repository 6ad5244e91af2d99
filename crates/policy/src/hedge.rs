//! How many hedges may be sent, and when.

use std::time::Duration;

use crate::bucket::Bucket;

/// Hedges that may be sent at once after a quiet time.
const BURST: f64 = 8.0;

/// Bounds hedges to a share of the sub-requests.
#[derive(Debug, Clone)]
pub struct Budget(Bucket);

impl Budget {
    /// Makes an empty budget that earns `share` of a hedge for each sub-request.
    pub fn new(share: f64) -> Self {
        Self(Bucket::new(share, BURST, 0.0))
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
    pub fn take(&mut self) -> bool {
        self.0.take()
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

//! A budget for retries alone; [`crate::retry_budget`] limits hedges and retries together, over the fleet.

use crate::bucket::Bucket;

/// Maximum number of retries that the budget holds, which may be sent at once whatever the recent load.
const BURST: f64 = 4.0;

/// Limits retries to a share of the sub-requests, so that an outage can't multiply the load.
#[derive(Debug, Clone)]
pub struct Budget(Bucket);

impl Budget {
    /// Makes a full budget that earns `share` of a token for each sub-request.
    pub fn new(share: f64) -> Self {
        Self::with_burst(share, BURST)
    }

    /// Makes a full budget that holds `burst` retries at most.
    pub fn with_burst(share: f64, burst: f64) -> Self {
        let tokens = if share > 0.0 { burst } else { 0.0 };
        Self(Bucket::new(share, burst, tokens))
    }

    /// Sets the share of a token that each sub-request earns; 0 stops retries at once.
    pub fn set_share(&mut self, share: f64) {
        self.0.set_share(share);
    }

    /// Adds the share earned by one sub-request.
    pub fn earn(&mut self) {
        self.0.earn();
    }

    /// Takes the token for one retry; returns whether the retry may be sent.
    pub fn take(&mut self) -> bool {
        self.0.take()
    }

    /// Returns the number of retries that may be sent now.
    pub fn tokens(&self) -> f64 {
        self.0.tokens()
    }
}

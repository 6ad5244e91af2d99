//! A token bucket that is refilled by units of work instead of by time.

/// Earns `share` of a token for each unit of work, up to `burst` tokens.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    share: f64,
    burst: f64,
    tokens: f64,
}

/// Tolerance for the rounding errors of repeated additions, which must not cost a token.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Bucket {
    /// Makes a bucket that holds `tokens`.
    pub(crate) fn new(share: f64, burst: f64, tokens: f64) -> Self {
        Self {
            share,
            burst,
            tokens,
        }
    }

    /// Sets the share of a token that each later unit of work earns; 0 also discards the tokens held.
    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = share;
        if share <= 0.0 {
            self.tokens = 0.0;
        }
    }

    /// Adds the share earned by one unit of work.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one token; returns whether there was one.
    pub(crate) fn take(&mut self) -> bool {
        self.take_above(0.0)
    }

    /// Takes one token if at least `reserve` tokens remain; returns whether it was taken.
    pub(crate) fn take_above(&mut self, reserve: f64) -> bool {
        if self.tokens + ROUNDING_TOLERANCE < reserve + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns an unused token to the bucket.
    pub(crate) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    /// Returns the tokens held.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }
}

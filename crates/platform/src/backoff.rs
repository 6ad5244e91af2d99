//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

/// Exponential backoff: the upper limit of the wait doubles with each retry, and each wait is drawn
/// from the upper half of its range.
///
/// # Examples
///
/// ```
/// use platform::backoff::Backoff;
/// use std::time::Duration;
///
/// let mut backoff = Backoff::new(Duration::from_millis(10), Duration::from_millis(40));
/// assert!(backoff.next_wait() <= Duration::from_millis(10));
/// assert!(backoff.next_wait() <= Duration::from_millis(20));
/// backoff.reset();
/// assert!(backoff.next_wait() <= Duration::from_millis(10));
/// ```
#[derive(Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next_max: Duration,
    random: SmallRng,
}

impl Backoff {
    /// Creates a backoff whose first wait is at most `initial` and whose later waits are at most
    /// `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self::seeded(initial, max, rand::random())
    }

    /// Creates a backoff whose jitter is derived from `seed`.
    pub fn seeded(initial: Duration, max: Duration, seed: u64) -> Self {
        let initial = initial.min(max);
        Self {
            initial,
            max,
            next_max: initial,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the time to wait before the next retry.
    pub fn next_wait(&mut self) -> Duration {
        let limit = self.next_max;
        self.next_max = limit.saturating_mul(2).min(self.max);
        limit.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Goes back to the initial wait, after a success.
    pub fn reset(&mut self) {
        self.next_max = self.initial;
    }
}

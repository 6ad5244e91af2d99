//! Waits between tries, growing and jittered.

use std::time::Duration;

use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

/// Waits that double from one try to the next, each drawn from the upper half of its range.
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
    first: Duration,
    longest: Duration,
    next: Duration,
    random: SmallRng,
}

impl Backoff {
    /// Makes waits of at most `first` at the start and at most `longest` in the end.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self::seeded(first, longest, rand::random())
    }

    /// Makes waits whose jitter is drawn from `seed`.
    pub fn seeded(first: Duration, longest: Duration, seed: u64) -> Self {
        let first = first.min(longest);
        Self {
            first,
            longest,
            next: first,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the time to wait before the next try.
    pub fn next_wait(&mut self) -> Duration {
        let bound = self.next;
        self.next = bound.saturating_mul(2).min(self.longest);
        bound.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Starts over, after a try that went well.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

//! Pauses that backend servers ask for.
//!
//! A server that rejects a request may state for how long it wants none. Until then its slots don't count
//! as capacity, its work goes to other replicas, and the rejection is no sign of a fault.

use std::time::{
    Duration,
    Instant, //
};

/// Longest pause that is granted; a server that still wants none after it rejects the next request again.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// The latest pause of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pause {
    until: Option<Instant>,
}

impl Pause {
    /// Records that the server asked at `now` for a pause of `seconds`; returns the time granted, none if the
    /// number isn't a usable one.
    pub fn request(&mut self, now: Instant, seconds: f64) -> Option<Duration> {
        let is_usable = seconds.is_finite() && seconds > 0.0;
        let granted = is_usable.then(|| seconds.min(MAX_PAUSE.as_secs_f64()))?;
        let granted = Duration::from_secs_f64(granted);
        let until = now + granted;
        self.until = Some(self.until.map_or(until, |other| other.max(until)));
        Some(granted)
    }

    /// Returns the time left at `now`; none if there is no pause.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}

//! When a refused caller is told to come back.
//!
//! Load pattern: all instances lose a service at the same moment and refuse hundreds of callers, who
//! must neither come back at once nor together.

use std::time::Duration;

/// Shortest wait that a caller is told: less, and it comes back to the same state.
const SHORTEST: Duration = Duration::from_millis(20);
/// Share of the time left beyond which a caller would rather give up than wait.
const SHARE: f64 = 0.3;

/// Returns the wait to tell a caller who has `left`, where room is expected after `room`.
///
/// `spread`, from 0 to 1, differs from caller to caller, so that they come back one after the other.
pub fn retry_after(room: Duration, left: Duration, spread: f64) -> Duration {
    let wait = room
        .max(SHORTEST)
        .mul_f64(1.0 + spread.clamp(0.0, 1.0) / 2.0);
    wait.min(left.mul_f64(SHARE)).max(SHORTEST)
}

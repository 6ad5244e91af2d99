//! After which time a refused caller should retry.
//!
//! All instances lose a service at the same moment and refuse hundreds of callers, which must retry
//! neither at once nor all together.

use std::time::Duration;

/// Shortest wait sent to a caller; a retry before that meets the same state.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Longest wait as a share of the caller's remaining time; a caller asked to wait longer would give up.
const MAX_TIME_LEFT_SHARE: f64 = 0.3;

/// Returns the wait to send to a caller that has `time_left`, if capacity is expected after `capacity_after`.
///
/// `jitter`, from 0 to 1, differs from caller to caller, so that their retries are spread out.
pub fn retry_after(capacity_after: Duration, time_left: Duration, jitter: f64) -> Duration {
    let wait = capacity_after
        .max(MIN_RETRY_AFTER)
        .mul_f64(1.0 + jitter.clamp(0.0, 1.0) / 2.0);
    wait.min(time_left.mul_f64(MAX_TIME_LEFT_SHARE))
        .max(MIN_RETRY_AFTER)
}

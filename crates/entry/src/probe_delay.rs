//! How long a batch may run before its instance is probed.

use std::{
    cell::RefCell,
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

/// Minimum probe delay.
const MIN_DELAY: Duration = Duration::from_millis(40);
/// Maximum probe delay, also used for a group without samples.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Smoothed batch latency of a group and its mean deviation, in seconds, estimated as for the
/// retransmission timeout of TCP (RFC 6298).
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// Probe delay by group, derived from the latency of earlier batches.
#[derive(Debug, Default)]
pub struct ProbeDelay {
    groups: RefCell<HashMap<Arc<str>, Estimate>>,
}

impl ProbeDelay {
    /// Records the latency of a completed batch of `group`.
    pub fn observe(&self, group: &Arc<str>, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        let mut groups = self.groups.borrow_mut();
        let estimate = groups.entry(group.clone()).or_insert(Estimate {
            mean: sample,
            deviation: sample / 2.0,
        });
        let error = (sample - estimate.mean).abs();
        estimate.deviation += (error - estimate.deviation) / 4.0;
        estimate.mean += (sample - estimate.mean) / 8.0;
    }

    /// Returns the time after which the instance that runs a batch of `group` is probed.
    pub fn get(&self, group: &str) -> Duration {
        self.groups
            .borrow()
            .get(group)
            .map_or(MAX_DELAY, |estimate| {
                Duration::from_secs_f64(estimate.mean + 4.0 * estimate.deviation)
            })
            .clamp(MIN_DELAY, MAX_DELAY)
    }
}

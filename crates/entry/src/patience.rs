//! How long to wait for an instance before it is probed.

use std::{
    cell::RefCell,
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

/// Shortest time after which a silent instance is probed.
const PATIENCE_MIN: Duration = Duration::from_millis(40);
/// Longest time after which a silent instance is probed.
const PATIENCE_MAX: Duration = Duration::from_millis(500);

/// How long the batches of a group take, smoothed as a retransmission timer is (RFC 6298).
#[derive(Debug, Clone, Copy, Default)]
struct Smoothed {
    mean: f64,
    deviation: f64,
}

/// How long to wait for a silent instance, by group.
#[derive(Debug, Default)]
pub struct Patience {
    groups: RefCell<HashMap<Arc<str>, Smoothed>>,
}

impl Patience {
    /// Takes note of how long a batch of `group` took.
    pub fn observe(&self, group: &Arc<str>, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        let mut groups = self.groups.borrow_mut();
        let smoothed = groups.entry(group.clone()).or_insert(Smoothed {
            mean: sample,
            deviation: sample / 2.0,
        });
        let error = (sample - smoothed.mean).abs();
        smoothed.deviation += (error - smoothed.deviation) / 4.0;
        smoothed.mean += (sample - smoothed.mean) / 8.0;
    }

    /// Returns the time after which a batch of `group` is overdue.
    pub fn wait(&self, group: &str) -> Duration {
        self.groups
            .borrow()
            .get(group)
            .map_or(PATIENCE_MAX, |smoothed| {
                Duration::from_secs_f64(smoothed.mean + 4.0 * smoothed.deviation)
            })
            .clamp(PATIENCE_MIN, PATIENCE_MAX)
    }
}

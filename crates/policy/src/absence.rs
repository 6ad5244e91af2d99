//! Which instances are gone for good.
//!
//! Entries in the store don't expire, and an instance that is lost can't remove its own. It would keep its share of
//! connections and retry budgets for ever, and its place among the watchers. Each instance probes the next one by name, and
//! further ones while they don't answer, so that every instance is probed by one that is up.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Maximum number of instances that are probed in one round.
pub const MAX_PROBES: usize = 8;
/// Longest time between two probes that counts as observed: an instance that was paused has observed nothing meanwhile.
const MAX_PROBE_GAP: Duration = Duration::from_secs(10);

/// Returns the indexes of the instances in the order in which `local` probes them: by name, from the one after it on.
pub fn order(local: &str, names: &[&str]) -> Vec<usize> {
    let mut sorted: Vec<usize> = (0..names.len())
        .filter(|index| names[*index] != local)
        .collect();
    sorted.sort_by_key(|index| names[*index]);
    let after = sorted.partition_point(|index| names[*index] < local);
    sorted.rotate_left(after);
    sorted
}

/// Failed probes of one instance in a row.
#[derive(Debug, Clone, Copy)]
struct Absence {
    observed: Duration,
    probed_at: Instant,
}

/// Failed probes of the instances that one instance looks after.
#[derive(Debug)]
pub struct Monitor {
    min_absence: Duration,
    absences: HashMap<Arc<str>, Absence>,
}

impl Monitor {
    /// Creates a monitor that takes an instance for gone after `min_absence`.
    pub fn new(min_absence: Duration) -> Self {
        Self {
            min_absence,
            absences: HashMap::new(),
        }
    }

    /// Records the result of a probe.
    pub fn record(&mut self, name: &Arc<str>, is_up: bool, now: Instant) {
        if is_up {
            self.absences.remove(name);
            return;
        }
        let absence = self.absences.entry(name.clone()).or_insert(Absence {
            observed: Duration::ZERO,
            probed_at: now,
        });
        absence.observed += (now - absence.probed_at).min(MAX_PROBE_GAP);
        absence.probed_at = now;
    }

    /// Returns for how long the instance was observed to be absent, if it is gone.
    pub fn gone_for(&self, name: &str) -> Option<Duration> {
        let observed = self.absences.get(name)?.observed;
        (observed >= self.min_absence).then_some(observed)
    }

    /// Forgets the instances that `probed` doesn't hold: another one looks after them, or their entries are gone.
    pub fn retain(&mut self, probed: &[Arc<str>]) {
        self.absences.retain(|name, _| probed.contains(name));
    }
}

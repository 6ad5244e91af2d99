//! Selection of the snapshot that a query is pinned to.

use std::{
    cell::RefCell,
    collections::HashMap,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use config::catalog::{
    Group,
    Shard,
    Snapshot, //
};

/// Time after which the recorded snapshots of a service expire.
const HELD_TTL: Duration = Duration::from_millis(300);

/// The snapshots that a service reported to hold.
#[derive(Debug)]
struct Held {
    snapshots: Vec<u64>,
    expires_at: Instant,
}

/// Selects snapshots by what services reported to hold after they lacked a pinned snapshot.
#[derive(Debug, Default)]
pub struct Selector {
    services: RefCell<HashMap<Arc<str>, Held>>,
}

impl Selector {
    /// Selects the snapshot of `group` that the fewest services are known to lack, and the newest
    /// one among equals.
    pub fn select<'a>(&self, group: &'a Group) -> Option<&'a Arc<Snapshot>> {
        if self.services.borrow().is_empty() {
            return group.snapshots.first();
        }
        self.remove_expired();
        let lacking = |snapshot: &&Arc<Snapshot>| self.count_lacking(snapshot);
        // The newest snapshot comes first, and `min_by_key` returns the first of equal elements.
        group.snapshots.iter().min_by_key(lacking)
    }

    /// Returns the number of shards of `snapshot` whose service is known to lack it.
    pub fn count_lacking(&self, snapshot: &Snapshot) -> usize {
        let services = self.services.borrow();
        let lacks = |shard: &&Shard| {
            let held = services.get(&shard.service);
            held.is_some_and(|held| !held.snapshots.contains(&snapshot.number))
        };
        snapshot.shards.iter().filter(lacks).count()
    }

    /// Records the snapshots that a service holds.
    pub fn record(&self, service: &Arc<str>, snapshots: &[u64]) {
        let held = Held {
            snapshots: snapshots.to_vec(),
            expires_at: Instant::now() + HELD_TTL,
        };
        self.services.borrow_mut().insert(service.clone(), held);
    }

    fn remove_expired(&self) {
        let now = Instant::now();
        let mut services = self.services.borrow_mut();
        services.retain(|_, held| held.expires_at > now);
    }
}

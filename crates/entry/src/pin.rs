//! The choice of the snapshot that a query is pinned to.

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

/// Time for which it is remembered what a service holds.
const REMEMBER: Duration = Duration::from_millis(300);

/// The snapshots that a service said it holds, and when that is forgotten.
#[derive(Debug)]
struct Held {
    snapshots: Vec<u64>,
    until: Instant,
}

/// What services that didn't hold a pinned snapshot said they hold, by service.
#[derive(Debug, Default)]
pub struct Memory {
    services: RefCell<HashMap<Arc<str>, Held>>,
}

impl Memory {
    /// Chooses the snapshot of `group` that the fewest services are known to lack, the newest of
    /// these.
    pub fn choose<'a>(&self, group: &'a Group) -> Option<&'a Arc<Snapshot>> {
        if self.services.borrow().is_empty() {
            return group.snapshots.first();
        }
        self.forget();
        let lacking = |snapshot: &&Arc<Snapshot>| self.lacking(snapshot);
        // The newest comes first, and the first of equals is taken.
        group.snapshots.iter().min_by_key(lacking)
    }

    /// Returns the shards of `snapshot` whose service is known to lack it.
    pub fn lacking(&self, snapshot: &Snapshot) -> usize {
        let services = self.services.borrow();
        let lacks = |shard: &&Shard| {
            let held = services.get(&shard.service);
            held.is_some_and(|held| !held.snapshots.contains(&snapshot.number))
        };
        snapshot.shards.iter().filter(lacks).count()
    }

    /// Takes note of what a service holds.
    pub fn learn(&self, service: &Arc<str>, snapshots: &[u64]) {
        let held = Held {
            snapshots: snapshots.to_vec(),
            until: Instant::now() + REMEMBER,
        };
        self.services.borrow_mut().insert(service.clone(), held);
    }

    fn forget(&self) {
        let now = Instant::now();
        let mut services = self.services.borrow_mut();
        services.retain(|_, held| held.until > now);
    }
}

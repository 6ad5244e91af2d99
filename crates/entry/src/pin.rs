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
    Snapshot, //
};

/// Time for which queries avoid a snapshot that a service didn't hold.
const AVOID: Duration = Duration::from_millis(300);

/// Remembers which snapshots weren't held, by group.
#[derive(Debug, Default)]
pub struct Memory {
    avoided: RefCell<HashMap<(Arc<str>, u64), Instant>>,
}

impl Memory {
    /// Chooses the newest snapshot of `group` that isn't avoided, or the newest if all are.
    pub fn choose<'a>(&self, name: &Arc<str>, group: &'a Group) -> Option<&'a Arc<Snapshot>> {
        let avoided = self.avoided.borrow();
        if avoided.is_empty() {
            return group.snapshots.first();
        }
        let now = Instant::now();
        let is_avoided = |snapshot: &Snapshot| {
            avoided
                .get(&(name.clone(), snapshot.number))
                .is_some_and(|until| *until > now)
        };
        group
            .snapshots
            .iter()
            .find(|snapshot| !is_avoided(snapshot))
            .or_else(|| group.snapshots.first())
    }

    /// Takes note that a service of `group` doesn't hold the snapshot.
    pub fn avoid(&self, group: &Arc<str>, snapshot: u64) {
        let now = Instant::now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > now);
        avoided.insert((group.clone(), snapshot), now + AVOID);
    }
}

/// Chooses the snapshot for a second run: the newest other one that each failed service holds.
pub fn other<'a>(group: &'a Group, pinned: u64, held: &[&[u64]]) -> Option<&'a Arc<Snapshot>> {
    group
        .snapshots
        .iter()
        .filter(|snapshot| snapshot.number != pinned)
        .find(|snapshot| held.iter().all(|held| held.contains(&snapshot.number)))
}

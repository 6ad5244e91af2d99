//! The snapshots of each group, and the catalog document.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use config::catalog::{
    Catalog,
    Group,
    Service,
    Shard,
    Snapshot, //
};

use super::{
    server::Server,
    sizes, //
};
use crate::trace::profile::User;

/// Number of the snapshot that every server holds at the start.
const INITIAL_NUMBER: u64 = 1;
/// Snapshots of a group that the catalog lists at most.
const MAX_SNAPSHOTS: usize = 2;

/// The snapshots of every group, newest first.
#[derive(Debug)]
pub struct Layout {
    groups: BTreeMap<Arc<str>, Vec<Arc<Snapshot>>>,
}

impl Layout {
    /// Makes the initial layout: one shard per service.
    pub fn new(user: User) -> Self {
        let groups = sizes::groups(user).map(|(group, count)| {
            let shards = (0..count).map(|index| shard(group, index)).collect();
            let snapshot = Snapshot {
                number: INITIAL_NUMBER,
                shards,
            };
            (Arc::from(group), vec![Arc::new(snapshot)])
        });
        Self {
            groups: groups.into_iter().collect(),
        }
    }

    /// Returns the names of the groups.
    pub fn group_names(&self) -> Vec<Arc<str>> {
        self.groups.keys().cloned().collect()
    }

    /// Returns the snapshots of a group, newest first.
    pub fn snapshots(&self, group: &str) -> &[Arc<Snapshot>] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    /// Adds a group's next snapshot, with other shards if `repartition` is set.
    ///
    /// Returns `None` for an unknown group.
    pub fn add_snapshot(&mut self, group: &str, repartition: bool) -> Option<Arc<Snapshot>> {
        let snapshots = self.groups.get_mut(group)?;
        let last = snapshots.first()?;
        let number = last.number + 1;
        let shards = match repartition {
            true => repartitioned(group, number, last),
            false => last.shards.clone(),
        };
        let snapshot = Arc::new(Snapshot { number, shards });
        snapshots.insert(0, snapshot.clone());
        snapshots.truncate(MAX_SNAPSHOTS);
        Some(snapshot)
    }

    /// Removes all snapshots of a group but the newest.
    pub fn keep_newest(&mut self, group: &str) {
        if let Some(snapshots) = self.groups.get_mut(group) {
            snapshots.truncate(1);
        }
    }

    /// Returns the catalog document.
    pub fn catalog(&self, servers: &[Arc<Server>]) -> Catalog {
        let mut services = BTreeMap::<Arc<str>, Service>::new();
        for server in servers {
            let service = services.entry(server.spec.service.clone()).or_default();
            service.servers.push(Arc::new(server.catalog_entry()));
        }
        let groups = self.groups.iter().map(|(name, snapshots)| {
            let group = Group {
                snapshots: snapshots.clone(),
            };
            (name.clone(), group)
        });
        Catalog {
            groups: groups.collect(),
            services: services
                .into_iter()
                .map(|(name, service)| (name, Arc::new(service)))
                .collect(),
        }
    }
}

fn shard(group: &str, index: usize) -> Shard {
    let service = sizes::service_name(group, index);
    Shard {
        name: service.clone(),
        service,
    }
}

/// Makes a third more shards than there are services, as if every third shard was split, and moves
/// all of them to other services.
fn repartitioned(group: &str, number: u64, last: &Snapshot) -> Vec<Shard> {
    let mut services: Vec<_> = last.shards.iter().map(|shard| &shard.service).collect();
    services.sort_unstable();
    services.dedup();
    let shards = services.len() + services.len() / 3;
    (0..shards)
        .map(|index| Shard {
            name: Arc::from(format!("{group}-{number}-{index:02}")),
            service: services[(index + number as usize) % services.len()].clone(),
        })
        .collect()
}

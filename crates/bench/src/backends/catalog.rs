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

/// Snapshot that every server holds at the start.
const FIRST: u64 = 1;
/// Snapshots of a group that the catalog lists.
const LISTED: usize = 2;

/// The snapshots of every group, newest first.
#[derive(Debug)]
pub struct Layout {
    groups: BTreeMap<Arc<str>, Vec<Arc<Snapshot>>>,
}

impl Layout {
    /// Makes the first layout: one shard a service.
    pub fn new(user: User) -> Self {
        let groups = sizes::groups(user).map(|(group, count)| {
            let shards = (0..count).map(|index| shard(group, index)).collect();
            let snapshot = Snapshot {
                number: FIRST,
                shards,
            };
            (Arc::from(group), vec![Arc::new(snapshot)])
        });
        Self {
            groups: groups.into_iter().collect(),
        }
    }

    /// Returns the names of the groups.
    pub fn groups(&self) -> Vec<Arc<str>> {
        self.groups.keys().cloned().collect()
    }

    /// Returns the snapshots of a group, newest first.
    pub fn snapshots(&self, group: &str) -> &[Arc<Snapshot>] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    /// Adds a group's next snapshot, with other shards if it is repartitioned.
    pub fn next(&mut self, group: &str, repartition: bool) -> Option<Arc<Snapshot>> {
        let snapshots = self.groups.get_mut(group)?;
        let last = snapshots.first()?;
        let number = last.number + 1;
        let shards = match repartition {
            true => repartitioned(group, number, last),
            false => last.shards.clone(),
        };
        let snapshot = Arc::new(Snapshot { number, shards });
        snapshots.insert(0, snapshot.clone());
        snapshots.truncate(LISTED);
        Some(snapshot)
    }

    /// Forgets all snapshots of a group but the newest.
    pub fn settle(&mut self, group: &str) {
        if let Some(snapshots) = self.groups.get_mut(group) {
            snapshots.truncate(1);
        }
    }

    /// Returns the catalog document.
    pub fn catalog(&self, servers: &[Arc<Server>]) -> Catalog {
        let mut services = BTreeMap::<Arc<str>, Service>::new();
        for server in servers {
            let service = services.entry(server.spec.service.clone()).or_default();
            service.servers.push(Arc::new(server.entry()));
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
    let service = sizes::service(group, index);
    Shard {
        name: service.clone(),
        service,
    }
}

/// Splits every third shard and moves all shards to other services.
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

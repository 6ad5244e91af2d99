//! What operators and faults did during a demo, for the verifier.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use config::Catalog;

use crate::verify::{
    log::{
        Accepted,
        Mark,
        Snapshots, //
    },
    Log,
    Promise, //
};

/// What operators and faults did.
#[derive(Debug, Default)]
pub struct Events {
    marks: Vec<Mark>,
    groups: BTreeMap<Arc<str>, Snapshots>,
    presets: Vec<Accepted>,
    unplanned: bool,
    violations: BTreeMap<Promise, u64>,
}

impl Events {
    /// Notes a backend server that is marked leaving now.
    pub fn leave(&mut self, server: &Arc<str>) {
        self.marks.push(Mark {
            server: server.clone(),
            at_us: crate::backends::now_us(),
            until_us: None,
        });
    }

    /// Notes that a backend server's mark is taken back now.
    pub fn come_back(&mut self, server: &Arc<str>) {
        let marks = self.marks.iter_mut();
        let marks = marks.filter(|mark| mark.server == *server && mark.until_us.is_none());
        marks.for_each(|mark| mark.until_us = Some(crate::backends::now_us()));
    }

    /// Notes the shards of a catalog's snapshots.
    pub fn publish(&mut self, catalog: &Catalog) {
        for (name, group) in &catalog.groups {
            let snapshots = self.groups.entry(name.clone()).or_default();
            for snapshot in &group.snapshots {
                let shards = snapshot.shards.iter().map(|shard| shard.name.clone());
                snapshots.insert(snapshot.number, shards.collect());
            }
        }
    }

    /// Notes a presets document that the platform accepted now.
    pub fn accept(&mut self, version: u64) {
        self.presets.push(Accepted {
            version,
            at_us: crate::backends::now_us(),
        });
    }

    /// Checks that the platform accepted every presets document that an operator was told of.
    pub fn check(&mut self, claimed: &[Accepted], accepted: &[Accepted]) {
        for claim in claimed {
            if !accepted
                .iter()
                .any(|accepted| accepted.version == claim.version)
            {
                self.violate(Promise::Config);
            }
        }
    }

    /// Notes that something but a planned stop happens to instances or connections.
    pub fn disturb(&mut self) {
        self.unplanned = true;
    }

    /// Notes a promise that the demo itself saw broken.
    pub fn violate(&mut self, promise: Promise) {
        *self.violations.entry(promise).or_default() += 1;
    }

    /// Adds the events to the backend servers' log.
    pub fn add_to(&self, log: &mut Log) {
        log.marks.clone_from(&self.marks);
        log.groups.clone_from(&self.groups);
        log.presets.clone_from(&self.presets);
        log.unplanned = self.unplanned;
    }

    /// Returns the promises that the demo itself saw broken.
    pub fn violations(&self) -> &BTreeMap<Promise, u64> {
        &self.violations
    }
}

//! What operators and faults did during a demo, for the verifier.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use config::Catalog;

use crate::verify::{
    log::{
        AcceptedVersion,
        LeavingMark,
        Snapshots, //
    },
    Log,
    Promise, //
};

/// Records of what operators and faults did.
#[derive(Debug, Default)]
pub struct Events {
    marks: Vec<LeavingMark>,
    groups: BTreeMap<Arc<str>, Snapshots>,
    presets: Vec<AcceptedVersion>,
    unplanned: bool,
    violations: BTreeMap<Promise, u64>,
}

impl Events {
    /// Records that a backend server is marked as leaving now.
    pub fn record_mark(&mut self, server: &Arc<str>) {
        self.marks.push(LeavingMark {
            server: server.clone(),
            at_us: crate::backends::now_us(),
            until_us: None,
        });
    }

    /// Records that a backend server's mark is removed now.
    pub fn record_mark_removal(&mut self, server: &Arc<str>) {
        let marks = self.marks.iter_mut();
        let marks = marks.filter(|mark| mark.server == *server && mark.until_us.is_none());
        marks.for_each(|mark| mark.until_us = Some(crate::backends::now_us()));
    }

    /// Records the shards of each snapshot in a catalog.
    pub fn record_catalog(&mut self, catalog: &Catalog) {
        for (name, group) in &catalog.groups {
            let snapshots = self.groups.entry(name.clone()).or_default();
            for snapshot in &group.snapshots {
                let shards = snapshot.shards.iter().map(|shard| shard.name.clone());
                snapshots.insert(snapshot.number, shards.collect());
            }
        }
    }

    /// Records that the platform confirms a presets document now.
    pub fn record_accepted_presets(&mut self, version: u64) {
        self.presets.push(AcceptedVersion {
            version,
            at_us: crate::backends::now_us(),
        });
    }

    /// Checks that the platform lists every presets document whose write it confirmed to an operator; records a
    /// violation for each that is missing.
    pub fn check_confirmed_presets(
        &mut self,
        confirmed: &[AcceptedVersion],
        accepted: &[AcceptedVersion],
    ) {
        for document in confirmed {
            if !accepted
                .iter()
                .any(|accepted| accepted.version == document.version)
            {
                self.record_violation(Promise::Config);
            }
        }
    }

    /// Records that instances or connections are disturbed by something other than a planned stop.
    pub fn record_disturbance(&mut self) {
        self.unplanned = true;
    }

    /// Records a broken promise that the demo itself observed.
    pub fn record_violation(&mut self, promise: Promise) {
        *self.violations.entry(promise).or_default() += 1;
    }

    /// Copies the events to the log of the backend servers.
    pub fn add_to(&self, log: &mut Log) {
        log.marks.clone_from(&self.marks);
        log.groups.clone_from(&self.groups);
        log.presets.clone_from(&self.presets);
        log.unplanned = self.unplanned;
    }

    /// Returns the number of violations that the demo itself observed, by promise.
    pub fn violations(&self) -> &BTreeMap<Promise, u64> {
        &self.violations
    }
}

//! An instance that follows the store.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use monoio::time::sleep;
use relay::{
    follow,
    peers::Member,
    quarantine,
    roster,
    source::Source, //
};

use super::{
    instance_in_zone,
    store::{
        Link,
        Objects,
        SharedStore, //
    },
    Instance, //
};

/// One instance with its way to the store.
pub struct Node {
    /// The instance.
    pub instance: Instance,
    /// Its way to the store.
    pub link: Rc<Link>,
}

impl Node {
    /// Starts an instance that follows the store.
    pub fn start(store: &Rc<SharedStore>, name: &str, zone: &str, cores: f64) -> Self {
        let instance = instance_in_zone(name, zone, cores);
        let link = Link::new(store);
        let source = Source::new(link.clone(), instance.relay.clone());
        let recovery = follow::StoreRecovery::default();
        monoio::spawn(follow::routes::<Objects>(source.clone(), recovery.clone()));
        monoio::spawn(follow::servers::<Objects>(source.clone(), recovery.clone()));
        monoio::spawn(quarantine::watch::<Objects>(
            source.clone(),
            recovery.clone(),
        ));
        monoio::spawn(quarantine::report::<Objects>(source.clone()));
        let member = Member {
            zone: zone.into(),
            ..instance.member(name, cores)
        };
        monoio::spawn(roster::instances::<Objects>(
            source, recovery, member, false,
        ));
        Self { instance, link }
    }

    /// Returns the version of its routes; 0 before the first ones.
    pub fn version(&self) -> u64 {
        let table = self.instance.relay.table();
        table.map_or(0, |table| table.version())
    }

    /// Returns how long it takes until the version is in force.
    pub async fn time_until_version(&self, version: u64, limit: Duration) -> Duration {
        let started_at = Instant::now();
        while self.version() < version && started_at.elapsed() < limit {
            sleep(Duration::from_millis(10)).await;
        }
        started_at.elapsed()
    }
}

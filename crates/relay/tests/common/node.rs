//! An instance that follows the store.

use std::{
    net::SocketAddr,
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
    cut,
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
        Self::start_at(store, name, zone, cores, |address| address)
    }

    /// Starts an instance that follows the store, and a link through which other instances reach it.
    pub fn start_linked(
        store: &Rc<SharedStore>,
        name: &str,
        zone: &str,
        cores: f64,
    ) -> (Self, Rc<cut::Link>) {
        let mut link = None;
        let node = Self::start_at(store, name, zone, cores, |address| {
            link.insert(cut::Link::to(address)).address
        });
        (node, link.expect("a link to the instance"))
    }

    /// Starts an instance whose entry names the address that `entry_address` returns for its own one.
    fn start_at(
        store: &Rc<SharedStore>,
        name: &str,
        zone: &str,
        cores: f64,
        entry_address: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Self {
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
            address: entry_address(instance.peer_address),
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

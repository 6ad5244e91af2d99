//! Fleets of which a few instances watch the store and pass on what they learn.

mod common;

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use common::{
    cut::{
        self,
        Condition, //
    },
    node::Node,
    run,
    store::{
        Config,
        InstanceEntry,
        ServerEntry,
        SharedStore, //
    }, //
};
use monoio::time::sleep;
use relay::{
    registry::StoreRole,
    server::Standing, //
};

/// Time within which a change must be in force on a reader although a watcher that it asks is cut off, dead or
/// silent: half of the shortest drain time of the large fleets.
const MAX_DELAY: Duration = Duration::from_millis(2_500);
/// Time within which a change must be in force on all instances of a large fleet.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_millis(5_000);
/// Shortest time after which a change has to be in force on the users' platform.
const SHORTEST_CONFIGURATION_LIMIT: Duration = Duration::from_millis(3_000);
/// Time within which an instance without any watcher must have read the store itself.
const MAX_UNSUPPLIED: Duration = Duration::from_millis(9_000);

/// Time within which an instance writes an entry again that the store has lost: others take larger shares of the retry
/// budgets only after its window.
const MAX_REWRITE: Duration = Duration::from_secs(10);

/// Four watchers in two zones, a small reader, and entries of further small instances that don't run.
struct Fleet {
    store: Rc<SharedStore>,
    watchers: Vec<Node>,
    reader: Node,
}

/// Writes a version of a configuration without shards.
fn put_version(store: &SharedStore, version: u64) {
    let shards = Vec::new();
    store.put("config", "main", &Config { version, shards });
}

fn lost_entry() -> InstanceEntry {
    InstanceEntry {
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".to_owned(),
        cores: 0.5,
        leaving: false,
    }
}

/// Writes entries of small instances in these zones that don't run.
fn put_lost_instances_in(store: &SharedStore, zones: &[&str], count: usize) {
    for index in 0..count {
        let entry = InstanceEntry {
            zone: zones[index % zones.len()].to_owned(),
            cores: 0.05,
            ..lost_entry()
        };
        store.put("instances", &format!("other-{index}"), &entry);
    }
}

/// Writes entries of large instances that don't run.
fn put_lost_instances(store: &SharedStore, count: usize) {
    for index in 0..count {
        store.put("instances", &format!("lost-{index}"), &lost_entry());
    }
}

impl Fleet {
    async fn start() -> Self {
        Self::start_in_zones(&["a", "b"], 4).await
    }

    /// Starts a fleet whose watchers are spread over the zones; the reader is in the first one.
    async fn start_in_zones(zones: &[&str], watchers: usize) -> Self {
        let store = Rc::new(SharedStore::default());
        put_version(&store, 1);
        let server = ServerEntry {
            service: "one".to_owned(),
            address: "127.0.0.1:9".parse().expect("an address"),
        };
        store.put("servers", "s1", &server);
        put_lost_instances_in(&store, zones, 12);
        let start_watcher = |index: usize| {
            let zone = zones[index % zones.len()];
            Node::start(&store, &format!("watcher-{index}"), zone, 0.5)
        };
        let watchers: Vec<Node> = (0..watchers).map(start_watcher).collect();
        // The reader's first list of instances holds the watchers.
        sleep(Duration::from_millis(100)).await;
        let reader = Node::start(&store, "reader", "a", 0.1);
        reader.time_until_version(1, Duration::from_secs(3)).await;
        assert_eq!(reader.version(), 1);
        let registry = reader.instance.relay.registry();
        assert_eq!(registry.store_role(), StoreRole::Reader);
        Self {
            store,
            watchers,
            reader,
        }
    }

    fn change(&self, version: u64) {
        put_version(&self.store, version);
    }
}

#[test]
fn reader_learns_of_changes_without_calls_to_the_store() {
    run(async {
        let fleet = Fleet::start().await;
        let mut delays = Vec::new();
        for version in 2..6 {
            fleet.change(version);
            delays.push(fleet.reader.time_until_version(version, MAX_DELAY).await);
        }
        let limit = Duration::from_millis(500);
        assert!(delays.iter().all(|delay| *delay < limit), "{delays:?}");
        let servers = fleet.reader.instance.relay.registry().servers();
        assert_eq!(servers.len(), 1);
        // It has written its entry.
        assert!(
            fleet.reader.link.calls.get() <= 2,
            "{}",
            fleet.reader.link.calls.get()
        );
        assert!(fleet.store.value("instances", "reader").is_some());
    });
}

/// One watcher of each zone, those that the reader asks first among them, no longer hears anything of the store and
/// doesn't know it yet.
#[test]
fn change_is_in_force_although_half_of_the_watchers_are_cut_off_silently() {
    run(async {
        let fleet = Fleet::start().await;
        for half in [[0, 1], [2, 3]] {
            half.iter()
                .for_each(|index| fleet.watchers[*index].link.is_silent.set(true));
            let version = fleet.reader.version() + 1;
            fleet.change(version);
            let delay = fleet.reader.time_until_version(version, MAX_DELAY).await;
            assert!(delay < MAX_DELAY, "{delay:?}");
            for index in half {
                let watcher = &fleet.watchers[index];
                watcher.link.is_silent.set(false);
                // Its lost watch ends by a timeout. Before that, the other half would be the only one to supply the reader.
                watcher.time_until_version(version, MAX_UNSUPPLIED).await;
            }
        }
    });
}

/// The store turns away both watchers of the reader's zone and one of each other zone. Changes follow each other until these
/// watchers know that what they hold is too old.
#[test]
fn changes_are_in_force_although_two_thirds_of_the_watchers_are_cut_off() {
    run(async {
        let fleet = Fleet::start_in_zones(&["a", "b", "c"], 6).await;
        // The reader lists the instances again after a pause.
        sleep(Duration::from_millis(4_000)).await;
        for index in [0, 3, 1, 5] {
            fleet.watchers[index].link.is_silent.set(true);
        }
        sleep(Duration::from_millis(500)).await;
        for version in 2..5 {
            fleet.change(version);
            let delay = fleet
                .reader
                .time_until_version(version, MAX_CONFIGURATION_DELAY)
                .await;
            assert!(delay < MAX_CONFIGURATION_DELAY, "{version}: {delay:?}");
        }
    });
}

#[test]
fn change_is_in_force_although_half_of_the_watchers_are_shut_down() {
    run(async {
        let fleet = Fleet::start().await;
        for index in [0, 1] {
            fleet.watchers[index]
                .instance
                .relay
                .start_drain(Instant::now() + common::TEST_TIMEOUT);
            fleet.watchers[index].instance.stop.set();
        }
        fleet.change(2);
        let delay = fleet.reader.time_until_version(2, MAX_DELAY).await;
        assert!(delay < MAX_DELAY, "{delay:?}");
    });
}

#[test]
fn reader_without_any_watcher_reads_the_store() {
    run(async {
        let fleet = Fleet::start().await;
        for watcher in &fleet.watchers {
            watcher
                .instance
                .relay
                .start_drain(Instant::now() + common::TEST_TIMEOUT);
            watcher.instance.stop.set();
        }
        // Polls that they hold are still answered.
        sleep(MAX_DELAY).await;
        fleet.change(2);
        let delay = fleet.reader.time_until_version(2, MAX_UNSUPPLIED).await;
        assert!(delay < MAX_UNSUPPLIED, "{delay:?}");
        assert!(fleet.reader.instance.relay.meter().unsupplied.get() > 0);
    });
}

/// The entries of lost instances stay in the store, among them those of all watchers. Two changes follow each other, so that the
/// second one comes when the store has just been read.
#[test]
fn changes_are_in_force_in_time_although_all_watchers_are_lost_for_good() {
    run(async {
        let store = Rc::new(SharedStore::default());
        put_version(&store, 1);
        put_lost_instances(&store, 13);
        let readers: Vec<Node> = (0..6)
            .map(|index| Node::start(&store, &format!("reader-{index}"), "a", 0.1))
            .collect();
        for reader in &readers {
            reader.time_until_version(1, MAX_UNSUPPLIED).await;
            let registry = reader.instance.relay.registry();
            assert_eq!(registry.store_role(), StoreRole::Reader);
        }
        for version in [2, 4] {
            sleep(Duration::from_millis(1_000)).await;
            put_version(&store, version);
            sleep(Duration::from_millis(330)).await;
            put_version(&store, version + 1);
            let changed_at = Instant::now();
            for reader in &readers {
                reader.time_until_version(version + 1, MAX_UNSUPPLIED).await;
            }
            let delay = changed_at.elapsed();
            assert!(delay < SHORTEST_CONFIGURATION_LIMIT, "{version}: {delay:?}");
        }
    });
}

/// The store is away from readers that have no watchers, perhaps hundreds of them.
#[test]
fn store_that_is_away_is_asked_rarely_without_watchers() {
    const OUTAGE: Duration = Duration::from_secs(8);
    run(async {
        let fleet = Fleet::start().await;
        fleet.change(2);
        fleet.reader.time_until_version(2, MAX_DELAY).await;
        for watcher in &fleet.watchers {
            watcher.instance.stop.set();
        }
        let reader = &fleet.reader;
        reader.link.is_down.set(true);
        // Polls that they hold are still answered.
        sleep(MAX_DELAY).await;
        let before = reader.link.calls.get();
        sleep(OUTAGE).await;
        let calls = reader.link.calls.get() - before;
        // Four kinds, each after 2 s at the earliest.
        assert!(calls <= 16, "{calls} calls");
        reader.link.is_down.set(false);
        fleet.change(3);
        let delay = reader.time_until_version(3, MAX_UNSUPPLIED).await;
        assert!(delay < MAX_UNSUPPLIED, "{delay:?}");
    });
}

/// The connections to all watchers are refused from one moment on; later one of them is back.
#[test]
fn reader_that_loses_all_watchers_reads_the_store_until_one_is_back() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.change(2);
        fleet.reader.time_until_version(2, MAX_DELAY).await;
        put_lost_instances(&fleet.store, 1);
        for (index, watcher) in fleet.watchers.iter().enumerate() {
            watcher.instance.stop.set();
            // Its entry names an address at which nobody listens.
            fleet
                .store
                .put("instances", &format!("watcher-{index}"), &lost_entry());
        }
        for version in 3..6 {
            fleet.change(version);
            let delay = fleet
                .reader
                .time_until_version(version, MAX_UNSUPPLIED)
                .await;
            assert!(delay < SHORTEST_CONFIGURATION_LIMIT, "{version}: {delay:?}");
        }
        let back = Node::start(&fleet.store, "watcher-0", "a", 0.5);
        back.time_until_version(5, MAX_UNSUPPLIED).await;
        // The reader lists the instances again after a pause, and finds the watcher at its next reads of the store.
        sleep(Duration::from_millis(4_000)).await;
        let mut calls = Vec::new();
        for version in 6..10 {
            fleet.change(version);
            let delay = fleet.reader.time_until_version(version, MAX_DELAY).await;
            assert!(delay < MAX_DELAY, "{version}: {delay:?}");
            sleep(Duration::from_millis(300)).await;
            calls.push(fleet.reader.link.calls.get());
        }
        assert!(calls[3] <= calls[1] + 1, "{calls:?}");
    });
}

/// The store keeps a change from all watches, reports a revision that includes it, and then drops its history. The
/// watchers list again, at the revision that readers are at already.
#[test]
fn change_that_watches_did_not_report_reaches_readers_after_the_history_is_gone() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.change(2);
        fleet.reader.time_until_version(2, MAX_DELAY).await;
        sleep(Duration::from_millis(1_500)).await;
        for watcher in &fleet.watchers {
            watcher.link.is_deaf.set(true);
        }
        fleet.change(3);
        // Longer than a poll of a reader.
        sleep(Duration::from_millis(2_000)).await;
        for watcher in &fleet.watchers {
            let kinds = ["config", "servers", "instances"].map(str::to_owned);
            *watcher.link.forgotten.borrow_mut() = kinds.into();
            watcher.link.is_deaf.set(false);
        }
        fleet.store.wake_watches();
        let delay = fleet.reader.time_until_version(3, MAX_UNSUPPLIED).await;
        assert!(delay < MAX_UNSUPPLIED, "{delay:?}");
    });
}

/// The restored copy has an older configuration and neither the reader's entry nor a new server.
#[test]
fn restored_store_takes_nothing_back_and_entries_are_written_again() {
    run(async {
        let fleet = Fleet::start().await;
        let copied = {
            let store = SharedStore::default();
            put_version(&store, 1);
            store.copy()
        };
        let new = ServerEntry {
            service: "one".to_owned(),
            address: "127.0.0.1:10".parse().expect("an address"),
        };
        fleet.store.put("servers", "s2", &new);
        fleet.change(7);
        fleet.reader.time_until_version(7, MAX_DELAY).await;
        copied(&fleet.store);
        let restored_at = Instant::now();
        let is_written = || fleet.store.value("instances", "reader").is_some();
        while !is_written() && restored_at.elapsed() < MAX_REWRITE {
            sleep(Duration::from_millis(50)).await;
        }
        assert!(is_written(), "the entry is written again");
        assert_eq!(fleet.reader.version(), 7);
        // Servers that the copy lacks are kept until they can have registered again; this one does.
        fleet.store.put("servers", "s2", &new);
        fleet.change(8);
        let delay = fleet.reader.time_until_version(8, MAX_DELAY).await;
        assert!(delay < MAX_DELAY, "{delay:?}");
        sleep(MAX_DELAY).await;
        let registry = fleet.reader.instance.relay.registry();
        registry.sweep(Instant::now());
        let ids: Vec<String> = registry
            .servers()
            .iter()
            .map(|server| server.id().to_string())
            .collect();
        assert!(ids.contains(&"s2".to_owned()), "{ids:?}");
    });
}

/// Four watchers, each in a zone of its own and behind a link, a reader in each zone, and the server `s1`.
struct LinkedFleet {
    store: Rc<SharedStore>,
    watchers: Vec<(Node, Rc<cut::Link>)>,
    readers: Vec<Node>,
}

impl LinkedFleet {
    const ZONES: [&'static str; 4] = ["a", "b", "c", "d"];

    async fn start() -> Self {
        let store = Rc::new(SharedStore::default());
        put_version(&store, 1);
        put_lost_instances_in(&store, &Self::ZONES, 12);
        let watcher = |index: usize| {
            let name = format!("watcher-{index}");
            Node::start_linked(&store, &name, Self::ZONES[index], 0.5)
        };
        let watchers: Vec<_> = (0..4).map(watcher).collect();
        sleep(Duration::from_millis(100)).await;
        let reader = |index: usize| {
            let name = format!("reader-{index}");
            Node::start(&store, &name, Self::ZONES[index], 0.1)
        };
        let readers: Vec<_> = (0..4).map(reader).collect();
        // The readers list the instances again after a pause.
        sleep(Duration::from_millis(4_000)).await;
        let server = ServerEntry {
            service: "one".to_owned(),
            address: "127.0.0.1:9".parse().expect("an address"),
        };
        store.put("servers", "s1", &server);
        sleep(Duration::from_millis(1_000)).await;
        for reader in &readers {
            assert_eq!(reader.version(), 1);
            let registry = reader.instance.relay.registry();
            assert_eq!(registry.store_role(), StoreRole::Reader);
        }
        Self {
            store,
            watchers,
            readers,
        }
    }

    fn set(&self, condition: Condition, indexes: &[usize]) {
        for index in indexes {
            self.watchers[*index].1.set(condition);
        }
    }

    /// Changes the configuration and withdraws the server; all readers must act on both in time.
    async fn change(&self) {
        let version = self.readers[0].version() + 1;
        put_version(&self.store, version);
        self.store.put("servers", "s1", &"gone");
        let changed_at = Instant::now();
        let uses_server = |reader: &Node| {
            let servers = reader.instance.relay.registry().servers();
            servers
                .iter()
                .any(|server| server.standing() == Standing::Ready)
        };
        let is_applied = |reader: &Node| reader.version() >= version && !uses_server(reader);
        while !self.readers.iter().all(is_applied) && changed_at.elapsed() < MAX_UNSUPPLIED {
            sleep(Duration::from_millis(10)).await;
        }
        let delay = changed_at.elapsed();
        assert!(delay < SHORTEST_CONFIGURATION_LIMIT, "{delay:?}");
    }
}

/// Guards against changes that are held back by each of several suspended watchers in turn: the reader asked one after the other.
#[test]
fn changes_are_in_force_in_time_although_three_of_four_watchers_are_suspended() {
    run(async {
        let fleet = LinkedFleet::start().await;
        fleet.set(Condition::Suspended, &[0, 1, 2]);
        fleet.change().await;
        // They are suspended on, and don't hold the next change back again.
        fleet.change().await;
    });
}

/// Guards against changes that are held back by watchers of different faults in turn: one is cut off from the store and doesn't
/// know it yet, and two don't reply.
#[test]
fn changes_are_in_force_in_time_although_watchers_are_cut_off_and_silent() {
    run(async {
        let fleet = LinkedFleet::start().await;
        fleet.watchers[3].0.link.is_silent.set(true);
        fleet.set(Condition::Silent, &[0]);
        fleet.set(Condition::Suspended, &[1]);
        fleet.change().await;
    });
}

/// Guards against a watcher that is left out for good after it was silent, so that its readers read the store instead.
#[test]
fn watcher_that_replies_again_supplies_readers() {
    run(async {
        let fleet = LinkedFleet::start().await;
        fleet.set(Condition::Suspended, &[0, 1, 2]);
        fleet.change().await;
        // Each is asked again beside the one that is left.
        fleet.set(Condition::Open, &[0]);
        sleep(Duration::from_millis(5_000)).await;
        fleet.set(Condition::Suspended, &[3]);
        fleet.change().await;
        let calls = |reader: &Node| reader.link.calls.get();
        let before: Vec<usize> = fleet.readers.iter().map(calls).collect();
        fleet.change().await;
        let after: Vec<usize> = fleet.readers.iter().map(calls).collect();
        assert_eq!(before, after);
    });
}

//! Entries of instances that are gone for good.

mod common;

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use common::{
    node::Node,
    run,
    store::{
        Config,
        InstanceEntry,
        Objects,
        SharedStore, //
    },
};
use monoio::time::sleep;
use relay::{
    absence,
    source::Source, //
};

const SETTINGS: absence::Settings = absence::Settings {
    interval: Duration::from_millis(100),
    min_absence: Duration::from_millis(1_500),
};
/// Rounds of the probes after which an entry must be marked.
const MAX_MARKED: Duration = Duration::from_millis(6_000);

/// Starts instances, each of which looks for others that are gone.
fn start(store: &Rc<SharedStore>, names: &[&str]) -> Vec<Node> {
    let shards = Vec::new();
    store.put("config", "main", &Config { version: 1, shards });
    let start = |name: &&str| {
        let node = Node::start(store, name, "a", 0.25);
        let source = Source::new(node.link.clone(), node.instance.relay.clone());
        monoio::spawn(absence::watch::<Objects>(source, SETTINGS));
        node
    };
    names.iter().map(start).collect()
}

fn put_lost(store: &SharedStore, name: &str) {
    let entry = InstanceEntry {
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "a".to_owned(),
        cores: 0.25,
        leaving: false,
    };
    store.put("instances", name, &entry);
}

fn is_leaving(store: &SharedStore, name: &str) -> bool {
    let value = store.value("instances", name).unwrap_or_default();
    value.contains("\"leaving\":true")
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < MAX_MARKED, "{what}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against instances that are gone and keep their share of connections and budgets for ever.
#[test]
fn entries_of_instances_that_are_gone_no_longer_count() {
    run(async {
        let store = Rc::new(SharedStore::default());
        for name in ["b-lost", "c-lost", "y-lost"] {
            put_lost(&store, name);
        }
        let nodes = start(&store, &["a", "d", "z"]);
        let instances = |node: &Node| node.instance.relay.registry().instances();
        wait_for("all are listed", || {
            nodes.iter().all(|node| instances(node) == 6)
        })
        .await;
        wait_for("three are left", || {
            nodes.iter().all(|node| instances(node) == 3)
        })
        .await;
        for name in ["b-lost", "c-lost", "y-lost"] {
            assert!(is_leaving(&store, name), "{name}");
        }
        for name in ["a", "d", "z"] {
            assert!(!is_leaving(&store, name), "{name}");
        }
    });
}

/// The instance that probes reaches no other one, so that its own links may be lost.
#[test]
fn instance_that_reaches_no_other_marks_none() {
    run(async {
        let store = Rc::new(SharedStore::default());
        for name in ["b-lost", "c-lost"] {
            put_lost(&store, name);
        }
        let nodes = start(&store, &["a"]);
        let instances = || nodes[0].instance.relay.registry().instances();
        wait_for("all are listed", || instances() == 3).await;
        sleep(SETTINGS.min_absence * 2).await;
        assert_eq!(instances(), 3);
    });
}

/// An instance starts again under the name of one that is gone.
#[test]
fn instance_that_is_back_writes_its_entry_again() {
    run(async {
        let store = Rc::new(SharedStore::default());
        put_lost(&store, "b");
        let nodes = start(&store, &["a", "c"]);
        wait_for("the entry is marked", || is_leaving(&store, "b")).await;
        let back = start(&store, &["b"]);
        wait_for("the entry is written", || !is_leaving(&store, "b")).await;
        let instances = |node: &Node| node.instance.relay.registry().instances();
        wait_for("all count", || {
            nodes.iter().chain(&back).all(|node| instances(node) == 3)
        })
        .await;
    });
}

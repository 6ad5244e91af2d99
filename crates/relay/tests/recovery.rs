//! How soon an instance reads the store again after calls have failed.

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
        ServerEntry,
        SharedStore, //
    },
};
use monoio::time::sleep;

/// Time within which a server that leaves must be known to leave: a third of the shortest drain time, 3 s, in which it must no
/// longer get requests.
const MAX_DELAY: Duration = Duration::from_millis(1_000);

async fn start() -> (Rc<SharedStore>, Node) {
    let store = Rc::new(SharedStore::default());
    let shards = Vec::new();
    store.put("config", "main", &Config { version: 1, shards });
    let node = Node::start(&store, "one", "a", 1.0);
    node.time_until_version(1, MAX_DELAY).await;
    // The watches of all kinds are under way.
    sleep(Duration::from_millis(300)).await;
    (store, node)
}

/// Breaks the connection of the watch of a kind.
fn break_watch(store: &SharedStore, node: &Node, kind: &str) {
    node.link.broken.borrow_mut().insert(kind.to_owned());
    store.wake_watches();
}

/// Adds a server and returns the time until it is known.
async fn time_until_known(store: &SharedStore, node: &Node, id: &str) -> Duration {
    let entry = ServerEntry {
        service: "one".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
    };
    store.put("servers", id, &entry);
    let changed_at = Instant::now();
    let is_known = || {
        let servers = node.instance.relay.registry().servers();
        servers.iter().any(|server| **server.id() == *id)
    };
    while !is_known() && changed_at.elapsed() < MAX_DELAY * 5 {
        sleep(Duration::from_millis(10)).await;
    }
    changed_at.elapsed()
}

/// Guards against a servers' list that isn't read for seconds after one failed call, though the store answers.
#[test]
fn servers_are_read_again_soon_after_one_failed_call() {
    run(async {
        let (store, node) = start().await;
        break_watch(&store, &node, "servers");
        let delay = time_until_known(&store, &node, "s1").await;
        assert!(delay < MAX_DELAY, "{delay:?}");
    });
}

/// The connections were broken at the same time, and this is found out one after the other: the routes are read again before the
/// watch of the servers fails.
#[test]
fn servers_are_read_again_soon_although_the_notice_of_the_recovery_came_before() {
    run(async {
        let (store, node) = start().await;
        break_watch(&store, &node, "config");
        sleep(Duration::from_millis(600)).await;
        break_watch(&store, &node, "servers");
        sleep(Duration::from_millis(20)).await;
        let delay = time_until_known(&store, &node, "s1").await;
        assert!(delay < MAX_DELAY, "{delay:?}");
    });
}

/// Watches are broken again as soon as they have been sent again.
#[test]
fn servers_are_read_again_soon_after_calls_that_failed_in_a_row() {
    run(async {
        let (store, node) = start().await;
        for _ in 0..3 {
            for kind in ["config", "servers", "instances"] {
                break_watch(&store, &node, kind);
            }
            sleep(Duration::from_millis(150)).await;
        }
        let delay = time_until_known(&store, &node, "s1").await;
        assert!(delay < MAX_DELAY, "{delay:?}");
    });
}

/// One task of the process probes a store that is away, whichever finds out first.
#[test]
fn store_that_is_away_is_probed_by_one_task() {
    const OUTAGE: Duration = Duration::from_secs(6);
    run(async {
        let (store, node) = start().await;
        node.link.is_down.set(true);
        for kind in ["servers", "config", "instances"] {
            break_watch(&store, &node, kind);
        }
        let before = node.link.calls.get();
        sleep(OUTAGE).await;
        let calls = node.link.calls.get() - before;
        // Every 0.5 s by one task, every 3 s by the three others, and the first ones after a shorter backoff.
        assert!((8..=26).contains(&calls), "{calls} calls");
        node.link.is_down.set(false);
        let delay = time_until_known(&store, &node, "s1").await;
        assert!(delay < MAX_DELAY, "{delay:?}");
    });
}

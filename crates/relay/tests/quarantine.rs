//! Requests that crash the servers that run them.

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
    post,
    run,
    serve,
    store::{
        Config,
        ServerEntry,
        SharedStore, //
    },
    Behavior,
    FakeServer, //
};
use monoio::time::sleep;

/// Servers that a request may crash: three, and three further times until every instance knows.
const MAX_CRASHED: usize = 6;
/// Pause between two arrivals of the request, in which instances learn of a crash.
const PAUSE: Duration = Duration::from_millis(300);

/// A service whose servers crash when they run a request on a path that ends with `deadly`.
struct Fleet {
    store: Rc<SharedStore>,
    nodes: Vec<Node>,
    servers: Vec<Rc<FakeServer>>,
}

/// Starts a server that crashes while it runs a deadly request.
fn start_server(index: usize) -> Rc<FakeServer> {
    FakeServer::start_by_request(&format!("s{index:02}"), |_, request| {
        match request.start.contains("deadly") {
            true => Behavior::Crash(Duration::from_millis(20)),
            false => serve("ok"),
        }
    })
}

impl Fleet {
    async fn start(instances: usize, servers: usize) -> Self {
        let store = Rc::new(SharedStore::default());
        store.put("config", "main", &Config { version: 1 });
        let servers: Vec<_> = (0..servers).map(start_server).collect();
        for server in &servers {
            let entry = ServerEntry {
                address: server.address,
            };
            store.put("servers", &server.id, &entry);
        }
        let start = |index: usize| Node::start(&store, &format!("instance-{index}"), "a", 1.0);
        let fleet = Self {
            nodes: (0..instances).map(start).collect(),
            store,
            servers,
        };
        let is_ready = |node: &Node| node.instance.relay.is_ready();
        let started_at = Instant::now();
        while !fleet.nodes.iter().all(is_ready) && started_at.elapsed() < Duration::from_secs(5) {
            sleep(Duration::from_millis(20)).await;
        }
        fleet
    }

    /// Removes the entries of servers that have crashed.
    fn remove_crashed(&self) {
        for server in self.servers.iter().filter(|one| one.crashed.is_set()) {
            self.store.put("servers", &server.id, &"gone");
        }
    }

    fn crashed(&self) -> usize {
        let crashed = self.servers.iter().filter(|one| one.crashed.is_set());
        crashed.count()
    }
}

/// The same request comes again and again with another id, each time at the next instance, and its route doesn't allow
/// a second run.
#[test]
fn request_under_which_servers_crashed_is_no_longer_sent() {
    run(async {
        let fleet = Fleet::start(3, 16).await;
        for number in 0..12 {
            let request = post("/write/deadly", "x").replace("q1", &format!("q{number}"));
            let node = &fleet.nodes[number % fleet.nodes.len()];
            node.instance.ask(&request).await;
            fleet.remove_crashed();
            sleep(PAUSE).await;
        }
        assert!(fleet.crashed() <= MAX_CRASHED, "{}", fleet.crashed());
        let harmless = post("/write/harmless", "x");
        for node in &fleet.nodes {
            assert_eq!(node.instance.ask(&harmless).await.status(), 200);
        }
    });
}

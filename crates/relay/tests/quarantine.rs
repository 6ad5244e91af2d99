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
    get,
    instance_with,
    node::Node,
    post,
    query_route,
    read_and_write_routes,
    run,
    serve,
    store::{
        CaseEntry,
        Config,
        ServerEntry,
        SharedStore, //
    },
    Behavior,
    FakeServer,
    RawConnection, //
};
use monoio::time::sleep;
use relay::server::Description;

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
    FakeServer::start_by_request(&format!("s{index:02}"), |_, request| match () {
        () if request.start.contains("deadly-later") => Behavior::Crash(Duration::from_millis(150)),
        () if request.start.contains("deadly") => Behavior::Crash(Duration::from_millis(20)),
        () if request.start.contains("slow") => {
            Behavior::Serve(Duration::from_millis(150), b"ok".to_vec())
        }
        () => serve("ok"),
    })
}

impl Fleet {
    async fn start(instances: usize, servers: usize) -> Self {
        Self::start_with_cores(&vec![1.0; instances], servers).await
    }

    async fn start_with_cores(cores: &[f64], servers: usize) -> Self {
        let servers = (0..servers).map(|index| ("one".to_owned(), start_server(index)));
        Self::start_over(cores, Vec::new(), servers.collect()).await
    }

    /// Starts instances over two replicas of each of `count` shards.
    async fn start_over_shards(instances: usize, count: usize) -> Self {
        let shards = shards(count);
        let mut names: Vec<String> = shards.iter().map(|(name, _)| name.clone()).collect();
        names.dedup();
        Self::start_over(&vec![1.0; instances], names, shards).await
    }

    async fn start_over(
        cores: &[f64],
        shards: Vec<String>,
        servers: Vec<(String, Rc<FakeServer>)>,
    ) -> Self {
        let store = Rc::new(SharedStore::default());
        store.put("config", "main", &Config { version: 1, shards });
        for (service, server) in &servers {
            let entry = ServerEntry {
                service: service.clone(),
                address: server.address,
            };
            store.put("servers", &server.id, &entry);
        }
        let servers = servers.into_iter().map(|(_, server)| server).collect();
        let start = |(index, cores): (usize, &f64)| {
            Node::start(&store, &format!("instance-{index}"), "a", *cores)
        };
        let fleet = Self {
            nodes: cores.iter().enumerate().map(start).collect(),
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

/// Sends a deadly request `times` times, each time with another id and to the next instance.
async fn send_deadly(fleet: &Fleet, times: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..times {
        let request = post("/write/deadly", "x").replace("q1", &format!("q{number}"));
        let node = &fleet.nodes[number % fleet.nodes.len()];
        statuses.push(node.instance.ask(&request).await.status());
        fleet.remove_crashed();
        sleep(PAUSE).await;
    }
    statuses
}

/// The same request comes again and again with another id, each time at the next instance, and its route doesn't allow
/// a second run.
#[test]
fn request_under_which_servers_crashed_is_no_longer_sent() {
    run(async {
        let fleet = Fleet::start(3, 16).await;
        let statuses = send_deadly(&fleet, 12).await;
        assert!(fleet.crashed() <= MAX_CRASHED, "{}", fleet.crashed());
        assert_eq!(statuses.last(), Some(&503), "{statuses:?}");
        let harmless = post("/write/harmless", "x");
        for node in &fleet.nodes {
            assert_eq!(node.instance.ask(&harmless).await.status(), 200);
        }
    });
}

/// Small instances pass requests on to three large ones.
#[test]
fn request_that_small_instances_pass_on_is_no_longer_sent() {
    run(async {
        let cores = [0.5, 0.1, 0.1, 0.5, 0.1, 0.5];
        let fleet = Fleet::start_with_cores(&cores, 16).await;
        sleep(Duration::from_millis(500)).await;
        let statuses = send_deadly(&fleet, 12).await;
        assert!(fleet.crashed() <= MAX_CRASHED, "{}", fleet.crashed());
        assert_eq!(statuses[6..], [503; 6], "{statuses:?}");
        let small = &fleet.nodes[1].instance;
        assert_eq!(small.get("/read/a").await.status(), 200);
        assert!(small.relay.meter().delegated.get() > 0);
    });
}

#[test]
fn instance_that_starts_later_knows_the_request() {
    run(async {
        let mut fleet = Fleet::start(2, 12).await;
        send_deadly(&fleet, 6).await;
        let crashed = fleet.crashed();
        let node = Node::start(&fleet.store, "later", "a", 1.0);
        sleep(PAUSE * 3).await;
        fleet.nodes = vec![node];
        assert_eq!(send_deadly(&fleet, 2).await, [503, 503]);
        assert_eq!(fleet.crashed(), crashed);
    });
}

/// The operator has found the cause, and the servers no longer crash.
#[test]
fn operator_lifts_the_quarantine() {
    run(async {
        let fleet = Fleet::start(2, 12).await;
        send_deadly(&fleet, 6).await;
        let crashed = fleet.crashed();
        assert_eq!(send_deadly(&fleet, 2).await, [503, 503]);
        let no_cases: [CaseEntry; 0] = [];
        fleet.store.put("quarantine", "main", &no_cases);
        sleep(PAUSE).await;
        assert_eq!(send_deadly(&fleet, 1).await, [502]);
        assert_eq!(fleet.crashed(), crashed + 1);
    });
}

/// The copy was made before the first crash. An instance that has reported nothing is the one that gets the request.
#[test]
fn reports_are_written_again_after_the_store_was_restored() {
    run(async {
        let mut fleet = Fleet::start(4, 12).await;
        let restore = fleet.store.copy();
        let last = fleet.nodes.pop().expect("an instance");
        send_deadly(&fleet, 6).await;
        let crashed = fleet.crashed();
        restore(&fleet.store);
        fleet.remove_crashed();
        sleep(Duration::from_secs(1)).await;
        fleet.nodes = vec![last];
        assert_eq!(send_deadly(&fleet, 1).await, [503]);
        assert_eq!(fleet.crashed(), crashed);
    });
}

/// The store is silent to all instances, so that each knows its own crashes only.
#[test]
fn instance_without_the_store_refuses_what_crashed_servers_here() {
    run(async {
        let fleet = Fleet::start(1, 12).await;
        let node = &fleet.nodes[0];
        node.link.is_silent.set(true);
        fleet.store.wake_watches();
        for number in 0..8 {
            let request = post("/write/deadly", "x").replace("q1", &format!("q{number}"));
            node.instance.ask(&request).await;
        }
        assert!(fleet.crashed() <= MAX_CRASHED, "{}", fleet.crashed());
        let refused = node.instance.ask(&post("/write/deadly", "x")).await;
        assert_eq!(refused.status(), 503);
        let wait = refused.header("retry-after").unwrap_or_default();
        assert!(wait.parse::<f64>().is_ok_and(|wait| wait > 500.0), "{wait}");
    });
}

/// The caller leaves before the server has crashed, each time.
#[test]
fn crash_after_the_caller_has_left_counts() {
    run(async {
        let fleet = Fleet::start(1, 12).await;
        let node = &fleet.nodes[0];
        for number in 0..8 {
            let request = post("/write/deadly", "x").replace("q1", &format!("q{number}"));
            let mut connection = RawConnection::open(node.instance.address).await;
            connection.write(request).await;
            sleep(Duration::from_millis(8)).await;
            drop(connection);
            sleep(Duration::from_millis(120)).await;
            fleet.remove_crashed();
        }
        let crashed = fleet.crashed();
        assert!((1..=MAX_CRASHED).contains(&crashed), "{crashed}");
        let refused = node.instance.ask(&post("/write/deadly", "x")).await;
        assert_eq!(refused.status(), 503);
        assert_eq!(fleet.crashed(), crashed);
    });
}

/// The caller leaves after the server has crashed, while a reply to the hedge is waited for.
#[test]
fn crash_of_a_hedged_request_counts_after_its_caller_has_left() {
    run(async {
        let crashing = FakeServer::start("s1", |_| Behavior::Crash(Duration::from_millis(250)));
        let silent = FakeServer::start("s2", |_| Behavior::Silent);
        let servers = [("one", &crashing), ("one", &silent)];
        let instance = instance_with(read_and_write_routes(), &servers);
        let mut connection = RawConnection::open(instance.address).await;
        connection.write(get("/read/a")).await;
        while !crashing.crashed.is_set() {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(50)).await;
        drop(connection);
        assert_eq!((crashing.arrivals(), silent.arrivals()), (1, 1));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(instance.relay.meter().crashes.get(), 1);
    });
}

/// Servers crash by themselves, each time while they run the same request, which is served in between.
#[test]
fn request_that_crashes_have_hit_by_chance_goes_on_being_sent() {
    run(async {
        let fleet = Fleet::start(1, 8).await;
        let node = &fleet.nodes[0];
        let request = post("/write/slow", "x");
        for _ in 0..5 {
            let hit = node.instance.ask(&request);
            let crash = async {
                sleep(Duration::from_millis(50)).await;
                for server in fleet.servers.iter().filter(|server| server.is_busy.get()) {
                    server.crashed.set();
                }
            };
            let (hit, ()) = futures_util::join!(hit, crash);
            assert_eq!(hit.status(), 502);
            fleet.remove_crashed();
            assert_eq!(node.instance.ask(&request).await.status(), 200);
        }
        assert_eq!(node.instance.relay.meter().crashes.get(), 5);
    });
}

/// Guards against a popular request that is refused although it harms nothing: all servers of its service crash at the same moment,
/// each under the requests of several callers at both instances.
#[test]
fn popular_request_is_served_after_its_servers_have_crashed_together() {
    run(async {
        let servers = (0..4).map(|index| ("one".to_owned(), start_server(index)));
        // Without another server that can be reached, the links might be lost.
        let servers = servers.chain([("two".to_owned(), start_server(4))]);
        let fleet = Fleet::start_over(&[1.0; 2], Vec::new(), servers.collect()).await;
        let crashing = &fleet.servers[..4];
        let request = |number: usize| get("/read/slow").replace("q1", &format!("q{number}"));
        let requests: Vec<String> = (0..16).map(request).collect();
        let asked = requests.iter().enumerate().map(|(number, request)| {
            let node = &fleet.nodes[number % fleet.nodes.len()];
            node.instance.ask(request)
        });
        let crash = async {
            sleep(Duration::from_millis(60)).await;
            let busy = crashing.iter().filter(|server| server.is_busy.get());
            let busy = busy.count();
            crashing.iter().for_each(|server| server.crashed.set());
            busy
        };
        let (_, busy) = futures_util::join!(futures_util::future::join_all(asked), crash);
        assert!(busy >= 3, "{busy} servers ran the request");
        fleet.remove_crashed();
        let back = start_server(10);
        let entry = ServerEntry {
            service: "one".to_owned(),
            address: back.address,
        };
        fleet.store.put("servers", &back.id, &entry);
        sleep(Duration::from_secs(1)).await;
        for node in &fleet.nodes {
            assert_eq!(node.instance.ask(&request(99)).await.status(), 200);
            assert_eq!(node.instance.relay.meter().quarantined.get(), 0);
        }
    });
}

/// Guards against a crash that is taken for a second one: the request was sent on a connection whose server was already gone.
#[test]
fn request_with_a_known_crash_is_sent_on_a_new_connection() {
    run(async {
        let fleet = Fleet::start(1, 3).await;
        let node = &fleet.nodes[0];
        node.instance.ask(&post("/write/deadly", "x")).await;
        fleet.remove_crashed();
        let left = fleet.servers.iter().filter(|one| !one.crashed.is_set());
        let left: Vec<_> = left.collect();
        for _ in 0..8 {
            assert_eq!(node.instance.get("/read/a").await.status(), 200);
        }
        let accepted = |server: &&Rc<FakeServer>| server.accepted.get();
        let before: Vec<usize> = left.iter().map(accepted).collect();
        assert!(before.iter().all(|accepted| *accepted > 0), "{before:?}");
        node.instance.ask(&post("/write/deadly", "x")).await;
        let after: Vec<usize> = left.iter().map(accepted).collect();
        let opened = after.iter().sum::<usize>() - before.iter().sum::<usize>();
        // One for the request, and one to the other server, which shows that the links aren't lost.
        assert_eq!((opened, fleet.crashed()), (2, 2));
    });
}

/// A connection that ends is no crash: the server accepts the next one.
#[test]
fn request_whose_connections_are_reset_goes_on_being_sent() {
    run(async {
        let server = FakeServer::start("s1", |number| match number % 2 {
            0 => Behavior::Close,
            _ => serve("ok"),
        });
        let instance = instance_with(read_and_write_routes(), &[("one", &server)]);
        let mut served = 0;
        for _ in 0..12 {
            let answer = instance.ask(&post("/write/a", "x")).await;
            served += usize::from(answer.status() == 200);
        }
        assert_eq!((server.arrivals(), served), (12, 6));
        assert_eq!(instance.relay.meter().crashes.get(), 0);
    });
}

/// Starts two replicas of each of `count` shards.
fn shards(count: usize) -> Vec<(String, Rc<FakeServer>)> {
    let replica = |index: usize| (format!("shard{}", index / 2), start_server(index));
    (0..count * 2).map(replica).collect()
}

fn instance(shards: &[(String, Rc<FakeServer>)], min_share: f64) -> common::Instance {
    let mut names: Vec<&str> = shards.iter().map(|(name, _)| name.as_str()).collect();
    names.dedup();
    let servers: Vec<_> = shards.iter().map(|(name, fake)| (&**name, fake)).collect();
    instance_with(vec![query_route(&names, 5, min_share)], &servers)
}

/// A query crashes a server of each shard. Its retries must not take the other replicas, too.
#[test]
fn query_that_crashes_servers_leaves_a_replica_of_most_shards() {
    run(async {
        let shards = shards(20);
        let instance = instance(&shards, 0.8);
        assert_eq!(instance.get("/all/deadly").await.status(), 502);
        let crashed = shards.iter().filter(|(_, fake)| fake.crashed.is_set());
        let crashed = crashed.count();
        assert!(crashed <= 20 + 2, "{crashed}");
        assert_eq!(instance.get("/all/a").await.status(), 200);
    });
}

/// A query that crashes servers comes again with other ids, each time at the next instance. No replica is back meanwhile.
async fn shards_lost_to_a_query(path: &str) -> usize {
    let fleet = Fleet::start_over_shards(3, 20).await;
    for node in &fleet.nodes {
        assert_eq!(node.instance.get("/all/harmless").await.status(), 200);
    }
    for number in 0..6 {
        let node = &fleet.nodes[number % fleet.nodes.len()].instance;
        let request = get(path).replace("q1", &format!("q{number}"));
        let answer = node.ask(&request).await;
        assert!(answer.status() >= 500);
        // The caller returns when it is told to, if that is soon.
        let wait = answer.header("retry-after");
        let wait = wait.map_or(0.0, |wait| wait.parse().expect("seconds"));
        sleep(Duration::from_secs_f64(wait).min(PAUSE)).await;
    }
    for node in &fleet.nodes {
        assert_eq!(node.instance.get("/all/harmless").await.status(), 200);
    }
    let pairs = fleet.servers.chunks(2);
    let is_lost = |pair: &&[Rc<FakeServer>]| pair.iter().all(|one| one.crashed.is_set());
    pairs.filter(is_lost).count()
}

/// The crashes of its first arrival are known, and each shard has one replica left.
#[test]
fn query_that_crashes_servers_at_once_takes_the_last_replica_of_one_shard_at_most() {
    run(async {
        assert!(shards_lost_to_a_query("/all/deadly").await <= 1);
    });
}

/// The servers crash so late that the query would be hedged before.
#[test]
fn query_that_crashes_servers_later_takes_the_last_replica_of_one_shard_at_most() {
    run(async {
        assert!(shards_lost_to_a_query("/all/deadly-later").await <= 1);
    });
}

/// The deadly query comes again, although it has crashed servers of all shards before. The servers have restarted.
#[test]
fn query_with_known_crashes_is_tried_at_one_shard_first() {
    run(async {
        let first = shards(20);
        let instance = instance(&first, 0.8);
        instance.get("/all/deadly").await;
        let restarted = shards(20);
        let descriptions = restarted.iter().enumerate().map(|(index, (name, fake))| {
            let id = format!("restarted{index:02}").into();
            Description {
                id,
                ..fake.description(name)
            }
        });
        let registry = instance.relay.registry();
        registry.replace(descriptions.collect(), Instant::now());
        assert!([502, 503].contains(&instance.get("/all/deadly").await.status()));
        let crashed = restarted.iter().filter(|(_, fake)| fake.crashed.is_set());
        assert!(crashed.count() <= 2);
        let answer = instance.get("/all/a").await;
        assert_eq!(
            (answer.status(), answer.header("missing")),
            (200, Some("0"))
        );
    });
}

/// A rack is lost with a server of several shards while a query runs on them. The query isn't to blame.
#[test]
fn query_that_ran_while_a_rack_was_lost_is_served_when_it_comes_again() {
    run(async {
        let shards: Vec<(String, Rc<FakeServer>)> = (0..12)
            .map(|index| {
                let start = |id: &str| {
                    FakeServer::start(id, |_| {
                        Behavior::Serve(Duration::from_millis(60), b"ok".to_vec())
                    })
                };
                (
                    format!("shard{}", index / 2),
                    start(&format!("s{index:02}")),
                )
            })
            .collect();
        let instance = instance(&shards, 0.5);
        let query = instance.get("/all/a");
        let loss = async {
            sleep(Duration::from_millis(30)).await;
            for (_, fake) in shards.iter().filter(|(_, fake)| fake.arrivals() > 0) {
                fake.crashed.set();
            }
        };
        futures_util::join!(query, loss);
        for _ in 0..4 {
            assert_eq!(instance.get("/all/a").await.status(), 200);
        }
        assert_eq!(instance.relay.meter().quarantined.get(), 0);
    });
}

#[test]
fn deadly_request_is_known_whatever_its_id_and_deadline() {
    run(async {
        let fleet = Fleet::start(1, 8).await;
        let node = &fleet.nodes[0];
        let request = |id: &str, deadline: &str| {
            let request = post("/write/deadly", "x").replace("q1", id);
            request.replace("2000", deadline)
        };
        for number in 0..4 {
            let deadline = (1_000 + number * 100).to_string();
            node.instance
                .ask(&request(&format!("q{number}"), &deadline))
                .await;
        }
        let other = [
            post("/write/harmless", "x"),
            post("/write/deadly?b", "x").replace("deadly", "harmless"),
            get("/read/a"),
        ];
        assert_eq!(node.instance.ask(&request("q9", "900")).await.status(), 503);
        for other in &other {
            assert_eq!(node.instance.ask(other).await.status(), 200);
        }
    });
}

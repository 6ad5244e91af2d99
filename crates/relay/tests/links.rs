//! Instances that lose their links to all backend servers, while callers, peers and the store still reach them.

mod common;

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use common::{
    cut::{
        Condition,
        Links, //
    },
    get,
    instance,
    post,
    query_route,
    read_and_write_routes,
    run,
    table,
    Behavior,
    FakeServer,
    Instance,
    Message, //
};
use futures_util::future::{
    join,
    join_all, //
};
use monoio::time::sleep;

const SHARDS: [&str; 4] = ["a", "b", "c", "d"];
/// Time after a cut from which callers are served as before; the users state four seconds.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);

const RECORD: &[u8] = b"0123456789abcdef";
/// Latency of requests on a path that contains `slow`.
const SLOW_LATENCY: Duration = Duration::from_millis(200);

/// Time within which a request that can't be served is refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Three instances of equal size over two servers of a service and of each of four shards.
struct Fleet {
    servers: Vec<(Arc<str>, Rc<FakeServer>)>,
    instances: Vec<(Instance, Links)>,
}

impl Fleet {
    fn start() -> Self {
        let mut servers = Vec::new();
        for service in ["one"].iter().chain(&SHARDS) {
            for number in 0..2 {
                let name = format!("{service}{number}");
                let fake = FakeServer::start_by_request(&name, |_, request| match () {
                    () if request.start.contains("slow") => {
                        Behavior::Serve(SLOW_LATENCY, RECORD.to_vec())
                    }
                    () => Behavior::Serve(Duration::ZERO, RECORD.to_vec()),
                });
                servers.push((Arc::from(*service), fake));
            }
        }
        let names = ["i1", "i2", "i3"];
        let instances: Vec<(Instance, Links)> = names
            .map(|name| (instance(name, 1.0), Links::new(&servers)))
            .into();
        let members: Vec<_> = names
            .iter()
            .zip(&instances)
            .map(|(name, (instance, _))| instance.member(name, 1.0))
            .collect();
        for (instance, links) in &instances {
            let registry = instance.relay.registry();
            registry.replace(links.descriptions(), Instant::now());
            registry.set_members(members.clone());
            let mut routes = read_and_write_routes();
            routes.push(query_route(&SHARDS, 5, 1.0));
            instance.relay.set_table(Arc::new(table(1, routes)));
            monoio::spawn(relay::links::run(instance.relay.clone()));
            monoio::spawn(relay::maintenance::run(instance.relay.clone()));
        }
        Self { servers, instances }
    }

    /// Changes the condition of all links of the first `count` instances.
    fn cut(&self, count: usize, condition: Condition) {
        let cut = self.instances.iter().take(count);
        cut.for_each(|(_, links)| links.set(condition));
    }

    /// Sends `count` rounds of a read, a write and a query to the first instance, up to the first that isn't served;
    /// returns how many were.
    async fn served(&self, count: usize) -> usize {
        let instance = &self.instances[0].0;
        let mut served = 0;
        for _ in 0..count {
            for request in [get("/read/x"), post("/write/x", "x"), get("/all/x")] {
                let answer = instance.ask(&request).await;
                if answer.status() != 200 {
                    return served;
                }
                served += 1;
            }
            sleep(Duration::from_millis(10)).await;
        }
        served
    }

    /// Returns the number of writes that reached a server.
    fn writes(&self) -> usize {
        let is_write = |request: &&Message| request.start.starts_with("POST");
        let writes = |(_, fake): &(Arc<str>, Rc<FakeServer>)| {
            fake.requests.borrow().iter().filter(is_write).count()
        };
        self.servers.iter().map(writes).sum()
    }
}

/// The links of the first `cut` of three instances change their condition, and are restored later.
async fn callers_are_served_while_links_are(condition: Condition, cut: usize) {
    let fleet = Fleet::start();
    assert_eq!(fleet.served(3).await, 9);
    fleet.cut(cut, condition);
    // Callers that ask meanwhile let the instance notice.
    let noticed_by = Instant::now() + DETECTION_TIME;
    while Instant::now() < noticed_by {
        fleet.served(1).await;
    }
    let before = fleet.writes();
    assert_eq!(fleet.served(20).await, 60);
    assert_eq!(fleet.writes() - before, 20);
    fleet.cut(cut, Condition::Open);
    sleep(DETECTION_TIME).await;
    let delegated = fleet.instances[0].0.relay.meter().delegated.get();
    assert_eq!(fleet.served(5).await, 15);
    assert_eq!(
        fleet.instances[0].0.relay.meter().delegated.get(),
        delegated
    );
}

#[test]
fn instance_without_links_serves_its_callers_through_peers() {
    run(callers_are_served_while_links_are(Condition::Silent, 1));
}

#[test]
fn instance_whose_links_are_reset_serves_its_callers_through_peers() {
    run(callers_are_served_while_links_are(Condition::Closed, 1));
}

#[test]
fn most_instances_without_links_serve_their_callers_through_the_last_one() {
    run(callers_are_served_while_links_are(Condition::Silent, 2));
}

#[test]
fn instance_whose_links_refuse_new_connections_uses_open_ones() {
    run(callers_are_served_while_links_are(Condition::Full, 1));
}

#[test]
fn requests_are_refused_at_once_while_no_instance_has_links() {
    run(async {
        let fleet = Fleet::start();
        assert_eq!(fleet.served(3).await, 9);
        fleet.cut(3, Condition::Silent);
        let noticed_by = Instant::now() + 2 * DETECTION_TIME;
        while Instant::now() < noticed_by {
            fleet.served(1).await;
        }
        let writes = fleet.writes();
        for request in [get("/read/x"), post("/write/x", "x"), get("/all/x")] {
            let started_at = Instant::now();
            let answer = fleet.instances[0].0.ask(&request).await;
            assert_eq!(answer.status(), 503);
            assert!(answer.header("retry-after").is_some());
            assert!(started_at.elapsed() < MAX_REFUSAL_TIME);
        }
        fleet.cut(3, Condition::Open);
        sleep(DETECTION_TIME).await;
        assert_eq!(fleet.writes(), writes);
        assert_eq!(fleet.served(5).await, 15);
    });
}

/// A request whose servers are taken for crashed several times is refused by all instances.
#[test]
fn servers_whose_links_are_reset_during_requests_have_not_crashed() {
    run(async {
        let fleet = Fleet::start();
        assert_eq!(fleet.served(3).await, 9);
        let instance = &fleet.instances[0].0;
        for _ in 0..3 {
            let asked = join_all((0..4).map(|_| instance.get("/read/slow")));
            let cut = async {
                sleep(SLOW_LATENCY / 2).await;
                fleet.cut(1, Condition::Closed);
            };
            join(asked, cut).await;
            sleep(Duration::from_millis(500)).await;
            fleet.cut(1, Condition::Open);
            sleep(Duration::from_millis(500)).await;
        }
        assert_eq!(instance.relay.meter().crashes.get(), 0);
    });
}

//! Servers that name how many requests a second they take from all instances together.

mod common;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use common::{
    instance,
    read_and_write_routes,
    run,
    serve,
    table,
    Behavior,
    FakeServer,
    Instance, //
};
use monoio::time::sleep;

/// Serves the request and names a limit.
fn serve_limited(per_s: &str) -> Behavior {
    Behavior::Reply("200 OK", format!("at-most-per-s: {per_s}\r\n"), "limited")
}

/// Starts instances that share the servers of the service `one`.
fn fleet(names: &[&str], servers: &[&FakeServer]) -> Vec<Instance> {
    let instances: Vec<Instance> = names.iter().map(|name| instance(name, 1.0)).collect();
    for instance in &instances {
        let members = names.iter().zip(&instances);
        let members = members.map(|(name, instance)| instance.member(name, 1.0));
        let registry = instance.relay.registry();
        registry.set_members(members.collect());
        let descriptions = servers.iter().map(|server| server.description("one"));
        registry.replace(descriptions.collect(), Instant::now());
        let routes = table(1, read_and_write_routes());
        instance.relay.set_table(Arc::new(routes));
    }
    instances
}

/// Two thirds of the load arrive at one of three instances, as balancers spread callers unevenly.
#[test]
fn server_gets_no_more_than_its_limit_from_all_instances() {
    const LIMIT_PER_S: f64 = 10.0;
    run(async {
        let limited = FakeServer::start("s1", |_| serve_limited("10"));
        let other = FakeServer::start("s2", |_| serve("ok"));
        let fleet = fleet(&["a", "b", "c"], &[&limited, &other]);
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(4) {
            for index in [0, 1, 0, 2, 0, 0] {
                assert_eq!(fleet[index].get("/read/a").await.status(), 200);
                sleep(Duration::from_millis(5)).await;
            }
        }
        let allowed = 1.5 * LIMIT_PER_S * started_at.elapsed().as_secs_f64() + 5.0;
        let arrivals = limited.arrivals();
        assert!(
            arrivals as f64 <= allowed,
            "{arrivals} requests, {allowed:.0} allowed"
        );
    });
}

/// Each caller is refused at once, with the time until there is some.
#[test]
fn callers_beyond_the_limit_of_the_only_server_are_refused_at_once() {
    run(async {
        let limited = FakeServer::start("s1", |_| serve_limited("0.1"));
        let fleet = fleet(&["a", "b", "c", "d", "e", "f", "g", "h"], &[&limited]);
        assert_eq!(fleet[0].get("/read/a").await.status(), 200);
        for _ in 0..5 {
            let asked_at = Instant::now();
            let answer = fleet[0].get("/read/a").await;
            assert_eq!(answer.status(), 503);
            assert!(asked_at.elapsed() < Duration::from_millis(500));
            // The instance may probe every 16 s; a caller is told at most 0.3 of its time.
            let wait = answer.header("retry-after").unwrap_or_default();
            let wait: f64 = wait.parse().unwrap_or_default();
            assert!((0.4..=0.46).contains(&wait), "{wait}");
        }
        assert_eq!(limited.arrivals(), 1);
    });
}

/// A request that can wait for its turn isn't refused.
#[test]
fn request_waits_for_its_turn_under_a_limit() {
    run(async {
        let limited = FakeServer::start("s1", |_| serve_limited("10"));
        let fleet = fleet(&["a"], &[&limited]);
        assert_eq!(fleet[0].get("/read/a").await.status(), 200);
        let started_at = Instant::now();
        for _ in 0..5 {
            assert_eq!(fleet[0].get("/read/a").await.status(), 200);
        }
        // Part of the first token may have been there.
        assert!(started_at.elapsed() >= Duration::from_millis(400));
        assert_eq!(limited.arrivals(), 6);
    });
}

#[test]
fn limit_ends_when_the_server_names_none() {
    run(async {
        let limited = FakeServer::start("s1", |number| match number {
            0 => serve_limited("5"),
            _ => serve("free"),
        });
        let fleet = fleet(&["a"], &[&limited]);
        assert_eq!(fleet[0].get("/read/a").await.status(), 200);
        assert_eq!(fleet[0].get("/read/a").await.text(), "free");
        let started_at = Instant::now();
        for _ in 0..30 {
            assert_eq!(fleet[0].get("/read/a").await.text(), "free");
        }
        // Under the limit, they would take 6 s.
        assert!(started_at.elapsed() < Duration::from_secs(4));
    });
}

#[test]
fn unreadable_limit_is_ignored() {
    for value in ["-1", "soon", "NaN", "inf", ""] {
        run(async move {
            let server = FakeServer::start("s1", move |_| serve_limited(value));
            let fleet = fleet(&["a"], &[&server]);
            for _ in 0..10 {
                assert_eq!(fleet[0].get("/read/a").await.status(), 200, "{value:?}");
            }
        });
    }
}

/// A small instance passes on answers of a large one, and answers itself when the large ones shut down.
#[test]
fn instance_learns_a_limit_from_its_peer() {
    run(async {
        let limited = FakeServer::start("s1", |_| serve_limited("1"));
        let names = ["l1", "l2", "l3"];
        let large: Vec<Instance> = names.map(|name| instance(name, 0.5)).into();
        let small = instance("small", 0.1);
        let members = names.iter().zip(&large);
        let others = (0..7).map(|index| small.member(&format!("small-{index}"), 0.1));
        let members: Vec<_> = members
            .map(|(name, instance)| instance.member(name, 0.5))
            .chain(others)
            .collect();
        for instance in large.iter().chain([&small]) {
            let registry = instance.relay.registry();
            registry.replace(vec![limited.description("one")], Instant::now());
            registry.set_members(members.clone());
            let routes = table(1, read_and_write_routes());
            instance.relay.set_table(Arc::new(routes));
        }
        while small.relay.meter().delegated.get() < 2 {
            small.get("/read/a").await;
            let now = Instant::now();
            large.iter().for_each(|one| one.relay.registry().sweep(now));
        }
        for instance in &large {
            instance
                .relay
                .start_drain(Instant::now() + common::TEST_TIMEOUT);
        }
        let arrivals = limited.arrivals();
        for _ in 0..4 {
            assert_eq!(small.get("/read/a").await.status(), 503);
        }
        assert_eq!(limited.arrivals(), arrivals);
    });
}

/// A few large instances answer the requests of all, on every route, so that they need most of the limit.
#[test]
fn large_instances_share_most_of_a_limit() {
    run(async {
        let limited = FakeServer::start("s1", |_| serve_limited("10"));
        let names = ["l1", "l2", "l3"];
        let large: Vec<Instance> = names.map(|name| instance(name, 0.5)).into();
        let small = instance("small", 0.1);
        let members = names.iter().zip(&large);
        let members = members.map(|(name, instance)| instance.member(name, 0.5));
        let others = (0..20).map(|index| small.member(&format!("small-{index}"), 0.1));
        let members: Vec<_> = members.chain(others).collect();
        for instance in &large {
            let registry = instance.relay.registry();
            registry.set_members(members.clone());
            registry.replace(vec![limited.description("one")], Instant::now());
            let routes = table(1, read_and_write_routes());
            instance.relay.set_table(Arc::new(routes));
            assert_eq!(instance.get("/read/a").await.status(), 200);
        }
        let own_limit = |instance: &Instance| {
            let servers = instance.relay.registry().servers();
            servers[0]
                .state(Instant::now())
                .own_limit_per_s
                .unwrap_or_default()
        };
        let sum: f64 = large.iter().map(own_limit).sum();
        assert!((7.5..=10.0).contains(&sum), "{sum}");
    });
}

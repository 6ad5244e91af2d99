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

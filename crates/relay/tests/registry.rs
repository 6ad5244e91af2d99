//! Changes of the servers in the store.

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
    instance_started_at,
    read_and_write_routes,
    run,
    serve,
    table,
    FakeServer,
    Instance, //
};
use relay::server::Description;

fn description(id: &str) -> Description {
    Description {
        id: id.into(),
        service: "one".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "here".into(),
        slots: 2,
        draining: false,
        warmup: Duration::ZERO,
        started_at_ms: Some(1),
    }
}

fn standings(instance: &Instance, now: Instant) -> Vec<String> {
    let mut servers = instance.relay.registry().servers();
    servers.sort_by(|one, other| one.id().cmp(other.id()));
    let name = |server: &std::rc::Rc<relay::server::Server>| {
        let state = server.state(now);
        format!("{} {}", state.id, state.standing)
    };
    servers.iter().map(name).collect()
}

#[test]
fn draining_or_removed_server_is_a_last_resort_until_it_is_dropped() {
    run(async {
        let instance = instance("a", 1.0);
        let registry = instance.relay.registry();
        let now = Instant::now();
        registry.replace(
            vec![description("s1"), description("s2"), description("s3")],
            now,
        );
        registry.update(
            Description {
                draining: true,
                ..description("s1")
            },
            now,
        );
        registry.remove("s2", now);
        registry.remove("nobody", now);
        let before = standings(&instance, now);
        registry.sweep(now + Duration::from_secs(2));
        let after = standings(&instance, now);
        insta::assert_debug_snapshot!((before, after), @r#"
        (
            [
                "s1 last-resort",
                "s2 last-resort",
                "s3 ready",
            ],
            [
                "s3 ready",
            ],
        )
        "#);
    });
}

/// After an outage of the store that is longer than entries last, its list is nearly empty although the
/// servers are running.
#[test]
fn servers_that_expired_in_an_outage_are_kept_until_they_can_register_again() {
    run(async {
        let instance = instance("a", 1.0);
        let registry = instance.relay.registry();
        let start = Instant::now();
        registry.replace(
            vec![description("s1"), description("s2"), description("s3")],
            start,
        );
        registry.store_unavailable(start);
        let recovered_at = start + Duration::from_secs(9);
        registry.store_available(recovered_at);
        registry.replace(vec![description("s1")], recovered_at);
        assert_eq!(
            standings(&instance, recovered_at),
            ["s1 ready", "s2 kept", "s3 kept"]
        );
        registry.update(description("s2"), recovered_at + Duration::from_secs(1));
        registry.sweep(recovered_at + Duration::from_secs(3));
        assert_eq!(standings(&instance, recovered_at), ["s1 ready", "s2 ready"]);
    });
}

#[test]
fn restart_under_the_same_id_is_a_new_server() {
    run(async {
        let instance = instance("a", 1.0);
        let registry = instance.relay.registry();
        let now = Instant::now();
        registry.replace(vec![description("s1")], now);
        let first = registry.servers()[0].clone();
        registry.update(description("s1"), now);
        assert!(std::rc::Rc::ptr_eq(&first, &registry.servers()[0]));
        registry.update(
            Description {
                started_at_ms: Some(2),
                ..description("s1")
            },
            now,
        );
        let second = registry.servers()[0].clone();
        assert!(!std::rc::Rc::ptr_eq(&first, &second));
        assert_eq!(registry.servers().len(), 1);
    });
}

/// After all instances have lost power, servers still hold the connections from before.
#[test]
fn new_instance_opens_one_connection_per_server() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let connections = |age: u64| {
            let started_at = Instant::now().checked_sub(Duration::from_secs(age));
            let instance =
                instance_started_at("a", 1.0, started_at.expect("an uptime of some seconds"));
            let registry = instance.relay.registry();
            registry.replace(vec![fake.description("one")], Instant::now());
            instance
                .relay
                .set_table(Arc::new(table(1, read_and_write_routes())));
            registry.servers()[0].state(Instant::now()).connections
        };
        assert_eq!((connections(0), connections(9)), (1, 1));
        assert!(connections(11) > 1);
    });
}

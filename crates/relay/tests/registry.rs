//! Servers as the store lists them.

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
    instance_since,
    routes,
    run,
    serve,
    table,
    Fake,
    Instance, //
};
use relay::server::Description;

fn entry(id: &str) -> Description {
    Description {
        id: id.into(),
        service: "one".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "here".into(),
        slots: 2,
        draining: false,
        warmup: Duration::ZERO,
        born: Some(1),
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
fn a_server_that_drains_or_has_gone_is_a_last_resort_and_then_dropped() {
    run(async {
        let instance = instance("a", 1.0);
        let registry = instance.relay.registry();
        let now = Instant::now();
        registry.replace(vec![entry("s1"), entry("s2"), entry("s3")], now);
        registry.update(
            Description {
                draining: true,
                ..entry("s1")
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

/// Load pattern: the store was down for longer than entries last, and is back with hardly any.
#[test]
fn servers_that_lapsed_in_an_outage_are_kept_until_they_can_be_back() {
    run(async {
        let instance = instance("a", 1.0);
        let registry = instance.relay.registry();
        let start = Instant::now();
        registry.replace(vec![entry("s1"), entry("s2"), entry("s3")], start);
        registry.store_lost(start);
        let back = start + Duration::from_secs(9);
        registry.store_reached(back);
        registry.replace(vec![entry("s1")], back);
        assert_eq!(
            standings(&instance, back),
            ["s1 ready", "s2 kept", "s3 kept"]
        );
        registry.update(entry("s2"), back + Duration::from_secs(1));
        registry.sweep(back + Duration::from_secs(3));
        assert_eq!(standings(&instance, back), ["s1 ready", "s2 ready"]);
    });
}

#[test]
fn a_new_start_under_an_old_id_is_another_server() {
    run(async {
        let instance = instance("a", 1.0);
        let registry = instance.relay.registry();
        let now = Instant::now();
        registry.replace(vec![entry("s1")], now);
        let first = registry.servers()[0].clone();
        registry.update(entry("s1"), now);
        assert!(std::rc::Rc::ptr_eq(&first, &registry.servers()[0]));
        registry.update(
            Description {
                born: Some(2),
                ..entry("s1")
            },
            now,
        );
        let second = registry.servers()[0].clone();
        assert!(!std::rc::Rc::ptr_eq(&first, &second));
        assert_eq!(registry.servers().len(), 1);
    });
}

/// Load pattern: all instances have lost power; servers still hold their connections from before.
#[test]
fn a_new_instance_opens_one_connection_a_server_at_first() {
    run(async {
        let fake = Fake::start("s1", |_| serve("ok"));
        let connections = |age: u64| {
            let started = Instant::now().checked_sub(Duration::from_secs(age));
            let instance = instance_since("a", 1.0, started.expect("a clock that runs for long"));
            let registry = instance.relay.registry();
            registry.replace(vec![fake.entry("one")], Instant::now());
            instance.relay.set_table(Arc::new(table(1, routes())));
            registry.servers()[0].state(Instant::now()).connections
        };
        assert_eq!((connections(0), connections(9)), (1, 1));
        assert!(connections(11) > 1);
    });
}

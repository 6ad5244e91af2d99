//! Servers that state in their replies that they are leaving or want a pause, and servers that are gone.

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
    get,
    instance,
    instance_with,
    post,
    read_and_write_routes,
    run,
    serve,
    table,
    Behavior,
    FakeServer,
    Instance, //
};
use monoio::time::sleep;
use relay::server::Description;

/// Serves the request and states that the server is leaving.
fn serve_leaving() -> Behavior {
    Behavior::Reply("200 OK", "going: 1\r\n".to_owned(), "bye")
}

/// Rejects the request and asks for a pause.
fn ask_for_pause(seconds: &str) -> Behavior {
    let fields = format!("not-run: 1\r\nretry-after: {seconds}\r\n");
    Behavior::Reply("503 Service Unavailable", fields, "")
}

/// Starts a leaving server and another one of the same service, and an instance that has had a reply of the
/// leaving one.
async fn pair_with_leaving(first: Behavior) -> (Rc<FakeServer>, Rc<FakeServer>, Instance) {
    let leaving = FakeServer::start("s1", move |_| first.clone());
    let staying = FakeServer::start("s2", |_| serve("ok"));
    let instance = instance_with(read_and_write_routes(), &[("one", &leaving)]);
    instance.get("/read/a").await;
    let both = vec![leaving.description("one"), staying.description("one")];
    instance.relay.registry().replace(both, Instant::now());
    (leaving, staying, instance)
}

#[test]
fn leaving_server_gets_no_work_while_another_is_available() {
    for status in [
        "200 OK",
        "500 Internal Server Error",
        "421 Misdirected Request",
    ] {
        run(async move {
            let first = Behavior::Reply(status, "going: 1\r\n".to_owned(), "bye");
            let (leaving, staying, instance) = pair_with_leaving(first).await;
            for _ in 0..8 {
                assert_eq!(instance.get("/read/a").await.text(), "ok", "{status}");
            }
            assert_eq!((leaving.arrivals(), staying.arrivals()), (1, 8), "{status}");
        });
    }
}

/// The store lists the server as ready all the while: the instance is cut off from it, or the store was
/// restored from an older copy.
#[test]
fn leaving_server_gets_nothing_after_its_drain_time_although_it_is_listed() {
    run(async {
        let leaving = FakeServer::start("s1", |_| serve_leaving());
        let instance = instance_with(read_and_write_routes(), &[("one", &leaving)]);
        assert_eq!(instance.get("/read/a").await.status(), 200);
        // As the only server, it is a last resort for half of its drain time of 3 s.
        assert_eq!(instance.get("/read/a").await.status(), 200);
        sleep(Duration::from_millis(1_600)).await;
        let registry = instance.relay.registry();
        registry.replace(vec![leaving.description("one")], Instant::now());
        assert_eq!(instance.get("/read/a").await.status(), 503);
        // The registry drops it, and the store lists it again.
        registry.remove("s1", Instant::now());
        registry.sweep(Instant::now() + Duration::from_secs(2));
        registry.update(leaving.description("one"), Instant::now());
        assert_eq!(instance.get("/read/a").await.status(), 503);
        assert_eq!(leaving.arrivals(), 2);
        // The same id, started again, is another server process.
        let restarted = Description {
            started_at_ms: Some(2),
            ..leaving.description("one")
        };
        registry.update(restarted, Instant::now());
        assert_eq!(instance.get("/read/a").await.status(), 200);
    });
}

/// Heartbeats overtake each other, or a restored store lists an earlier state.
#[test]
fn draining_server_does_not_become_ready_again() {
    run(async {
        let server = FakeServer::start("s1", |_| serve("ok"));
        let other = FakeServer::start("s2", |_| serve("other"));
        let servers = [("one", &server), ("one", &other)];
        let instance = instance_with(read_and_write_routes(), &servers);
        let draining = Description {
            draining: true,
            ..server.description("one")
        };
        let registry = instance.relay.registry();
        registry.update(draining, Instant::now());
        registry.update(server.description("one"), Instant::now());
        for _ in 0..4 {
            assert_eq!(instance.get("/read/a").await.text(), "other");
        }
        assert_eq!(server.arrivals(), 0);
    });
}

/// A server that leaves without a word has its entry removed, and the store is then restored from a copy in
/// which it is still listed.
#[test]
fn removed_server_stays_out_after_the_store_was_restored_until_it_writes_again() {
    run(async {
        let gone = FakeServer::start("s1", |_| serve("gone"));
        let other = FakeServer::start("s2", |_| serve("other"));
        let servers = [("one", &gone), ("one", &other)];
        let instance = instance_with(read_and_write_routes(), &servers);
        let registry = instance.relay.registry();
        let listed = || vec![gone.description("one"), other.description("one")];
        registry.remove("s1", Instant::now());
        registry.store_restored(Instant::now());
        registry.replace(listed(), Instant::now());
        for _ in 0..4 {
            assert_eq!(instance.get("/read/a").await.text(), "other");
        }
        assert_eq!(gone.arrivals(), 0);
        // A change of its entry after the listing is its own.
        registry.update(gone.description("one"), Instant::now());
        let draining = Description {
            draining: true,
            ..other.description("one")
        };
        registry.update(draining, Instant::now());
        assert_eq!(instance.get("/read/a").await.text(), "gone");
    });
}

/// A small instance passes on an answer that a large one got from a leaving server, and answers the next
/// request itself.
#[test]
fn instance_learns_from_its_peer_that_a_server_is_leaving() {
    run(async {
        let leaving = FakeServer::start("s1", |_| serve_leaving());
        let staying = FakeServer::start("s2", |_| serve("ok"));
        let names = ["l1", "l2", "l3"];
        let large: Vec<Instance> = names.map(|name| instance(name, 0.5)).into();
        let small = instance("small", 0.1);
        let members = names.iter().zip(&large);
        let members: Vec<_> = members
            .map(|(name, instance)| instance.member(name, 0.5))
            .collect();
        for instance in large.iter().chain([&small]) {
            let registry = instance.relay.registry();
            registry.replace(vec![leaving.description("one")], Instant::now());
            registry.set_members(members.clone());
            instance
                .relay
                .set_table(Arc::new(table(1, read_and_write_routes())));
        }
        assert_eq!(small.get("/read/a").await.text(), "bye");
        assert_eq!(small.relay.meter().delegated.get(), 1);
        for instance in &large {
            instance
                .relay
                .start_drain(Instant::now() + common::TEST_TIMEOUT);
        }
        let both = vec![leaving.description("one"), staying.description("one")];
        small.relay.registry().replace(both, Instant::now());
        for _ in 0..4 {
            assert_eq!(small.get("/read/a").await.text(), "ok");
        }
        assert_eq!(leaving.arrivals(), 1);
    });
}

#[test]
fn server_that_asks_for_a_pause_gets_nothing_within_it() {
    run(async {
        let pausing = FakeServer::start("s1", |number| match number {
            0 => ask_for_pause("1.5"),
            _ => serve("back"),
        });
        let other = FakeServer::start("s2", |_| Behavior::Shed);
        let instance = instance_with(read_and_write_routes(), &[("one", &pausing)]);
        let refused = instance.get("/read/a").await;
        assert_eq!(refused.status(), 503);
        let both = vec![pausing.description("one"), other.description("one")];
        instance.relay.registry().replace(both, Instant::now());
        // The other server rejects the requests; a retry doesn't go to the one that wants a pause.
        for _ in 0..2 {
            assert_eq!(instance.get("/read/a").await.status(), 503);
        }
        assert_eq!(other.arrivals(), 2);
        assert_eq!(pausing.arrivals(), 1);
        sleep(Duration::from_millis(1_600)).await;
        instance.relay.registry().remove("s2", Instant::now());
        assert_eq!(instance.get("/read/a").await.text(), "back");
    });
}

/// Load while all servers of a service ask for a pause: each caller is refused at once, with the time until the
/// first server is back, and no further request reaches the servers.
#[test]
fn callers_are_refused_until_the_first_pausing_server_is_back() {
    run(async {
        let fakes = ["0.9", "30"].map(|seconds| {
            FakeServer::start(&format!("s{seconds}"), move |_| ask_for_pause(seconds))
        });
        let servers = [("one", &fakes[0]), ("one", &fakes[1])];
        let instance = instance_with(read_and_write_routes(), &servers);
        let waits = [post("/write/a", "x"), get("/read/a"), get("/read/a")];
        let mut stated = Vec::new();
        for request in waits {
            let asked_at = Instant::now();
            let answer = instance.ask(&request).await;
            assert_eq!(answer.status(), 503);
            assert!(asked_at.elapsed() < Duration::from_millis(200));
            let wait = answer.header("retry-after").unwrap_or_default();
            stated.push(wait.parse::<f64>().unwrap_or_default());
        }
        assert_eq!(fakes.each_ref().map(|fake| fake.arrivals()), [1, 1]);
        // A caller waits at most 0.3 of the 1.5 s that its route gives it.
        assert!(
            stated.iter().all(|wait| (0.4..=0.46).contains(wait)),
            "{stated:?}"
        );
    });
}

/// Pauses that no server means: they neither last for ever nor eject the server.
#[test]
fn unreadable_pause_is_ignored() {
    for seconds in ["-1", "soon", "NaN", "inf", ""] {
        run(async move {
            let fake = FakeServer::start("s1", move |number| match number {
                0 => ask_for_pause(seconds),
                _ => serve("ok"),
            });
            let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
            assert_eq!(instance.get("/read/a").await.status(), 503);
            assert_eq!(instance.get("/read/a").await.status(), 200, "{seconds:?}");
        });
    }
}

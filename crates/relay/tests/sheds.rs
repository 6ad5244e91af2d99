//! Servers that shed a part of what they get while other replicas are slow.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use common::{
    get,
    instance_with,
    instance_with_one_connection,
    post,
    query_route,
    read_and_write_routes,
    run,
    serve,
    Behavior,
    FakeServer,
    RawConnection, //
};

/// Returns whether the `number`th request is among three of four; the first one isn't.
fn is_shed(number: usize) -> bool {
    !number.is_multiple_of(4)
}

fn shedding(id: &str) -> std::rc::Rc<FakeServer> {
    FakeServer::start(id, |number| match is_shed(number) {
        true => Behavior::Shed,
        false => serve("ok"),
    })
}

/// Half of the replicas of a service shed most requests, and the other ones pause.
#[test]
fn shed_hedge_is_sent_again_while_the_other_replica_is_paused() {
    run(async {
        let paused = FakeServer::start("s1", |_| {
            Behavior::Serve(Duration::from_millis(800), b"ok".to_vec())
        });
        let shedding = shedding("s2");
        let instance = instance_with(read_and_write_routes(), &[("one", &shedding)]);
        assert_eq!(instance.get("/read/a").await.status(), 200);
        let both = vec![paused.description("one"), shedding.description("one")];
        instance.relay.registry().replace(both, Instant::now());
        let started_at = Instant::now();
        let answer = instance.get("/read/a").await;
        assert_eq!(answer.status(), 200);
        assert!(
            started_at.elapsed() < Duration::from_millis(300),
            "{:?}",
            started_at.elapsed()
        );
    });
}

#[test]
fn server_that_sheds_most_requests_serves_the_others() {
    run(async {
        let shedding = shedding("s1");
        let instance = instance_with(read_and_write_routes(), &[("one", &shedding)]);
        let mut connection = RawConnection::open(instance.address).await;
        for _ in 0..10 {
            connection.write(get("/read/a")).await;
            let answer = connection.read().await.expect("an answer");
            assert_eq!(answer.status(), 200);
        }
        assert_eq!(shedding.arrivals(), 37);
    });
}

/// Each shed request takes a retry out of the budget.
#[test]
fn shedding_server_gets_few_requests_while_another_is_free() {
    run(async {
        // Latencies of fractions of a millisecond would vary by more than the rank of a server that sheds.
        let sound = FakeServer::start("s1", |_| {
            Behavior::Serve(Duration::from_millis(10), b"ok".to_vec())
        });
        let shedding = FakeServer::start("s2", |_| Behavior::Shed);
        let servers = [("one", &sound), ("one", &shedding)];
        let instance = instance_with(read_and_write_routes(), &servers);
        let mut connection = RawConnection::open(instance.address).await;
        for _ in 0..100 {
            connection.write(get("/read/a")).await;
            let answer = connection.read().await.expect("an answer");
            assert_eq!(answer.status(), 200);
        }
        assert!(shedding.arrivals() < 10, "{}", shedding.arrivals());
    });
}

/// Guards against a late second copy of a rejection that is taken for the reply to the repeated request.
#[test]
fn late_copy_of_a_rejection_does_not_end_the_repeated_request() {
    run(async {
        let fake = FakeServer::start("s1", |number| match number {
            0 => serve("warm"),
            1 => Behavior::Shed,
            _ => Behavior::ServeAfterCopy(Duration::from_millis(30), b"ok".to_vec()),
        });
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        assert_eq!(instance.get("/read/a").await.status(), 200);
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!((answer.status(), answer.text().as_str()), (200, "ok"));
        let arrivals = fake.arrivals();
        assert_eq!(arrivals, 3, "ran {} times", arrivals - 2);
    });
}

/// Guards against a connection that stays one reply behind: each of its requests would get the reply to the one before.
#[test]
fn connection_is_not_used_again_after_the_reply_to_another_request() {
    run(async {
        let fake = FakeServer::start("s1", |number| match number {
            0 => Behavior::Shed,
            _ => Behavior::ServeAfterCopy(Duration::from_millis(30), b"ok".to_vec()),
        });
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let post = |id: &str| post("/write/a", "x").replace("q1", id);
        assert_eq!(instance.ask(&post("q1")).await.status(), 503);
        assert_eq!(instance.ask(&post("q2")).await.status(), 502);
        let answer = instance.ask(&post("q3")).await;
        assert_eq!((answer.status(), answer.text().as_str()), (200, "ok"));
    });
}

/// The server accepts one connection, which has carried the request already.
#[test]
fn repeated_request_replaces_the_connection_at_the_limit() {
    run(async {
        let fake = FakeServer::start("s1", |number| match number {
            1 => Behavior::Shed,
            _ => serve("ok"),
        });
        let instance = instance_with_one_connection(read_and_write_routes, &fake);
        assert_eq!(instance.get("/read/a").await.status(), 200);
        assert_eq!(instance.ask(&post("/write/a", "x")).await.status(), 200);
        assert_eq!((fake.accepted.get(), fake.connections.get()), (2, 1));
    });
}

/// New connections take slots of servers that are overloaded.
#[test]
fn repeated_request_that_may_run_twice_opens_no_connection() {
    run(async {
        let fake = FakeServer::start("s1", |number| match number {
            1 | 2 => Behavior::Shed,
            _ => serve("ok"),
        });
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        for _ in 0..2 {
            assert_eq!(instance.get("/read/a").await.status(), 200);
        }
        assert_eq!((fake.arrivals(), fake.accepted.get()), (4, 1));
    });
}

/// A server has served a request a moment ago and sheds everything from then on.
#[test]
fn repeats_of_one_call_are_limited() {
    run(async {
        let overloaded = FakeServer::start("s1", |number| match number {
            0 => serve("ok"),
            _ => Behavior::Shed,
        });
        let instance = instance_with(read_and_write_routes(), &[("one", &overloaded)]);
        assert_eq!(instance.get("/read/a").await.status(), 200);
        assert_eq!(instance.get("/read/a").await.status(), 503);
        assert_eq!(overloaded.arrivals(), 1 + 5);
    });
}

/// The query is given up while other servers run it, so that it can't be refused as not run.
#[test]
fn query_that_some_servers_shed_and_others_run_fails() {
    run(async {
        let shedding = FakeServer::start("s1", |_| Behavior::Shed);
        let running = FakeServer::start("s2", |_| Behavior::Silent);
        let servers = [("shard0", &shedding), ("shard1", &running)];
        let route = query_route(&["shard0", "shard1"], 5, 1.0);
        let instance = instance_with(vec![route], &servers);
        let answer = instance.get("/all/x").await;
        assert_eq!(answer.status(), 502);
    });
}

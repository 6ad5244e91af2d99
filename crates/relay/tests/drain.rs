//! Tests for requests that are in flight or arrive while an instance shuts down.

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
    Message,
    RawConnection, //
};
use monoio::time::sleep;

/// Returns the answer with the time from `since` to its arrival.
async fn answer(caller: &mut RawConnection, since: Instant) -> (Message, Duration) {
    let answer = caller.read().await.expect("an answer");
    (answer, since.elapsed())
}

/// Guards against a planned stop that cuts requests which wait for a server, or for the reply of one.
#[test]
fn requests_that_wait_or_run_are_answered_before_the_shutdown_ends() {
    run(async {
        let fake = FakeServer::start("s1", |_| Behavior::Silent);
        let instance = instance_with_one_connection(read_and_write_routes, &fake);
        let mut running = RawConnection::open(instance.address).await;
        running.write(post("/write/a", "x")).await;
        while fake.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        let mut waiting = RawConnection::open(instance.address).await;
        waiting.write(post("/write/a", "y")).await;
        sleep(Duration::from_millis(20)).await;
        let now = Instant::now();
        instance.relay.start_drain(now + Duration::from_millis(250));
        let (refusal, after) = answer(&mut waiting, now).await;
        assert_eq!(refusal.status(), 503);
        assert!(refusal.header("retry-after").is_some(), "{refusal:?}");
        assert!(after < Duration::from_millis(200), "{after:?}");
        let (late, after) = answer(&mut running, now).await;
        assert_eq!(late.status(), 504);
        assert!(after >= Duration::from_millis(250), "{after:?}");
        assert_eq!(fake.arrivals(), 1);
    });
}

/// Guards against requests that are sent to a server shortly before the instance ends, and are cut with it.
#[test]
fn request_late_in_a_shutdown_is_refused_and_not_sent() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let mut routes = read_and_write_routes();
        routes.push(query_route(&["one"], 5, 1.0));
        let instance = instance_with(routes, &[("one", &fake)]);
        let ends_at = Instant::now() + Duration::from_millis(100);
        instance.relay.start_drain(ends_at);
        for request in [get("/read/a"), post("/write/a", "x"), get("/all/a")] {
            let refusal = instance.ask(&request).await;
            assert_eq!(refusal.status(), 503);
            let retry_after: f64 = refusal
                .header("retry-after")
                .unwrap_or("9")
                .parse()
                .expect("seconds");
            // Another instance takes it at once.
            assert!(retry_after < 0.1, "{retry_after}");
            assert_eq!(refusal.header("connection"), Some("close"));
        }
        assert_eq!(fake.arrivals(), 0);
    });
}

#[test]
fn query_ends_with_the_shutdown_and_keeps_the_parts_that_it_has() {
    run(async {
        let sound = FakeServer::start("s1", |_| serve("0123456789abcdef"));
        let silent = FakeServer::start("s2", |_| Behavior::Silent);
        let routes = vec![query_route(&["one", "two"], 5, 0.5)];
        let instance = instance_with(routes, &[("one", &sound), ("two", &silent)]);
        let mut caller = RawConnection::open(instance.address).await;
        caller.write(get("/all/a")).await;
        while silent.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        let now = Instant::now();
        instance.relay.start_drain(now + Duration::from_millis(60));
        let (partial, after) = answer(&mut caller, now).await;
        assert_eq!(partial.status(), 200);
        assert_eq!(partial.header("missing"), Some("1"));
        assert!(after < Duration::from_millis(200), "{after:?}");
    });
}

/// A body that takes longer than the shutdown.
#[test]
fn request_that_is_incomplete_when_the_shutdown_ends_is_answered_and_not_sent() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let mut caller = RawConnection::open(instance.address).await;
        let request = post("/write/a", "xy");
        caller.write(&request.as_bytes()[..request.len() - 1]).await;
        sleep(Duration::from_millis(20)).await;
        let now = Instant::now();
        instance.relay.start_drain(now + Duration::from_millis(60));
        let (late, _) = answer(&mut caller, now).await;
        assert_eq!(late.status(), 504);
        assert_eq!(fake.arrivals(), 0);
    });
}

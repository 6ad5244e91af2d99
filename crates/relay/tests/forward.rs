//! Requests to one server of one service: forwarding, retries and connection reuse.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use common::{
    get,
    instance_with,
    post,
    read_and_write_routes,
    run,
    serve,
    Behavior,
    FakeServer,
    RawConnection, //
};
use monoio::time::sleep;

#[test]
fn request_and_reply_are_passed_on_unchanged() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("the body"));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let answer = instance
            .ask("POST /write/a%20b?c=d&e HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: 900\r\nconnection: x-hop, keep-alive\r\nx-hop: 1\r\nx-kept: 2\r\ncontent-length: 5\r\n\r\nhello")
            .await;
        let received = fake.requests.borrow()[0].clone();
        assert_eq!(received.start, "POST /write/a%20b?c=d&e HTTP/1.1");
        assert_eq!(received.text(), "hello");
        assert_eq!(received.header("id"), Some("q1"));
        assert_eq!(received.header("meant-for"), Some("s1"));
        assert_eq!(received.header("x-kept"), Some("2"));
        assert_eq!(
            (received.header("x-hop"), received.header("connection")),
            (None, None)
        );
        let left: u64 = received
            .header("wait-ms")
            .unwrap_or_default()
            .parse()
            .unwrap_or_default();
        assert!((1..=900).contains(&left), "{left}");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.text(), "the body");
        assert_eq!(answer.header("signed"), Some("s1-0"));
    });
}

/// Guards against a reply that ends within its head or body, and is passed on as complete with an empty or short body.
#[test]
fn reply_that_is_cut_at_any_byte_is_not_passed_on() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nid: q1\r\nsigned: s\r\n";
    let by_length = format!("{HEAD}content-length: 12\r\n\r\nthe 12 bytes");
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n5\r\nchunk\r\n0\r\n\r\n");
    let unframed = format!("{HEAD}\r\n");
    run(async move {
        for reply in [by_length, chunked, unframed] {
            let reply = reply.into_bytes();
            for length in 0..reply.len() {
                let bytes = reply[..length].to_vec();
                let fake = FakeServer::start("s1", move |_| Behavior::Cut(bytes.clone()));
                let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
                let answer = instance.ask(&post("/write/a", "x")).await;
                let shown = String::from_utf8_lossy(&reply[..length]).into_owned();
                assert_eq!(answer.status(), 502, "{shown}");
                assert_eq!(answer.header("signed"), None, "{shown}");
            }
        }
    });
}

#[test]
fn chunked_body_is_passed_on_completely() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let chunked = "POST /write/a HTTP/1.1\r\nhost: host\r\nid: q1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert_eq!(instance.ask(chunked).await.status(), 200);
        assert_eq!(fake.requests.borrow()[0].text(), "abcde");
    });
}

/// Sends `request` to a service of two servers, of which the one that is tried first has the given behavior.
///
/// Returns the answer's status and text, and the number of requests that arrived at both.
async fn ask_pair_with_first(behavior: Behavior, request: String) -> (u16, String, usize) {
    let arrivals_at_both = std::rc::Rc::new(std::cell::Cell::new(0));
    let behaviors = |arrivals_at_both: &std::rc::Rc<std::cell::Cell<usize>>| {
        let (arrivals_at_both, behavior) = (arrivals_at_both.clone(), behavior.clone());
        move |_| {
            arrivals_at_both.set(arrivals_at_both.get() + 1);
            match arrivals_at_both.get() {
                1 => behavior.clone(),
                _ => serve("second"),
            }
        }
    };
    let fakes = [
        FakeServer::start("s1", behaviors(&arrivals_at_both)),
        FakeServer::start("s2", behaviors(&arrivals_at_both)),
    ];
    let instance = instance_with(
        read_and_write_routes(),
        &[("one", &fakes[0]), ("one", &fakes[1])],
    );
    let answer = instance.ask(&request).await;
    (answer.status(), answer.text(), arrivals_at_both.get())
}

#[test]
fn idempotent_request_is_retried_after_any_failure() {
    for behavior in [
        Behavior::Shed,
        Behavior::Misplaced,
        Behavior::Close,
        Behavior::Noise,
        Behavior::Truncate,
        Behavior::Foreign,
        Behavior::Unsigned,
        Behavior::Fail,
    ] {
        run(async move {
            let label = format!("{behavior:?}");
            let result = ask_pair_with_first(behavior, get("/read/a")).await;
            assert_eq!(result, (200, "second".to_owned(), 2), "{label}");
        });
    }
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_was_not_run() {
    for behavior in [Behavior::Shed, Behavior::Misplaced] {
        run(async move {
            let label = format!("{behavior:?}");
            let result = ask_pair_with_first(behavior, post("/write/a", "x")).await;
            assert_eq!(result, (200, "second".to_owned(), 2), "{label}");
        });
    }
    for behavior in [
        Behavior::Close,
        Behavior::Noise,
        Behavior::Truncate,
        Behavior::Foreign,
        Behavior::Unsigned,
    ] {
        run(async move {
            let label = format!("{behavior:?}");
            let (status, _, arrivals) = ask_pair_with_first(behavior, post("/write/a", "x")).await;
            assert_eq!((status, arrivals), (502, 1), "{label}");
        });
    }
}

#[test]
fn error_reply_is_passed_on_with_its_signature() {
    run(async {
        let fake = FakeServer::start("s1", |_| Behavior::Fail);
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!((answer.status(), answer.text().as_str()), (500, "failed"));
        assert_eq!(answer.header("signed"), Some("s1-0"));
    });
}

/// Guards against a server's failure after a run that reaches the caller under a status by which callers send the request again.
#[test]
fn failure_after_a_run_is_not_answered_as_not_run() {
    const STATUSES: [&str; 3] = [
        "503 Service Unavailable",
        "429 Too Many Requests",
        "408 Request Timeout",
    ];
    run(async {
        let start = |status| {
            let fields = || "retry-after: 1\r\n".to_owned();
            FakeServer::start("s1", move |_| Behavior::Reply(status, fields(), "failed"))
        };
        for status in STATUSES {
            let failing = start(status);
            let instance = instance_with(read_and_write_routes(), &[("one", &failing)]);
            let answer = instance.ask(&post("/write/a", "x")).await;
            assert_eq!(answer.status(), 502, "{status}");
            let of_server = [answer.header("signed"), answer.header("retry-after")];
            assert_eq!(of_server, [None, None], "{status}");
            assert_eq!(failing.arrivals(), 1, "{status}");
            // One that may run again is answered as the server did.
            let failing = start(status);
            let instance = instance_with(read_and_write_routes(), &[("one", &failing)]);
            let answer = instance.get("/read/a").await;
            assert!(answer.start.ends_with(status), "{}", answer.start);
            assert_eq!(answer.header("signed"), Some("s1-0"), "{status}");
        }
    });
}

#[test]
fn shed_request_is_refused_with_retry_after() {
    run(async {
        let fake = FakeServer::start("s1", |_| Behavior::Shed);
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!(answer.status(), 503);
        let retry_after: f64 = answer
            .header("retry-after")
            .unwrap_or_default()
            .parse()
            .unwrap_or_default();
        assert!(
            retry_after > 0.0 && retry_after < 2.0 / 3.0,
            "{retry_after}"
        );
        assert_eq!(answer.header("signed"), None);
    });
}

#[test]
fn request_to_a_service_without_servers_is_refused_at_once() {
    run(async {
        let instance = instance_with(read_and_write_routes(), &[]);
        let started_at = Instant::now();
        let answer = instance.get("/read/a").await;
        assert_eq!(answer.status(), 503);
        assert!(started_at.elapsed() < Duration::from_millis(250));
    });
}

#[test]
fn reply_delimited_by_the_end_of_the_connection_is_complete() {
    run(async {
        let fake = FakeServer::start("s1", |_| Behavior::Unframed(b"to the end".to_vec()));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!(
            (answer.status(), answer.text().as_str()),
            (200, "to the end")
        );
    });
}

#[test]
fn unsolicited_reply_is_not_taken_for_that_of_the_next_request() {
    run(async {
        let fake = FakeServer::start("s1", |_| Behavior::Twice);
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        for _ in 0..5 {
            let answer = instance.get("/read/a").await;
            assert_eq!((answer.status(), answer.text().as_str()), (200, "first"));
        }
    });
}

#[test]
fn silent_server_leads_to_the_timeout_of_the_route() {
    run(async {
        let fake = FakeServer::start("s1", |_| Behavior::Silent);
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let started_at = Instant::now();
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!(answer.status(), 504);
        let took = started_at.elapsed();
        let timeout = Duration::from_millis(1_500);
        assert!(
            (timeout..timeout + Duration::from_millis(400)).contains(&took),
            "{took:?}"
        );
        assert_eq!(fake.arrivals(), 1);
    });
}

#[test]
fn hedge_overtakes_a_slow_initial_sub_request() {
    run(async {
        let started_at = Instant::now();
        let slow = Behavior::Serve(Duration::from_millis(1_200), b"slow".to_vec());
        let (status, text, _) = ask_pair_with_first(slow, get("/read/a")).await;
        assert_eq!((status, text.as_str()), (200, "second"));
        assert!(started_at.elapsed() < Duration::from_millis(1_000));
    });
}

#[test]
fn sub_request_is_cancelled_when_the_caller_disconnects() {
    run(async {
        let fake = FakeServer::start("s1", |_| Behavior::Silent);
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let mut caller = RawConnection::open(instance.address).await;
        caller.write(post("/write/a", "x")).await;
        while fake.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        let disconnected_at = Instant::now();
        drop(caller);
        sleep(Duration::from_millis(500)).await;
        let abandoned_at = fake.abandoned_at.get().expect("a closed connection");
        assert!(abandoned_at - disconnected_at < Duration::from_millis(450));
        assert_eq!(instance.relay.in_flight(), 0);
        assert_eq!(instance.relay.meter().abandoned.get(), 1);
    });
}

/// A server hangs on requests. While they are abandoned one after the other, only the first keeps a slot of it for a time
/// in which a paused server would reply.
#[test]
fn abandoned_sub_requests_leave_a_hanging_server_at_once() {
    run(async {
        let fake = FakeServer::start("s1", |_| Behavior::Silent);
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let mut held = Vec::new();
        for request in 1..4 {
            let mut caller = RawConnection::open(instance.address).await;
            caller.write(get("/read/a")).await;
            while fake.arrivals() < request {
                sleep(Duration::from_millis(5)).await;
            }
            let disconnected_at = Instant::now();
            drop(caller);
            sleep(Duration::from_millis(400)).await;
            let abandoned_at = fake.abandoned_at.get().expect("a closed connection");
            held.push(abandoned_at - disconnected_at);
        }
        assert!(held[0] > Duration::from_millis(200), "{held:?}");
        assert!(
            held[1..]
                .iter()
                .all(|held| *held < Duration::from_millis(100)),
            "{held:?}"
        );
    });
}

#[test]
fn connection_to_a_server_is_reused() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let mut caller = RawConnection::open(instance.address).await;
        for _ in 0..10 {
            caller.write(get("/read/a")).await;
            assert_eq!(caller.read().await.map(|answer| answer.status()), Some(200));
        }
        assert_eq!(fake.accepted.get(), 1);
    });
}

#[test]
fn misplaced_server_is_not_tried_again() {
    run(async {
        let other = FakeServer::start("s1", |_| Behavior::Misplaced);
        let right = FakeServer::start("s2", |_| serve("right"));
        let instance = instance_with(read_and_write_routes(), &[("one", &other), ("one", &right)]);
        for _ in 0..6 {
            assert_eq!(instance.get("/read/a").await.text(), "right");
        }
        assert!(other.arrivals() <= 1, "{}", other.arrivals());
    });
}

/// After the fleet has lost power, every server still holds the connections from before and accepts hardly
/// any new ones.
#[test]
fn server_at_its_connection_limit_serves_on_open_connections() {
    run(async {
        let fake = FakeServer::start("s1", |_| {
            Behavior::Serve(Duration::from_millis(60), b"ok".to_vec())
        });
        fake.max_connections.set(1);
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let mut callers = Vec::new();
        for number in 0..6 {
            let mut caller = RawConnection::open(instance.address).await;
            let request = match number % 2 {
                0 => get("/read/a"),
                _ => post("/write/a", "x"),
            };
            caller.write(request).await;
            callers.push(caller);
            sleep(Duration::from_millis(15)).await;
        }
        let mut statuses = Vec::new();
        for mut caller in callers {
            statuses.push(caller.read().await.map(|answer| answer.status()));
        }
        // Non-idempotent requests must not be lost on a refused connection.
        assert!(!statuses.contains(&Some(502)), "{statuses:?}");
        sleep(Duration::from_millis(300)).await;
        assert_eq!(instance.get("/read/a").await.status(), 200);
        assert!(!instance.relay.registry().servers()[0].is_ejected(Instant::now()));
    });
}

#[test]
fn draining_instance_answers_and_closes_the_connection() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        instance
            .relay
            .start_drain(Instant::now() + common::TEST_TIMEOUT);
        assert!(!instance.relay.is_ready());
        let answer = instance.get("/read/a").await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.header("connection"), Some("close"));
    });
}

#[test]
fn request_in_flight_is_answered_after_the_listener_stops() {
    run(async {
        let fake = FakeServer::start("s1", |_| {
            Behavior::Serve(Duration::from_millis(300), b"ok".to_vec())
        });
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let mut caller = RawConnection::open(instance.address).await;
        caller.write(post("/write/a", "x")).await;
        while fake.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        instance.stop.set();
        let answer = caller.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "ok"));
    });
}

#[test]
fn attempts_are_limited_by_the_route() {
    run(async {
        let fakes = ["s1", "s2", "s3"].map(|id| FakeServer::start(id, |_| Behavior::Fail));
        let servers = fakes.each_ref().map(|fake| ("one", fake));
        let instance = instance_with(read_and_write_routes(), &servers);
        assert_eq!(instance.get("/read/a").await.status(), 500);
        let arrivals: usize = fakes.iter().map(|fake| fake.arrivals()).sum();
        assert_eq!(arrivals, 2);
    });
}

#[test]
fn long_body_is_passed_on_completely() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let body: String = (0..40_000)
            .map(|number| char::from(b'a' + (number % 23) as u8))
            .collect();
        assert_eq!(instance.ask(&post("/write/a", &body)).await.status(), 200);
        assert!(fake.requests.borrow()[0].text() == body);
    });
}

/// A service replies with errors to two thirds of the requests.
#[test]
fn hedges_and_retries_stay_within_the_retry_budget() {
    const REQUESTS: usize = 500;
    run(async {
        let fails = |number: usize| match number.is_multiple_of(3) {
            true => serve("ok"),
            false => Behavior::Fail,
        };
        let fakes = ["s1", "s2"].map(|id| FakeServer::start(id, fails));
        let servers = fakes.each_ref().map(|fake| ("one", fake));
        let instance = instance_with(read_and_write_routes(), &servers);
        let mut connection = RawConnection::open(instance.address).await;
        for _ in 0..REQUESTS {
            connection.write(get("/read/a")).await;
            connection.read().await.expect("an answer");
        }
        let arrivals: usize = fakes.iter().map(|fake| fake.arrivals()).sum();
        // The retry budget is 1/5 of the requests plus an allowance of 50.
        let hedges_and_retries = arrivals - REQUESTS;
        assert!(
            (60..=REQUESTS / 5 + 50).contains(&hedges_and_retries),
            "{hedges_and_retries}"
        );
    });
}

/// Three of four servers have ended a moment ago and are still listed. A request that can't be sent to a server isn't an
/// attempt at it.
#[test]
fn request_reaches_the_last_server_that_is_up() {
    for request in [get("/read/a"), post("/write/a", "x")] {
        run(async move {
            let ids = ["s1", "s2", "s3", "s4"];
            let servers = ids.map(|id| FakeServer::start(id, |_| serve("ok")));
            servers[..3].iter().for_each(|server| server.crashed.set());
            sleep(Duration::from_millis(10)).await;
            let listed = servers.each_ref().map(|server| ("one", server));
            let instance = instance_with(read_and_write_routes(), &listed);
            for _ in 0..3 {
                assert_eq!(instance.ask(&request).await.text(), "ok");
            }
        });
    }
}

/// Both servers of a service are overloaded: what they are sent waits in their queues for longer than its callers have time.
#[test]
fn requests_wait_at_the_instance_while_all_servers_of_a_service_are_late() {
    run(async {
        let slow = |_| Behavior::Serve(Duration::from_millis(150), b"ok".to_vec());
        let fakes = ["s1", "s2"].map(|id| FakeServer::start(id, slow));
        let servers = fakes.each_ref().map(|fake| ("one", fake));
        let instance = instance_with(read_and_write_routes(), &servers);
        // Each late reply halves the window of one server.
        for _ in 0..16 {
            assert_eq!(instance.get("/read/a").await.status(), 200);
        }
        // Hedges that nobody waits for any more occupy a server until they end.
        sleep(Duration::from_millis(400)).await;
        let arrivals = || fakes.iter().map(|fake| fake.arrivals()).sum::<usize>();
        let before = arrivals();
        let request = post("/write/a", "x");
        let asked = futures_util::future::join_all((0..6).map(|_| instance.ask(&request)));
        let sent = async {
            sleep(Duration::from_millis(75)).await;
            arrivals() - before
        };
        let (answers, sent) = futures_util::join!(asked, sent);
        assert_eq!(sent, 2, "one to each server");
        assert!(answers.iter().all(|answer| answer.status() == 200));
    });
}

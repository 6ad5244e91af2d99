//! Requests to one server: passed on whole, answered truly, and never run once too often.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use common::{
    get,
    post,
    routes,
    run,
    serve,
    started,
    Act,
    Fake,
    Plain, //
};
use monoio::time::sleep;

#[test]
fn a_request_arrives_as_it_was_sent_and_its_answer_as_it_was_given() {
    run(async {
        let fake = Fake::start("s1", |_| serve("the body"));
        let instance = started(routes(), &[("one", &fake)]);
        let answer = instance
            .ask("POST /write/a%20b?c=d&e HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: 900\r\nconnection: x-hop, keep-alive\r\nx-hop: 1\r\nx-kept: 2\r\ncontent-length: 5\r\n\r\nhello")
            .await;
        let seen = fake.seen.borrow()[0].clone();
        assert_eq!(seen.start, "POST /write/a%20b?c=d&e HTTP/1.1");
        assert_eq!(seen.text(), "hello");
        assert_eq!(seen.header("id"), Some("q1"));
        assert_eq!(seen.header("meant-for"), Some("s1"));
        assert_eq!(seen.header("x-kept"), Some("2"));
        assert_eq!(
            (seen.header("x-hop"), seen.header("connection")),
            (None, None)
        );
        let left: u64 = seen
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

#[test]
fn a_body_in_chunks_is_passed_on_whole() {
    run(async {
        let fake = Fake::start("s1", |_| serve("ok"));
        let instance = started(routes(), &[("one", &fake)]);
        let chunked = "POST /write/a HTTP/1.1\r\nhost: host\r\nid: q1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert_eq!(instance.ask(chunked).await.status(), 200);
        assert_eq!(fake.seen.borrow()[0].text(), "abcde");
    });
}

/// Sends `request` to two servers of which the one asked first does `act`; returns the answer's
/// status and text, and how many requests arrived at both.
async fn with_first(act: Act, request: String) -> (u16, String, usize) {
    let both = std::rc::Rc::new(std::cell::Cell::new(0));
    let acts = |both: &std::rc::Rc<std::cell::Cell<usize>>| {
        let (both, act) = (both.clone(), act.clone());
        move |_| {
            both.set(both.get() + 1);
            match both.get() {
                1 => act.clone(),
                _ => serve("second"),
            }
        }
    };
    let fakes = [
        Fake::start("s1", acts(&both)),
        Fake::start("s2", acts(&both)),
    ];
    let instance = started(routes(), &[("one", &fakes[0]), ("one", &fakes[1])]);
    let answer = instance.ask(&request).await;
    (answer.status(), answer.text(), both.get())
}

#[test]
fn one_that_may_be_repeated_is_served_by_the_other_server_after_any_failure() {
    for act in [
        Act::Shed,
        Act::Misplaced,
        Act::Close,
        Act::Noise,
        Act::Truncate,
        Act::Foreign,
        Act::Unsigned,
        Act::Fail,
    ] {
        run(async move {
            let told = format!("{act:?}");
            let result = with_first(act, get("/read/a")).await;
            assert_eq!(result, (200, "second".to_owned(), 2), "{told}");
        });
    }
}

#[test]
fn one_that_may_not_be_repeated_is_sent_again_only_after_a_promise() {
    for act in [Act::Shed, Act::Misplaced] {
        run(async move {
            let told = format!("{act:?}");
            let result = with_first(act, post("/write/a", "x")).await;
            assert_eq!(result, (200, "second".to_owned(), 2), "{told}");
        });
    }
    for act in [
        Act::Close,
        Act::Noise,
        Act::Truncate,
        Act::Foreign,
        Act::Unsigned,
    ] {
        run(async move {
            let told = format!("{act:?}");
            let (status, _, arrivals) = with_first(act, post("/write/a", "x")).await;
            assert_eq!((status, arrivals), (502, 1), "{told}");
        });
    }
}

#[test]
fn a_servers_own_failure_is_passed_on_with_its_signature() {
    run(async {
        let fake = Fake::start("s1", |_| Act::Fail);
        let instance = started(routes(), &[("one", &fake)]);
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!((answer.status(), answer.text().as_str()), (500, "failed"));
        assert_eq!(answer.header("signed"), Some("s1-0"));
    });
}

#[test]
fn a_refusal_is_only_given_where_nothing_ran_and_tells_when_to_come_back() {
    run(async {
        let fake = Fake::start("s1", |_| Act::Shed);
        let instance = started(routes(), &[("one", &fake)]);
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!(answer.status(), 503);
        let wait: f64 = answer
            .header("retry-after")
            .unwrap_or_default()
            .parse()
            .unwrap_or_default();
        assert!(wait > 0.0 && wait < 2.0 / 3.0, "{wait}");
        assert_eq!(answer.header("signed"), None);
    });
}

#[test]
fn a_service_without_servers_is_refused_at_once() {
    run(async {
        let instance = started(routes(), &[]);
        let began = Instant::now();
        let answer = instance.get("/read/a").await;
        assert_eq!(answer.status(), 503);
        assert!(began.elapsed() < Duration::from_millis(250));
    });
}

#[test]
fn an_answer_that_ends_with_its_connection_is_whole() {
    run(async {
        let fake = Fake::start("s1", |_| Act::Unframed(b"to the end".to_vec()));
        let instance = started(routes(), &[("one", &fake)]);
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!(
            (answer.status(), answer.text().as_str()),
            (200, "to the end")
        );
    });
}

#[test]
fn a_second_answer_never_becomes_that_of_the_next_request() {
    run(async {
        let fake = Fake::start("s1", |_| Act::Twice);
        let instance = started(routes(), &[("one", &fake)]);
        for _ in 0..5 {
            let answer = instance.get("/read/a").await;
            assert_eq!((answer.status(), answer.text().as_str()), (200, "first"));
        }
    });
}

#[test]
fn a_silent_server_ends_in_a_timeout_of_the_route() {
    run(async {
        let fake = Fake::start("s1", |_| Act::Silent);
        let instance = started(routes(), &[("one", &fake)]);
        let began = Instant::now();
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!(answer.status(), 504);
        let took = began.elapsed();
        let timeout = Duration::from_millis(1_500);
        assert!(
            (timeout..timeout + Duration::from_millis(400)).contains(&took),
            "{took:?}"
        );
        assert_eq!(fake.arrivals(), 1);
    });
}

#[test]
fn a_slow_first_server_is_overtaken_by_a_hedge() {
    run(async {
        let began = Instant::now();
        let slow = Act::Serve(Duration::from_millis(1_200), b"slow".to_vec());
        let (status, text, _) = with_first(slow, get("/read/a")).await;
        assert_eq!((status, text.as_str()), (200, "second"));
        assert!(began.elapsed() < Duration::from_millis(1_000));
    });
}

#[test]
fn the_server_is_let_go_when_the_caller_leaves() {
    run(async {
        let fake = Fake::start("s1", |_| Act::Silent);
        let instance = started(routes(), &[("one", &fake)]);
        let mut caller = Plain::open(instance.address).await;
        caller.write(post("/write/a", "x")).await;
        while fake.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        let left = Instant::now();
        drop(caller);
        sleep(Duration::from_millis(500)).await;
        let abandoned = fake.abandoned.get().expect("a closed connection");
        assert!(abandoned - left < Duration::from_millis(450));
        assert_eq!(instance.relay.in_flight(), 0);
        assert_eq!(instance.relay.meter().abandoned.get(), 1);
    });
}

#[test]
fn one_connection_serves_many_requests() {
    run(async {
        let fake = Fake::start("s1", |_| serve("ok"));
        let instance = started(routes(), &[("one", &fake)]);
        let mut caller = Plain::open(instance.address).await;
        for _ in 0..10 {
            caller.write(get("/read/a")).await;
            assert_eq!(caller.read().await.map(|answer| answer.status()), Some(200));
        }
        assert_eq!(fake.accepted.get(), 1);
    });
}

#[test]
fn a_server_at_a_reused_address_is_not_asked_again() {
    run(async {
        let other = Fake::start("s1", |_| Act::Misplaced);
        let right = Fake::start("s2", |_| serve("right"));
        let instance = started(routes(), &[("one", &other), ("one", &right)]);
        for _ in 0..6 {
            assert_eq!(instance.get("/read/a").await.text(), "right");
        }
        assert!(other.arrivals() <= 1, "{}", other.arrivals());
    });
}

/// Load pattern: every server still holds the connections of a fleet that has lost power.
#[test]
fn a_server_that_accepts_no_more_connections_serves_on_those_that_it_has() {
    run(async {
        let fake = Fake::start("s1", |_| {
            Act::Serve(Duration::from_millis(60), b"ok".to_vec())
        });
        fake.room.set(1);
        let instance = started(routes(), &[("one", &fake)]);
        let mut callers = Vec::new();
        for number in 0..6 {
            let mut caller = Plain::open(instance.address).await;
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
        // What may not be repeated is never lost on a connection that isn't accepted.
        assert!(!statuses.contains(&Some(502)), "{statuses:?}");
        sleep(Duration::from_millis(300)).await;
        assert_eq!(instance.get("/read/a").await.status(), 200);
        assert!(!instance.relay.registry().servers()[0].is_out(Instant::now()));
    });
}

#[test]
fn a_leaving_instance_answers_and_closes() {
    run(async {
        let fake = Fake::start("s1", |_| serve("ok"));
        let instance = started(routes(), &[("one", &fake)]);
        instance.relay.leave();
        assert!(!instance.relay.is_ready());
        let answer = instance.get("/read/a").await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.header("connection"), Some("close"));
    });
}

#[test]
fn a_request_in_flight_outlives_the_stop_of_the_listener() {
    run(async {
        let fake = Fake::start("s1", |_| {
            Act::Serve(Duration::from_millis(300), b"ok".to_vec())
        });
        let instance = started(routes(), &[("one", &fake)]);
        let mut caller = Plain::open(instance.address).await;
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
fn a_request_is_sent_to_as_many_servers_as_its_route_allows() {
    run(async {
        let fakes = ["s1", "s2", "s3"].map(|id| Fake::start(id, |_| Act::Fail));
        let servers = fakes.each_ref().map(|fake| ("one", fake));
        let instance = started(routes(), &servers);
        assert_eq!(instance.get("/read/a").await.status(), 500);
        let arrivals: usize = fakes.iter().map(|fake| fake.arrivals()).sum();
        assert_eq!(arrivals, 2);
    });
}

#[test]
fn a_long_body_arrives_whole() {
    run(async {
        let fake = Fake::start("s1", |_| serve("ok"));
        let instance = started(routes(), &[("one", &fake)]);
        let body: String = (0..40_000)
            .map(|number| char::from(b'a' + (number % 23) as u8))
            .collect();
        assert_eq!(instance.ask(&post("/write/a", &body)).await.status(), 200);
        assert!(fake.seen.borrow()[0].text() == body);
    });
}

/// Load pattern: a service answers with a failure more often than not.
#[test]
fn further_sub_requests_stay_within_their_bound() {
    const REQUESTS: usize = 500;
    run(async {
        let fails = |number: usize| match number.is_multiple_of(3) {
            true => serve("ok"),
            false => Act::Fail,
        };
        let fakes = ["s1", "s2"].map(|id| Fake::start(id, fails));
        let servers = fakes.each_ref().map(|fake| ("one", fake));
        let instance = started(routes(), &servers);
        let mut plain = Plain::open(instance.address).await;
        for _ in 0..REQUESTS {
            plain.write(get("/read/a")).await;
            plain.read().await.expect("an answer");
        }
        let arrivals: usize = fakes.iter().map(|fake| fake.arrivals()).sum();
        // A fifth of the requests and an allowance of 50.
        let further = arrivals - REQUESTS;
        assert!((60..=REQUESTS / 5 + 50).contains(&further), "{further}");
    });
}

//! What callers may send, and what they are told when it can't be served.

mod common;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use common::{
    get,
    instance,
    routes,
    run,
    serve,
    started,
    table,
    Fake,
    Plain, //
};
use route::{
    Limits,
    Table, //
};

#[test]
fn bad_requests_are_told_apart() {
    run(async {
        let fake = Fake::start("s1", |_| serve("ok"));
        let instance = started(routes(), &[("one", &fake)]);
        let mut found = Vec::new();
        for request in [
            "GET /none/a HTTP/1.1\r\nhost: host\r\nid: q1\r\n\r\n",
            "GET /read/a HTTP/1.1\r\nhost: elsewhere\r\nid: q1\r\n\r\n",
            "GET /read/a HTTP/1.1\r\nhost: host\r\n\r\n",
            "GET /read/a HTTP/1.1\r\nhost: host\r\nid: q1\r\nid: q2\r\n\r\n",
            "GET /read/a HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: soon\r\n\r\n",
            "POST /write/a HTTP/1.1\r\nhost: host\r\nid: q1\r\ncontent-length: 999999999\r\n\r\n",
            "GET /read/a HTTP/1.1\r\nhost: host\r\nid: q1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
            "nonsense\r\n\r\n",
        ] {
            let answer = instance.ask(request).await;
            found.push((answer.status(), answer.text()));
        }
        insta::assert_debug_snapshot!(found, @r#"
        [
            (
                404,
                "no route",
            ),
            (
                404,
                "no route",
            ),
            (
                400,
                "expected one request id",
            ),
            (
                400,
                "expected one request id",
            ),
            (
                400,
                "the deadline isn't a number of milliseconds",
            ),
            (
                413,
                "the body is too long",
            ),
            (
                400,
                "",
            ),
            (
                400,
                "",
            ),
        ]
        "#);
        assert_eq!(fake.arrivals(), 0);
    });
}

#[test]
fn an_instance_without_a_configuration_refuses_and_is_not_ready() {
    run(async {
        let instance = instance("new", 1.0);
        let answer = instance.get("/read/a").await;
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
        assert!(!instance.relay.is_ready());
    });
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    run(async {
        let instance = started(routes(), &[]);
        instance.relay.set_table(Arc::new(table(5, routes())));
        instance.relay.set_table(Arc::new(table(4, Vec::new())));
        instance.relay.set_table(Arc::new(table(5, Vec::new())));
        let table = instance.relay.table().expect("a table");
        assert_eq!((table.version(), table.routes().count()), (5, 2));
    });
}

#[test]
fn a_changed_idle_limit_holds_for_connections_that_are_open() {
    run(async {
        let fake = Fake::start("s1", |_| serve("ok"));
        let instance = started(routes(), &[("one", &fake)]);
        let with_idle = |version, ms| {
            let limits = Limits {
                idle: Duration::from_millis(ms),
                ..Limits::default()
            };
            Arc::new(Table::new(version, routes(), Vec::new(), limits))
        };
        instance.relay.set_table(with_idle(2, 200));
        let mut caller = Plain::open(instance.address).await;
        caller.write(get("/read/a")).await;
        assert!(caller.read().await.is_some());
        instance.relay.set_table(with_idle(3, 600));
        let began = Instant::now();
        caller.closed().await;
        let took = began.elapsed();
        assert!(took > Duration::from_millis(500), "{took:?}");
        assert!(took < Duration::from_millis(1_200), "{took:?}");
    });
}

//! Validation of callers' requests, and limits of their connections.

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
    instance_with,
    read_and_write_routes,
    run,
    serve,
    table,
    FakeServer,
    RawConnection, //
};
use route::{
    Limits,
    Table, //
};

#[test]
fn invalid_requests_get_specific_answers() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
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
fn instance_without_a_configuration_refuses_requests_and_is_not_ready() {
    run(async {
        let instance = instance("new", 1.0);
        let answer = instance.get("/read/a").await;
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
        assert!(!instance.relay.is_ready());
    });
}

#[test]
fn older_configuration_does_not_replace_a_newer_one() {
    run(async {
        let instance = instance_with(read_and_write_routes(), &[]);
        instance
            .relay
            .set_table(Arc::new(table(5, read_and_write_routes())));
        instance.relay.set_table(Arc::new(table(4, Vec::new())));
        instance.relay.set_table(Arc::new(table(5, Vec::new())));
        let table = instance.relay.table().expect("a table");
        assert_eq!((table.version(), table.routes().count()), (5, 2));
    });
}

#[test]
fn changed_idle_timeout_applies_to_open_connections() {
    run(async {
        let fake = FakeServer::start("s1", |_| serve("ok"));
        let instance = instance_with(read_and_write_routes(), &[("one", &fake)]);
        let with_idle = |version, ms| {
            let limits = Limits {
                idle_timeout: Duration::from_millis(ms),
                ..Limits::default()
            };
            Arc::new(Table::new(
                version,
                read_and_write_routes(),
                Vec::new(),
                limits,
            ))
        };
        instance.relay.set_table(with_idle(2, 200));
        let mut caller = RawConnection::open(instance.address).await;
        caller.write(get("/read/a")).await;
        assert!(caller.read().await.is_some());
        instance.relay.set_table(with_idle(3, 600));
        let started_at = Instant::now();
        caller.closed().await;
        let took = started_at.elapsed();
        assert!(took > Duration::from_millis(500), "{took:?}");
        assert!(took < Duration::from_millis(1_200), "{took:?}");
    });
}

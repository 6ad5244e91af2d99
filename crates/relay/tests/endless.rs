//! Servers that send bytes without end, in a head or a body, until the connection is closed.

mod common;

use std::{
    rc::Rc,
    time::Duration, //
};

use common::{
    get,
    instance_with,
    query_route,
    read_and_write_routes,
    run,
    serve,
    Behavior,
    FakeServer, //
};
use monoio::time::sleep;

/// Maximum number of bytes that instances may take from one endless reply, including socket buffers.
const MAX_TAKEN_BYTES: usize = 24 * 1024 * 1024;
/// Maximum number of bytes of unfinished replies that an instance may buffer: a quarter of the memory of the
/// smallest instances, as buffers that grow take up to twice their content.
const MAX_BUFFERED_BYTES: usize = 40 * 1024 * 1024;

const HEAD: &str = "HTTP/1.1 200 OK\r\nid: q1\r\nsigned: s1\r\n";

fn endless_replies() -> Vec<(&'static str, Behavior)> {
    let with_head = |rest: &str| -> &'static str { (HEAD.to_owned() + rest).leak() };
    let chunked = with_head("transfer-encoding: chunked\r\n\r\n");
    vec![
        ("noise", Behavior::Endless("", "noise")),
        ("head", Behavior::Endless(HEAD, "name: value\r\n")),
        ("header", Behavior::Endless(with_head("name: "), "value")),
        (
            "interim",
            Behavior::Endless("", "HTTP/1.1 103 Early Hints\r\nname: value\r\n\r\n"),
        ),
        ("body", Behavior::Endless(with_head("\r\n"), "0123456789")),
        ("chunks", Behavior::Endless(chunked, "4\r\nbody\r\n")),
        (
            "extension",
            Behavior::Endless(with_head("transfer-encoding: chunked\r\n\r\n4;"), "name"),
        ),
        (
            "trailers",
            Behavior::Endless(
                with_head("transfer-encoding: chunked\r\n\r\n0\r\n"),
                "name: value\r\n",
            ),
        ),
        (
            "length",
            Behavior::Endless(with_head("content-length: 99999999999\r\n\r\n"), "body"),
        ),
    ]
}

/// The first server of a service sends an endless reply; the request is served by the second one, and the first
/// connection is closed after a limited number of bytes.
#[test]
fn endless_reply_ends_the_connection_and_the_request_is_retried() {
    for (label, behavior) in endless_replies() {
        run(async move {
            let endless = FakeServer::start("s1", move |_| behavior.clone());
            let sound = FakeServer::start("s2", |_| serve("ok"));
            let servers = [("one", &endless), ("one", &sound)];
            let instance = instance_with(read_and_write_routes(), &servers);
            for _ in 0..4 {
                assert_eq!(instance.get("/read/a").await.text(), "ok", "{label}");
            }
            sleep(Duration::from_millis(600)).await;
            assert_eq!(endless.connections.get(), 0, "{label}");
            let taken = endless.endless_bytes.get();
            assert!(
                taken < MAX_TAKEN_BYTES * endless.arrivals().max(1),
                "{label}: {taken}"
            );
        });
    }
}

/// All shards send endless bodies to several queries at once: what the instance holds of them is limited in sum.
#[test]
fn endless_replies_of_all_shards_are_limited_in_sum() {
    run(async {
        let body = "HTTP/1.1 200 OK\r\nid: q1\r\nsigned: s1\r\n\r\n";
        let shards: Vec<(String, Rc<FakeServer>)> = (0..24)
            .map(|index| {
                let id = format!("s{index}");
                let fake = FakeServer::start(&id, move |_| Behavior::Endless(body, "0123456789"));
                (format!("shard{index}"), fake)
            })
            .collect();
        let names: Vec<&str> = shards.iter().map(|(name, _)| name.as_str()).collect();
        let servers: Vec<_> = shards.iter().map(|(name, fake)| (&**name, fake)).collect();
        let instance = instance_with(vec![query_route(&names, 5, 0.5)], &servers);
        let answer = instance.ask(&get("/all/a")).await;
        assert!([502, 504].contains(&answer.status()), "{}", answer.start);
        sleep(Duration::from_millis(600)).await;
        let open: usize = shards.iter().map(|(_, fake)| fake.connections.get()).sum();
        assert_eq!(open, 0);
        let peak = relay::connection::peak_buffered_bytes();
        assert!((1..MAX_BUFFERED_BYTES).contains(&peak), "{peak}");
    });
}

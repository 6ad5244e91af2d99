//! Servers whose replies aren't HTTP: a status that isn't a final one, and heads or trailers with a malformed field.

mod common;

use common::{
    get,
    instance_with,
    post,
    query_route,
    read_and_write_routes,
    run,
    serve,
    Behavior,
    FakeServer, //
};

/// Statuses that no server may send as its answer.
const STATUSES: [&str; 14] = [
    "000 Odd",
    "000",
    "001 Odd",
    "099 Odd",
    "101 Switching Protocols",
    "600 Odd",
    "999 Odd",
    "0 Odd",
    "20 OK",
    "2000 OK",
    "-200 OK",
    "+20 OK",
    "2x0 OK",
    "\u{1}200 OK",
];

/// Lines of a head that are no fields.
const FIELDS: [&str; 30] = [
    "x odd: 1",
    "x-odd : 1",
    " x-odd: 1",
    "\tx-odd: 1",
    "x\todd: 1",
    "x-odd\t: 1",
    "x\u{0}odd: 1",
    "x\u{1}odd: 1",
    "x\u{b}odd: 1",
    "x\u{1b}odd: 1",
    "x\u{7f}odd: 1",
    "x\u{e4}odd: 1",
    "x\rodd: 1",
    "x(odd): 1",
    "\"x\": 1",
    ": 1",
    "x-odd",
    "content length: 3",
    "content-length : 3",
    "content-length\t: 3",
    "content-length\u{b}: 3",
    "content-length\u{0}: 3",
    " content-length: 3",
    "transfer encoding: chunked",
    "transfer-encoding : chunked",
    "transfer-encoding\u{1}: chunked",
    "signed : s",
    "id : another",
    "x-odd: a\u{0}b",
    "x-odd: a\rb",
];

const BODY: &str = "the 12 bytes";
/// Length of a field name that header maps don't take.
const LONG_NAME_BYTES: usize = 70_000;

/// Returns the ends of heads with a body: by length, in chunks, and up to the end of the connection.
fn framed_bodies() -> [String; 3] {
    let length = BODY.len();
    [
        format!("content-length: {length}\r\n\r\n{BODY}"),
        format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n0\r\n\r\n"),
        format!("\r\n{BODY}"),
    ]
}

fn replies_with_malformed_status() -> Vec<String> {
    let framed = framed_bodies();
    let replies = STATUSES.iter().flat_map(|status| {
        let reply = |rest| format!("HTTP/1.1 {status}\r\nid: q1\r\nsigned: s\r\n{rest}");
        framed.iter().map(reply).collect::<Vec<_>>()
    });
    replies.collect()
}

/// The field comes first or last in the head, in an interim reply, or in the trailers.
fn replies_with_malformed_field() -> Vec<String> {
    let framed = framed_bodies();
    let long_name = format!("{}: 1", "x".repeat(LONG_NAME_BYTES));
    let fields = FIELDS.into_iter().chain([long_name.as_str()]);
    let replies = fields.flat_map(|field| {
        let head = "HTTP/1.1 200 OK\r\n";
        let own = "id: q1\r\nsigned: s\r\n";
        let in_head = framed.iter().flat_map(|rest| {
            [
                format!("{head}{field}\r\n{own}{rest}"),
                format!("{head}{own}{field}\r\n{rest}"),
                format!("HTTP/1.1 103 Early Hints\r\n{field}\r\n\r\n{head}{own}{rest}"),
            ]
        });
        let chunked = framed[1].trim_end();
        let in_trailers = format!("{head}{own}{chunked}\r\n{field}\r\n\r\n");
        in_head.chain([in_trailers]).collect::<Vec<_>>()
    });
    replies.collect()
}

/// Asserts that a request of each kind gets nothing of the reply of the server that is asked first: what must run at most once
/// gets an error, and an idempotent request the reply of another server.
fn assert_not_passed_on(reply: String) {
    run(async move {
        let shown: String = reply.escape_debug().take(200).collect();
        let bytes = reply.into_bytes();
        let malformed = FakeServer::start("s1", move |_| Behavior::Cut(bytes.clone()));
        let instance = instance_with(read_and_write_routes(), &[("one", &malformed)]);
        let answer = instance.ask(&post("/write/a", "x")).await;
        assert_eq!(answer.status(), 502, "{shown}");
        assert_eq!(answer.header("signed"), None, "{shown}");
        assert_ne!(answer.text(), BODY, "{shown}");
        assert_eq!(malformed.arrivals(), 1, "{shown}");

        let sound = FakeServer::start("s2", |_| serve("sound"));
        let servers = [("one", &malformed), ("one", &sound)];
        let instance = instance_with(read_and_write_routes(), &servers);
        for _ in 0..3 {
            let answer = instance.get("/read/a").await;
            assert_eq!(
                (answer.status(), &*answer.text()),
                (200, "sound"),
                "{shown}"
            );
        }
    });
}

/// The same replies with a valid status and field.
#[test]
fn valid_reply_is_passed_on() {
    run(async {
        for rest in framed_bodies() {
            let reply = format!("HTTP/1.1 599 Odd\r\nid: q1\r\nx-odd: 1\r\nsigned: s\r\n{rest}");
            let server = FakeServer::start("s1", move |_| Behavior::Cut(reply.clone().into()));
            let instance = instance_with(read_and_write_routes(), &[("one", &server)]);
            let answer = instance.ask(&post("/write/a", "x")).await;
            assert_eq!((answer.status(), &*answer.text()), (599, BODY));
            assert_eq!(answer.header("signed"), Some("s"));
            assert_eq!(answer.header("x-odd"), Some("1"));
        }
    });
}

#[test]
fn reply_whose_status_is_not_final_is_not_passed_on() {
    for reply in replies_with_malformed_status() {
        assert_not_passed_on(reply);
    }
}

#[test]
fn reply_with_a_malformed_field_is_not_passed_on() {
    for reply in replies_with_malformed_field() {
        assert_not_passed_on(reply);
    }
}

/// One shard sends such a reply; the others answer the query.
#[test]
fn malformed_reply_is_no_part_of_a_query() {
    let replies = [
        "HTTP/1.1 000 Odd\r\nid: q1\r\nsigned: s1\r\ncontent-length: 16\r\n\r\nzzzzzzzzzzzzzzzz",
        "HTTP/1.1 200 OK\r\nx odd: 1\r\nid: q1\r\nsigned: s1\r\ncontent-length: 16\r\n\r\nzzzzzzzzzzzzzzzz",
    ];
    for reply in replies {
        run(async move {
            let malformed = FakeServer::start("s1", |_| Behavior::Cut(reply.as_bytes().to_vec()));
            let sound = FakeServer::start("s2", |_| serve("0123456789abcdef"));
            let servers = [("shard1", &malformed), ("shard2", &sound)];
            let instance =
                instance_with(vec![query_route(&["shard1", "shard2"], 5, 0.5)], &servers);
            let answer = instance.ask(&get("/all/a")).await;
            assert_eq!(
                (answer.status(), &*answer.text()),
                (200, "0123456789abcdef")
            );
            assert_eq!(answer.header("parts"), Some("s2-0"));
            assert_eq!(answer.header("missing"), Some("1"));
        });
    }
}

//! Responses to malformed, oversized and slow requests.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use monoio::{
    io::{
        AsyncReadRent,
        AsyncWriteRentExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    LegacyDriver, RuntimeBuilder,
};
use web::{
    server::{
        serve,
        Handler, //
    },
    Limits,
    Stop, //
};

struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        Response::new(request.into_body())
    }
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(test)
}

fn start() -> (SocketAddr, Stop) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stop = Stop::new();
    let limits = Limits {
        max_head_bytes: 1024,
        max_body_bytes: 2048,
        body_timeout: Duration::from_millis(50),
        idle_timeout: Duration::from_millis(200),
        ..Limits::default()
    };
    monoio::spawn(serve(listener, Rc::new(Echo), limits, stop.clone()));
    (address, stop)
}

/// Sends `bytes`, reads until the server closes the connection and returns the first line of the
/// response.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    try_send_raw(address, bytes).await.expect("bytes sent")
}

/// Does the same; returns none if the server closes the connection before all bytes are sent.
async fn try_send_raw(address: SocketAddr, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let (sent, _) = stream.write_all(bytes.to_vec()).await;
    sent.ok()?;
    let mut response = Vec::new();
    loop {
        let (read, chunk) = stream.read(vec![0; 4096]).await;
        match read {
            Ok(count) if count > 0 => response.extend_from_slice(&chunk[..count]),
            _ => return Some(first_line(&response)),
        }
    }
}

fn first_line(response: &[u8]) -> String {
    let text = String::from_utf8_lossy(response);
    text.lines().next().unwrap_or("closed").to_owned()
}

fn cases() -> Vec<(&'static str, Vec<u8>)> {
    let post = |rest: &str| format!("POST / HTTP/1.1\r\nhost: a\r\n{rest}").into_bytes();
    let long = "x".repeat(5000);
    vec![
        (
            "whole",
            post("connection: close\r\ncontent-length: 2\r\n\r\nok"),
        ),
        (
            "chunked",
            post("connection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
        ),
        ("not HTTP", b"\x00\x01\x02 nonsense\r\n\r\n".to_vec()),
        (
            "two lengths",
            post("content-length: 2\r\ncontent-length: 3\r\n\r\nok"),
        ),
        (
            "length and encoding",
            post("content-length: 2\r\ntransfer-encoding: chunked\r\n\r\nok"),
        ),
        ("signed length", post("content-length: +2\r\n\r\nok")),
        (
            "length isn't a number",
            post("content-length: two\r\n\r\nok"),
        ),
        ("declared too long", post("content-length: 4096\r\n\r\n")),
        (
            "chunked too long",
            post(&format!(
                "transfer-encoding: chunked\r\n\r\n1388\r\n{long}\r\n0\r\n\r\n"
            )),
        ),
        (
            "chunk size isn't a number",
            post("transfer-encoding: chunked\r\n\r\nzz\r\nok\r\n"),
        ),
        ("head too long", post(&format!("x-long: {long}\r\n\r\n"))),
        ("unknown encoding", post("transfer-encoding: gzip\r\n\r\n")),
        ("slow body", post("content-length: 10\r\n\r\nhalf")),
        (
            "head never ends",
            b"POST / HTTP/1.1\r\nhost: a\r\n".to_vec(),
        ),
    ]
}

#[test]
fn server_answers_each_fault_and_keeps_serving() {
    let responses = run(async {
        let (address, _stop) = start();
        let mut responses = String::new();
        for (name, bytes) in cases() {
            responses += &format!("{name}: {}\n", send_raw(address, &bytes).await);
        }
        responses
    });
    insta::assert_snapshot!(responses);
}

/// Guards against a request that ends the process: the codec library panics at a field name of 64 KiB. The name follows at
/// once, or a request whose body is longer.
#[test]
fn request_with_a_long_field_name_is_rejected() {
    let name = "x".repeat(70_000);
    let request = format!("POST / HTTP/1.1\r\n{name}: 1\r\ncontent-length: 2\r\n\r\nok");
    let body = "b".repeat(500_000);
    let first = format!(
        "POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let limits = Limits::default();
        monoio::spawn(serve(listener, Rc::new(Slow), limits, Stop::new()));
        let answer = try_send_raw(address, request.as_bytes()).await;
        let is_rejected = |line: String| line == "closed" || line.starts_with("HTTP/1.1 413");
        assert!(answer.is_none_or(is_rejected));
        // The first line is that of the answer to the first request.
        try_send_raw(address, (first + &request).as_bytes()).await;
        let sound = send_raw(address, b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n").await;
        assert_eq!(sound, "HTTP/1.1 200 OK");
    });
}

#[test]
fn stop_waits_for_the_request_in_flight() {
    let response = run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let stop = Stop::new();
        let server = monoio::spawn(serve(
            listener,
            Rc::new(Slow),
            Limits::default(),
            stop.clone(),
        ));
        let caller = monoio::spawn(async move {
            let bytes = b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nok";
            send_raw(address, bytes).await
        });
        monoio::time::sleep(Duration::from_millis(20)).await;
        stop.set();
        server.await;
        caller.await
    });
    assert_eq!(response, "HTTP/1.1 200 OK");
}

struct Slow;

impl Handler for Slow {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        monoio::time::sleep(Duration::from_millis(80)).await;
        Response::new(request.into_body())
    }
}

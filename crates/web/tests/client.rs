//! How the client handles malformed, oversized and truncated responses.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use monoio::{
    io::{
        AsyncReadRent,
        AsyncWriteRentExt, //
    },
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use web::{
    client::Connection,
    Limits, //
};

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(200);
/// Length of one write of an endless response.
const ENDLESS_BLOCK_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that a server can send of an endless response before it is cut off, socket buffers included.
const MAX_TAKEN_BYTES: usize = 16 * 1024 * 1024;

/// Sends a request to a server that replies with `reply` and closes the connection; describes the
/// result.
async fn exchange(reply: &'static [u8]) -> String {
    let limits = Limits {
        max_body_bytes: 1024,
        ..Limits::default()
    };
    exchange_with(limits, reply, b"").await.0
}

/// Does the same within `limits` and with a server that repeats `repeated` until the connection is closed; also returns the
/// number of bytes that it has repeated.
async fn exchange_with(
    limits: Limits,
    reply: &'static [u8],
    repeated: &'static [u8],
) -> (String, usize) {
    let sent = Rc::new(Cell::new(0));
    let count = sent.clone();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    monoio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(vec![0; 4096]).await;
        let _ = stream.write_all(reply.to_vec()).await;
        let block = repeated.repeat(ENDLESS_BLOCK_BYTES / repeated.len().max(1));
        while !block.is_empty() && stream.write_all(block.clone()).await.0.is_ok() {
            count.set(count.get() + block.len());
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    });
    let connection = Connection::open(address, limits).await.expect("connected");
    let request = Request::post("/")
        .body(Bytes::from_static(b"{}"))
        .expect("a request");
    let result = connection.exchange(request, EXCHANGE_TIMEOUT).await;
    let shown = match result {
        Ok(exchange) => format!(
            "{} {:?}, kept: {}",
            exchange.response.status(),
            exchange.response.body(),
            exchange.connection.is_some()
        ),
        Err(failure) => failure.to_string(),
    };
    (shown, sent.get())
}

/// The server closes the connection within the head or the body.
#[test]
fn response_that_is_cut_at_any_byte_is_a_failure() {
    const WHOLE: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 12\r\n\r\nthe 12 bytes",
        b"HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nchunk\r\n0\r\n\r\n",
    ];
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        for whole in WHOLE {
            for length in 0..whole.len() {
                let result = exchange(&whole[..length]).await;
                let shown = String::from_utf8_lossy(&whole[..length]);
                assert!(!result.starts_with("200"), "{shown}: {result}");
            }
        }
    });
}

/// The server sends a status that no final response has, or a head with a malformed field.
#[test]
fn malformed_response_is_a_failure() {
    let statuses = [
        "000 X", "099 X", "100 X", "101 X", "103 X", "600 X", "999 X", "20 X",
    ];
    let by_status =
        statuses.map(|status| format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok"));
    let fields = [
        "x odd: 1",
        "x-odd : 1",
        " x-odd: 1",
        "x\u{0}odd: 1",
        "x\u{1}odd: 1",
        "x\u{7f}odd: 1",
        "x\u{e4}odd: 1",
        "content-length : 2",
        "content length: 2",
        ": 1",
        "x-odd",
    ];
    let by_field =
        fields.map(|field| format!("HTTP/1.1 200 OK\r\n{field}\r\ncontent-length: 2\r\n\r\nok"));
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        for response in by_status.into_iter().chain(by_field) {
            let shown = response.clone();
            let result = exchange(response.leak().as_bytes()).await;
            assert_eq!(result, "exchange failed: Malformed, sent: true", "{shown}");
        }
    });
}

/// Guards against a response that ends the process: the codec library panics at a field name of 64 KiB.
#[test]
fn response_with_a_long_field_name_is_a_failure() {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        for length in [17_000, 65_535, 65_536, 70_000, 300_000] {
            let name = "x".repeat(length);
            let response = format!("HTTP/1.1 200 OK\r\n{name}: 1\r\ncontent-length: 2\r\n\r\nok");
            let response = response.leak().as_bytes();
            let (result, _) = exchange_with(Limits::default(), response, b"").await;
            assert_eq!(result, "exchange failed: Malformed, sent: true", "{length}");
        }
    });
}

#[test]
fn response_without_end_is_cut_off() {
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases: [(&[u8], &[u8]); 8] = [
        (b"", b"noise"),
        (b"HTTP/1.1 200 OK\r\n", b"name: value\r\n"),
        (b"HTTP/1.1 200 OK\r\nname: ", b"value"),
        (b"HTTP/1.1 200 OK\r\n", b"name"),
        (chunked, b"4\r\nbody\r\n"),
        (chunked, b"0000"),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;",
            b"name",
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            b"body",
        ),
    ];
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        for (start, repeated) in cases {
            let (result, sent) = exchange_with(Limits::default(), start, repeated).await;
            let shown = String::from_utf8_lossy(repeated);
            assert!(result.starts_with("exchange failed: "), "{shown}: {result}");
            assert!(!result.contains("Timeout"), "{shown}: {result}");
            assert!(sent < MAX_TAKEN_BYTES, "{shown}: {sent}");
        }
    });
}

#[test]
fn response_is_complete_or_a_failure() {
    let cases: [(&str, &[u8]); 9] = [
        ("whole", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        (
            "closing",
            b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
        ),
        (
            "truncated",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        ),
        (
            "two lengths",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nok",
        ),
        (
            "too long",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n",
        ),
        ("nonsense", b"\x01\x02\x03\r\n\r\n"),
        (
            "chunks cut",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        ),
        ("head cut", b"HTTP/1.1 200"),
        ("closed", b""),
    ];
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    let results = runtime.block_on(async {
        let mut results = String::new();
        for (name, reply) in cases {
            results += &format!("{name}: {}\n", exchange(reply).await);
        }
        results
    });
    insta::assert_snapshot!(results);
}

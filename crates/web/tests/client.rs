//! How the client handles malformed, oversized and truncated responses.

use std::time::Duration;

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

/// Sends a request to a server that replies with `reply` and closes the connection; describes the
/// result.
async fn exchange(reply: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    monoio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(vec![0; 4096]).await;
        let _ = stream.write_all(reply.to_vec()).await;
        monoio::time::sleep(Duration::from_millis(20)).await;
    });
    let limits = Limits {
        max_body_bytes: 1024,
        ..Limits::default()
    };
    let connection = Connection::open(address, limits).await.expect("connected");
    let request = Request::post("/")
        .body(Bytes::from_static(b"{}"))
        .expect("a request");
    match connection
        .exchange(request, Duration::from_millis(200))
        .await
    {
        Ok(exchange) => format!(
            "{} {:?}, kept: {}",
            exchange.response.status(),
            exchange.response.body(),
            exchange.connection.is_some()
        ),
        Err(failure) => failure.to_string(),
    }
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

//! One-shot HTTP requests, for control calls and readiness checks.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response, //
};
use web::{
    client::{
        Connection,
        Failure, //
    },
    Limits,
};

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Opens a connection, sends one request over it and returns the response; `wait` limits the exchange, not
/// the opening of the connection.
///
/// # Errors
///
/// Fails as [`Connection::open`] and [`Connection::exchange`] do.
///
/// # Panics
///
/// Panics if `path` isn't the path of a URI.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
    wait: Duration,
) -> Result<Response<Bytes>, Failure> {
    let limits = Limits {
        max_body_bytes: MAX_BODY_BYTES,
        ..Limits::default()
    };
    let connection = Connection::open(address, limits).await?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(body.into())
        .expect("the path is the path of a URI");
    let exchange = connection.exchange(request, wait).await?;
    Ok(exchange.response)
}

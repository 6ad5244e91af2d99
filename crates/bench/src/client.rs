//! One-shot HTTP calls, for control and probes.

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

/// Longest body of an answer, in bytes.
const BODY_MAX: usize = 256 * 1024 * 1024;

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Fails as [`Connection::open`] and [`Connection::exchange`] do.
///
/// # Panics
///
/// Panics if `path` isn't the path of a URI.
pub async fn ask(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
    wait: Duration,
) -> Result<Response<Bytes>, Failure> {
    let limits = Limits {
        max_body_bytes: BODY_MAX,
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

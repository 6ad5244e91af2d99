//! Finds out whether a peer that is silent is busy or gone.
//!
//! Most instances send few requests to a peer, so that for some hundred milliseconds none of its replies may arrive although it
//! works on all of them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request, //
};
use web::{
    client::Connection,
    Limits, //
};

/// Returns whether a request only asks whether this instance replies.
pub(crate) fn is_probe<B>(request: &Request<B>) -> bool {
    request.method() == Method::OPTIONS && request.uri().path() == "*"
}

/// Returns whether a peer replies to a probe on a new connection within `wait`.
///
/// Its kernel accepts connections for a process that is suspended, so only a reply counts. Instances of earlier releases reply
/// with an error.
pub(crate) async fn probe(address: SocketAddr, wait: Duration) -> bool {
    let limits = Limits {
        connect_timeout: wait,
        ..Limits::default()
    };
    let mut request = Request::new(Bytes::new());
    *request.method_mut() = Method::OPTIONS;
    *request.uri_mut() = http::Uri::from_static("*");
    let replies = async {
        let connection = Connection::open(address, limits).await.ok()?;
        connection.exchange(request, wait).await.ok()
    };
    let exchange = monoio::time::timeout(wait, replies).await;
    exchange.is_ok_and(|exchange| exchange.is_some())
}

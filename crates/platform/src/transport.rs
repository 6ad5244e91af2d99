//! Connections to the store, reused between calls.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http::{
    header::HOST,
    Method,
    Request,
    Response, //
};
use web::client::Connection;

use crate::{
    store::Failure,
    MAX_VALUE_BYTES, //
};

/// Maximum length of a reply, in bytes: a listing holds several objects.
const MAX_REPLY_BYTES: usize = 16 * MAX_VALUE_BYTES;
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time after which an idle connection is no longer reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of keepalive probes on a silent connection. A watch is silent for many seconds, and a
/// broken one must be detected within a few.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A pool of connections to one address.
///
/// A write is sent once. A read is sent again if the reused connection turns out to be closed.
#[derive(Debug)]
pub struct Transport {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Vec<(Instant, Connection)>>,
}

impl Transport {
    /// Creates a transport that waits at most `timeout` for a connection.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            idle: RefCell::default(),
        }
    }

    /// Returns the timeout for connecting, which callers also use as the timeout for a reply.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Starts building a request to the address.
    pub fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some((idle_since, connection)) = idle.pop() {
            if idle_since.elapsed() < IDLE_TIMEOUT && !connection.is_stale() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, connection: Option<Connection>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.extend(connection.map(|connection| (Instant::now(), connection)));
        }
    }

    async fn open(&self) -> Result<Connection, Failure> {
        let limits = web::Limits {
            max_body_bytes: MAX_REPLY_BYTES,
            connect_timeout: self.timeout,
            keepalive_interval: Some(KEEPALIVE_INTERVAL),
            ..web::Limits::default()
        };
        Connection::open(self.address, limits)
            .await
            .map_err(|_| Failure::Unavailable)
    }

    async fn exchange(
        &self,
        connection: Connection,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Response<Bytes>, web::client::Failure> {
        // What broke this connection may have broken the idle ones.
        let exchange = connection.exchange(request, wait).await;
        let exchange = exchange.inspect_err(|_| self.idle.borrow_mut().clear())?;
        self.put_idle(exchange.connection);
        Ok(exchange.response)
    }

    /// Sends a request and waits at most `wait` for the complete reply.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Lost`] if the request may have reached the store, and with
    /// [`Failure::Unavailable`] if it can't have.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let deadline = Instant::now() + wait;
        if let Some(connection) = self.take_idle() {
            let is_read = request.method() == Method::GET;
            match self.exchange(connection, request.clone(), wait).await {
                Err(failure) if is_read && is_connection_closed(failure.kind) => {}
                result => return result.map_err(store_failure),
            }
        }
        let connection = self.open().await?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let result = self.exchange(connection, request, remaining).await;
        result.map_err(store_failure)
    }
}

fn is_connection_closed(kind: web::client::FailureKind) -> bool {
    use web::client::FailureKind;
    matches!(kind, FailureKind::Write | FailureKind::Closed)
}

fn store_failure(failure: web::client::Failure) -> Failure {
    match failure.sent {
        true => Failure::Lost,
        false => Failure::Unavailable,
    }
}

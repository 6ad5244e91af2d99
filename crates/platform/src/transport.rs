//! Connections to the store, kept between calls.

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
    VALUE_MAX, //
};

/// Longest answer, in bytes: a listing holds several objects.
const ANSWER_MAX: usize = 16 * VALUE_MAX;
/// Idle connections kept.
const IDLE_MAX: usize = 4;
/// Time after which an idle connection isn't used any more.
const IDLE_FOR: Duration = Duration::from_secs(20);

/// Time between probes of a silent connection. A watch is silent for many seconds, and one that
/// has been cut off must show within a few.
const PROBE: Duration = Duration::from_secs(1);

/// Connections to one address.
///
/// A write is sent once. A read whose kept connection turns out to be closed is sent again.
#[derive(Debug)]
pub struct Transport {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Vec<(Instant, Connection)>>,
}

impl Transport {
    /// Makes a transport that waits for at most `timeout` for a connection.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            idle: RefCell::default(),
        }
    }

    /// Returns the longest wait for an answer.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Starts a request to the address.
    pub fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
    }

    fn kept(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some((since, connection)) = idle.pop() {
            if since.elapsed() < IDLE_FOR && !connection.is_stale() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, connection: Option<Connection>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_MAX {
            idle.extend(connection.map(|connection| (Instant::now(), connection)));
        }
    }

    async fn open(&self) -> Result<Connection, Failure> {
        let limits = web::Limits {
            body: ANSWER_MAX,
            connect: self.timeout,
            probe: Some(PROBE),
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
        let exchange = connection.exchange(request, wait).await?;
        self.keep(exchange.connection);
        Ok(exchange.response)
    }

    /// Sends a request and waits for the whole answer for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::Lost`] if the request may have arrived.
    pub async fn ask(
        &self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let deadline = Instant::now() + wait;
        if let Some(connection) = self.kept() {
            let is_read = request.method() == Method::GET;
            match self.exchange(connection, request.clone(), wait).await {
                Err(failure) if is_read && is_closed(failure.kind) => {}
                result => return result.map_err(failed),
            }
        }
        let connection = self.open().await?;
        let left = deadline.saturating_duration_since(Instant::now());
        let result = self.exchange(connection, request, left).await;
        result.map_err(failed)
    }
}

fn is_closed(kind: web::client::Kind) -> bool {
    use web::client::Kind;
    matches!(kind, Kind::Write | Kind::Closed)
}

fn failed(failure: web::client::Failure) -> Failure {
    match failure.sent {
        true => Failure::Lost,
        false => Failure::Unavailable,
    }
}

//! A client for the store's HTTP interface, see `docs/PROTOCOLS.md`.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header::{
        IF_MATCH,
        IF_NONE_MATCH, //
    },
    Method,
    Request,
    Response,
    StatusCode, //
};
use serde::{
    de::DeserializeOwned,
    Deserialize, //
};
use serde_json::value::RawValue;
use web::client::Connection;

use crate::{
    store::{
        Failure,
        Instance,
        Listing,
        Object,
        Store, //
    },
    VALUE_MAX,
};

/// Longest answer, in bytes: a listing holds several objects.
const ANSWER_MAX: usize = 16 * VALUE_MAX;
/// Idle connections kept.
const IDLE_MAX: usize = 4;
/// Time that a watch's answer may take over its wait.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// A client of the store at one address.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Vec<Connection>>,
}

#[derive(Debug, Deserialize)]
struct Written {
    version: u64,
}

#[derive(Debug, Deserialize)]
struct Instances {
    instances: Vec<Instance>,
}

impl Client {
    /// Makes a client that waits for at most `timeout` for each answer.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            idle: RefCell::new(Vec::new()),
        }
    }

    async fn connection(&self) -> Result<Connection, Failure> {
        while let Some(connection) = self.take_idle() {
            if !connection.is_stale() {
                return Ok(connection);
            }
        }
        let limits = web::Limits {
            body: ANSWER_MAX,
            connect: self.timeout,
            ..web::Limits::default()
        };
        Connection::open(self.address, limits)
            .await
            .map_err(|_| Failure::Unavailable)
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }

    fn keep(&self, connection: Option<Connection>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_MAX {
            idle.extend(connection);
        }
    }

    async fn ask(
        &self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let connection = self.connection().await?;
        match connection.exchange(request, wait).await {
            Ok(exchange) => {
                self.keep(exchange.connection);
                Ok(exchange.response)
            }
            Err(failure) if failure.sent => Err(Failure::Lost),
            Err(_) => Err(Failure::Unavailable),
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T, Failure> {
        let request = request(Method::GET, path)?
            .body(Bytes::new())
            .map_err(|_| Failure::Malformed)?;
        let response = self.ask(request, wait).await?;
        match response.status() {
            StatusCode::OK => parse(response.body()),
            StatusCode::GONE => Err(Failure::Compacted),
            _ => Err(Failure::Unavailable),
        }
    }
}

impl Store for Client {
    async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>, Failure> {
        let request = request(Method::GET, &format!("/v1/objects/{kind}/{name}"))?
            .body(Bytes::new())
            .map_err(|_| Failure::Malformed)?;
        let response = self.ask(request, self.timeout).await?;
        match response.status() {
            StatusCode::OK => parse(response.body()).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Failure::Unavailable),
        }
    }

    async fn list(&self, kind: &str) -> Result<Listing, Failure> {
        self.get(&format!("/v1/objects/{kind}"), self.timeout).await
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: &RawValue,
    ) -> Result<u64, Failure> {
        if value.get().len() > VALUE_MAX {
            return Err(Failure::Oversized);
        }
        let request = request(Method::PUT, &format!("/v1/objects/{kind}/{name}"))?;
        let request = match expected {
            0 => request.header(IF_NONE_MATCH, "*"),
            version => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let request = request
            .body(Bytes::copy_from_slice(value.get().as_bytes()))
            .map_err(|_| Failure::Malformed)?;
        let response = self.ask(request, self.timeout).await?;
        match response.status() {
            StatusCode::OK => parse::<Written>(response.body()).map(|written| written.version),
            StatusCode::PRECONDITION_FAILED => {
                let current = parse::<Written>(response.body())?.version;
                Err(Failure::Conflict { current })
            }
            StatusCode::PAYLOAD_TOO_LARGE => Err(Failure::Oversized),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Failure::Unavailable)
            }
            _ => Err(Failure::Malformed),
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<Listing, Failure> {
        let path = format!(
            "/v1/watch/{kind}?after={after}&wait_ms={}",
            wait.as_millis()
        );
        self.get(&path, wait + WATCH_MARGIN).await
    }

    async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        self.get::<Instances>("/v1/instances", self.timeout)
            .await
            .map(|answer| answer.instances)
    }
}

fn request(method: Method, path: &str) -> Result<http::request::Builder, Failure> {
    let uri = path.parse::<http::Uri>().map_err(|_| Failure::Malformed)?;
    Ok(Request::builder().method(method).uri(uri))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|_| Failure::Malformed)
}

//! Links over HTTP/1.1.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header::{
        HeaderName,
        CONTENT_TYPE,
        RETRY_AFTER, //
    },
    HeaderMap,
    HeaderValue,
    Method,
    Request,
    Uri, //
};
use web::{
    client::{
        Connection,
        Kind, //
    },
    Limits,
};

use crate::{
    link::{
        Call,
        Dial,
        Exchange,
        Link,
        Query,
        Stamp, //
    },
    outcome::{
        Failure,
        Fault,
        Outcome, //
    },
    reply,
};

/// Longest reply, in bytes.
const REPLY_MAX: usize = 1024 * 1024;
/// Headers of a request, so that their map is allocated once.
const HEADERS: usize = 8;
/// Longest time that a server may ask to be left alone.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const X_ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");
const X_SNAPSHOT: HeaderName = HeaderName::from_static("x-snapshot");
const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Dials backend servers over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct Http {
    limits: Limits,
}

impl Default for Http {
    fn default() -> Self {
        Self {
            limits: Limits {
                body: REPLY_MAX,
                ..Limits::default()
            },
        }
    }
}

impl Http {
    /// Dials with bounds of the caller's.
    pub fn new(limits: Limits) -> Self {
        Self { limits }
    }
}

impl Dial for Http {
    type Link = Connection;

    async fn dial(&self, address: SocketAddr) -> Result<Connection, Failure> {
        Connection::open(address, self.limits.clone())
            .await
            .map_err(failure)
    }
}

impl Link for Connection {
    fn is_stale(&self) -> bool {
        Connection::is_stale(self)
    }

    async fn query(self, query: Query<'_>, wait: Duration) -> Exchange<Self> {
        let Ok(uri) = Uri::try_from(format!("/shards/{}/query", query.shard)) else {
            return unsent(self);
        };
        let mut request = request(uri, &query.stamp, query.body.clone());
        let headers = request.headers_mut();
        headers.insert(X_SNAPSHOT, HeaderValue::from(query.snapshot));
        headers.insert(X_DEADLINE_MS, milliseconds(query.left));
        exchange(self, request, wait, |status, retry_after, body| {
            reply::query(&query, status, retry_after, body)
        })
        .await
    }

    async fn call(self, call: Call<'_>, wait: Duration) -> Exchange<Self> {
        let mut request = request(Uri::from_static("/call"), &call.stamp, call.body.clone());
        let headers = request.headers_mut();
        headers.insert(X_DEADLINE_MS, milliseconds(call.left));
        if !call.key.is_empty() {
            let Ok(key) = HeaderValue::from_str(call.key) else {
                return unsent(self);
            };
            headers.insert(IDEMPOTENCY_KEY, key);
        }
        exchange(self, request, wait, |status, retry_after, body| {
            reply::call(&call, status, retry_after, body)
        })
        .await
    }

    async fn cancel(self, stamp: Stamp, wait: Duration) -> Option<Self> {
        let path = format!("/cancel/{}/{}", stamp.name(), stamp.attempt);
        let uri = Uri::try_from(path).ok()?;
        let request = request(uri, &stamp, Bytes::new());
        match Connection::exchange(self, request, wait).await {
            Ok(exchange) => exchange.connection,
            Err(_) => None,
        }
    }

    fn close(self) {
        Connection::close(self);
    }
}

fn request(uri: Uri, stamp: &Stamp, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    let mut headers = HeaderMap::with_capacity(HEADERS);
    // A UUID and a number are always a valid header value.
    if let Ok(name) = HeaderValue::try_from(stamp.name().to_string()) {
        headers.insert(X_REQUEST_ID, name);
    }
    headers.insert(X_ATTEMPT, HeaderValue::from(stamp.attempt));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    *request.headers_mut() = headers;
    request
}

fn milliseconds(left: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
}

async fn exchange(
    link: Connection,
    request: Request<Bytes>,
    wait: Duration,
    decode: impl FnOnce(u16, Option<Duration>, Bytes) -> Outcome,
) -> Exchange<Connection> {
    let done = match Connection::exchange(link, request, wait).await {
        Ok(done) => done,
        Err(failed) if failed.kind == Kind::Malformed => {
            return Exchange {
                outcome: Outcome::BadReply(Fault::Framing),
                link: None,
            }
        }
        Err(failed) => {
            return Exchange {
                outcome: Outcome::Failed(failure(failed)),
                link: None,
            }
        }
    };
    let (head, body) = done.response.into_parts();
    let outcome = decode(head.status.as_u16(), retry_after(&head.headers), body);
    // After a reply that doesn't fit, nothing that the connection carries can be trusted.
    let link = match outcome {
        Outcome::BadReply(_) => None,
        _ => done.connection,
    };
    Exchange { outcome, link }
}

fn unsent(link: Connection) -> Exchange<Connection> {
    Exchange {
        outcome: Outcome::Failed(Failure {
            sent: false,
            timeout: false,
        }),
        link: Some(link),
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds).min(RETRY_AFTER_MAX))
}

fn failure(failure: web::client::Failure) -> Failure {
    Failure {
        sent: failure.sent,
        timeout: failure.kind == Kind::Timeout,
    }
}

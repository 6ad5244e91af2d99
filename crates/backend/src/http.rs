//! Connections to backend servers over HTTP/1.1.

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
        FailureKind, //
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

/// Maximum length of a reply's body, in bytes.
const MAX_REPLY_BYTES: usize = 1024 * 1024;
/// Initial capacity of a request's header map, large enough that it is allocated only once.
const HEADER_CAPACITY: usize = 8;
/// Maximum `retry-after` of a backend server; a longer one is cut to it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const X_ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");
const X_SNAPSHOT: HeaderName = HeaderName::from_static("x-snapshot");
const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Opens HTTP/1.1 connections to backend servers.
#[derive(Debug, Clone)]
pub struct HttpDialer {
    limits: Limits,
}

impl Default for HttpDialer {
    fn default() -> Self {
        Self {
            limits: Limits {
                max_body_bytes: MAX_REPLY_BYTES,
                ..Limits::default()
            },
        }
    }
}

impl HttpDialer {
    /// Makes a dialer whose connections keep to `limits`.
    pub fn new(limits: Limits) -> Self {
        Self { limits }
    }
}

impl Dial for HttpDialer {
    type Link = Connection;

    async fn dial(&self, address: SocketAddr) -> Result<Connection, Failure> {
        Connection::open(address, self.limits.clone())
            .await
            .map_err(to_failure)
    }
}

impl Link for Connection {
    fn is_stale(&self) -> bool {
        Connection::is_stale(self)
    }

    async fn query(self, query: Query<'_>, timeout: Duration) -> Exchange<Self> {
        let Ok(uri) = Uri::try_from(format!("/shards/{}/query", query.shard)) else {
            return unsent(self);
        };
        let mut request = build_request(uri, &query.stamp, query.body.clone());
        let headers = request.headers_mut();
        headers.insert(X_SNAPSHOT, HeaderValue::from(query.snapshot));
        headers.insert(X_DEADLINE_MS, millis_value(query.time_left));
        run_exchange(self, request, timeout, |status, retry_after, body| {
            reply::decode_query(&query, status, retry_after, body)
        })
        .await
    }

    async fn call(self, call: Call<'_>, timeout: Duration) -> Exchange<Self> {
        let mut request = build_request(Uri::from_static("/call"), &call.stamp, call.body.clone());
        let headers = request.headers_mut();
        headers.insert(X_DEADLINE_MS, millis_value(call.time_left));
        if !call.key.is_empty() {
            let Ok(key) = HeaderValue::from_str(call.key) else {
                return unsent(self);
            };
            headers.insert(IDEMPOTENCY_KEY, key);
        }
        run_exchange(self, request, timeout, |status, retry_after, body| {
            reply::decode_call(&call, status, retry_after, body)
        })
        .await
    }

    async fn cancel(self, stamp: Stamp, timeout: Duration) -> Option<Self> {
        let path = format!("/cancel/{}/{}", stamp.request_id(), stamp.attempt);
        let uri = Uri::try_from(path).ok()?;
        let request = build_request(uri, &stamp, Bytes::new());
        match Connection::exchange(self, request, timeout).await {
            Ok(exchange) => exchange.connection,
            Err(_) => None,
        }
    }

    fn close(self) {
        Connection::close(self);
    }
}

fn build_request(uri: Uri, stamp: &Stamp, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    let mut headers = HeaderMap::with_capacity(HEADER_CAPACITY);
    // A formatted request id is always a valid header value.
    if let Ok(id) = HeaderValue::try_from(stamp.request_id().to_string()) {
        headers.insert(X_REQUEST_ID, id);
    }
    headers.insert(X_ATTEMPT, HeaderValue::from(stamp.attempt));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    *request.headers_mut() = headers;
    request
}

fn millis_value(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}

async fn run_exchange(
    link: Connection,
    request: Request<Bytes>,
    timeout: Duration,
    decode: impl FnOnce(u16, Option<Duration>, Bytes) -> Outcome,
) -> Exchange<Connection> {
    let done = match Connection::exchange(link, request, timeout).await {
        Ok(done) => done,
        Err(failed) if failed.kind == FailureKind::Malformed => {
            return Exchange {
                outcome: Outcome::BadReply(Fault::Framing),
                link: None,
            }
        }
        Err(failed) => {
            return Exchange {
                outcome: Outcome::Failed(to_failure(failed)),
                link: None,
            }
        }
    };
    let (head, body) = done.response.into_parts();
    let outcome = decode(head.status.as_u16(), retry_after(&head.headers), body);
    // After a bad reply, nothing else read from the connection can be trusted.
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
    Some(Duration::from_secs(seconds).min(MAX_RETRY_AFTER))
}

fn to_failure(failure: web::client::Failure) -> Failure {
    Failure {
        sent: failure.sent,
        timeout: failure.kind == FailureKind::Timeout,
    }
}

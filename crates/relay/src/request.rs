//! A caller's request as it is passed on.

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use http::{
    header::{
        self,
        HeaderName, //
    },
    HeaderMap,
    HeaderValue,
    Method,
    Request,
    Uri, //
};
use http_body_util::Full;

use crate::headers::Headers;

/// Headers that concern one connection only.
const HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];

/// Why a request can't be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It has no id, or more than one.
    Id,
    /// Its deadline isn't a number of milliseconds.
    Deadline,
}

impl Fault {
    /// Returns what is wrong, as callers are told.
    pub fn text(self) -> &'static str {
        match self {
            Self::Id => "expected one request id",
            Self::Deadline => "the deadline isn't a number of milliseconds",
        }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.text())
    }
}

impl std::error::Error for Fault {}

/// A whole request of a caller.
#[derive(Debug)]
pub struct Asked {
    /// Id, as the caller gave it.
    pub id: HeaderValue,
    /// Method.
    pub method: Method,
    /// Target of the request.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the request had arrived.
    pub arrived: Instant,
    /// Time that its caller had waited before it arrived, as far as is known.
    pub waited: Duration,
    /// When its caller stops waiting, if it said so.
    pub deadline: Option<Instant>,
}

impl Asked {
    /// Takes in a request that had arrived whole at `arrived`.
    ///
    /// # Errors
    ///
    /// Fails if the id or the deadline can't be understood.
    pub fn new(
        head: http::request::Parts,
        body: Bytes,
        arrived: Instant,
        names: &Headers,
    ) -> Result<Self, Fault> {
        let mut ids = head.headers.get_all(&names.request).iter();
        let (Some(id), None) = (ids.next(), ids.next()) else {
            return Err(Fault::Id);
        };
        let id = id.clone();
        let deadline = match head.headers.get(&names.deadline) {
            None => None,
            Some(value) => Some(arrived + milliseconds(value).ok_or(Fault::Deadline)?),
        };
        let mut headers = passed_on(head.headers);
        headers.remove(&names.deadline);
        headers.remove(&names.target);
        Ok(Self {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            arrived,
            waited: Duration::ZERO,
            deadline,
        })
    }

    /// Returns the time for which the caller goes on waiting at `now`, if it said so.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        self.deadline
            .map(|deadline| deadline.saturating_duration_since(now))
    }

    /// Makes the request to the server `target` that is to be answered within `left`.
    pub fn outgoing(
        &self,
        names: &Headers,
        target: &HeaderValue,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(&names.deadline, HeaderValue::from(left.max(1)));
        headers.insert(&names.target, target.clone());
        *request.headers_mut() = headers;
        request
    }
}

/// Returns `headers` without those that concern one connection.
pub fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers
}

/// Longest deadline that is believed; it keeps sums of times in range.
const DEADLINE_MAX: Duration = Duration::from_secs(24 * 60 * 60);

fn milliseconds(value: &HeaderValue) -> Option<Duration> {
    let number: u64 = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(number).min(DEADLINE_MAX))
}

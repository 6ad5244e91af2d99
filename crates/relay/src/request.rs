//! A caller's request and the requests that are forwarded for it.

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
use policy::quarantine::Fingerprint;
use xxhash_rust::xxh3::Xxh3;

use crate::headers::HeaderNames;

/// Hop-by-hop headers and those that the HTTP codec sets itself.
const HOP_BY_HOP: [HeaderName; 9] = [
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

/// Why a request is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It has no id, or more than one.
    Id,
    /// Its deadline isn't a number of milliseconds.
    Deadline,
}

impl Fault {
    /// Returns the body of the answer to the caller.
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

/// A complete request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// Id that the caller chose.
    pub id: HeaderValue,
    /// Method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Known time that the caller had waited before the request arrived.
    pub waited: Duration,
    /// When the caller stops waiting, if it stated a deadline.
    pub deadline: Option<Instant>,
}

impl CallerRequest {
    /// Reads the id and deadline of a request that arrived at `arrived`.
    ///
    /// # Errors
    ///
    /// Fails unless there is exactly one id, or if the deadline isn't a number of milliseconds.
    pub fn new(
        head: http::request::Parts,
        body: Bytes,
        arrived_at: Instant,
        names: &HeaderNames,
    ) -> Result<Self, Fault> {
        let mut ids = head.headers.get_all(&names.request).iter();
        let (Some(id), None) = (ids.next(), ids.next()) else {
            return Err(Fault::Id);
        };
        let id = id.clone();
        let deadline = match head.headers.get(&names.deadline) {
            None => None,
            Some(value) => Some(arrived_at + parse_milliseconds(value).ok_or(Fault::Deadline)?),
        };
        let mut headers = without_hop_by_hop(head.headers);
        headers.remove(&names.deadline);
        headers.remove(&names.target);
        Ok(Self {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            arrived_at,
            waited: Duration::ZERO,
            deadline,
        })
    }

    /// Returns what identifies the request when it comes again with another id: a hash of its method, host, target,
    /// authorization and body.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Xxh3::new();
        let header = |name: &HeaderName| {
            self.headers
                .get(name)
                .map_or(&[][..], HeaderValue::as_bytes)
        };
        let target = self
            .uri
            .path_and_query()
            .map_or("", |target| target.as_str());
        let fields = [
            self.method.as_str().as_bytes(),
            header(&header::HOST),
            target.as_bytes(),
            header(&header::AUTHORIZATION),
            &self.body,
        ];
        for field in fields {
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        Fingerprint(hasher.digest128())
    }

    /// Returns how much longer the caller waits, if it stated a deadline.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        self.deadline
            .map(|deadline| deadline.saturating_duration_since(now))
    }

    /// Builds the request to the server `target`, which must reply within `time_left`.
    pub fn outgoing(
        &self,
        names: &HeaderNames,
        target: &HeaderValue,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let time_left = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(&names.deadline, HeaderValue::from(time_left.max(1)));
        headers.insert(&names.target, target.clone());
        *request.headers_mut() = headers;
        request
    }
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn without_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers
}

/// Maximum deadline that is accepted; longer ones are clamped, so that adding it to an instant can't overflow.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

fn parse_milliseconds(value: &HeaderValue) -> Option<Duration> {
    let number: u64 = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(number).min(MAX_DEADLINE))
}

//! Content of replies, made so that a checker can tell which run of which server a reply comes from.

use bytes::Bytes;
use http::StatusCode;
use xxhash_rust::xxh3::{
    xxh3_128,
    xxh3_64, //
};

/// Length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;
/// Records in a part, that is, in one server's reply to a query.
pub const PART_RECORDS: usize = 24;
/// Upper bound of the length of a generated reply body, in bytes.
const MAX_REPLY_BODY_BYTES: u64 = 6_000;
/// Upper bound of the length of a generated request body, in bytes.
const MAX_REQUEST_BODY_BYTES: u64 = 3_000;

/// Statuses of a server's failures after a run. A caller takes the last three for a statement that nothing has run.
const FAILURES: [StatusCode; 4] = [
    StatusCode::INTERNAL_SERVER_ERROR,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::REQUEST_TIMEOUT,
];

/// Path prefix of queries, which a server answers with records.
pub const QUERY_PREFIX: &str = "/all/";
/// Path prefix of requests that may run several times.
pub const READ_PREFIX: &str = "/read/";
/// Path prefix of requests that must run at most once.
pub const WRITE_PREFIX: &str = "/write/";

/// Identifies the run of a request on a server that made a reply.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Signature {
    /// Service of the server.
    pub service: String,
    /// Id of the server.
    pub server: String,
    /// Number of the run, counted from 1 in each server process.
    pub run: u64,
    /// Id of the request.
    pub request: String,
}

impl Signature {
    /// Parses a signature; `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.trim().splitn(4, ':');
        Some(Self {
            service: parts.next()?.to_owned(),
            server: parts.next()?.to_owned(),
            run: parts.next()?.parse().ok()?,
            request: parts.next()?.to_owned(),
        })
    }
}

impl std::fmt::Display for Signature {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            service,
            server,
            run,
            request,
        } = self;
        write!(f, "{service}:{server}:{run}:{request}")
    }
}

/// Returns the records of a part, which are the same on all servers of a service.
pub fn records(request: &str, service: &str) -> Vec<[u8; RECORD_BYTES]> {
    let record = |number| xxh3_128(format!("{request}/{service}/{number}").as_bytes());
    (0..PART_RECORDS)
        .map(|number| record(number).to_be_bytes())
        .collect()
}

/// Returns the `top` greatest records of all parts, concatenated in descending order.
pub fn merge(request: &str, services: &[String], top: usize) -> Vec<u8> {
    let parts = services.iter();
    let mut all: Vec<_> = parts
        .flat_map(|service| records(request, service))
        .collect();
    all.sort_unstable_by(|one, other| other.cmp(one));
    all.truncate(top);
    all.concat()
}

/// Returns the body of a reply to a request that isn't a query.
pub fn reply_body(signature: &Signature) -> Bytes {
    repeat_text(&signature.to_string(), MAX_REPLY_BODY_BYTES)
}

/// Returns the status of the reply if the run ends in a failure.
pub fn failure_status(signature: &Signature) -> StatusCode {
    let index = xxh3_64(signature.to_string().as_bytes()) % FAILURES.len() as u64;
    FAILURES[index as usize]
}

/// Returns the body of a request that isn't a query or a read.
pub fn request_body(request: &str) -> Bytes {
    repeat_text(request, MAX_REQUEST_BODY_BYTES)
}

/// Repeats a text up to a length below `max_bytes` that is derived from its hash.
///
/// The result is never shorter than the text.
fn repeat_text(text: &str, max_bytes: u64) -> Bytes {
    let length = (xxh3_64(text.as_bytes()) % max_bytes) as usize;
    let bytes = text.bytes().cycle().take(length.max(text.len()));
    bytes.collect()
}

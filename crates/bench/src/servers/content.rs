//! What a server answers, so that whoever sees an answer can tell which run of which server made it.

use bytes::Bytes;
use xxhash_rust::xxh3::{
    xxh3_128,
    xxh3_64, //
};

/// Bytes of one record.
pub const RECORD: usize = 16;
/// Records in a part.
pub const RECORDS: usize = 24;
/// Longest body of an answer, in bytes.
const BODY_MAX: u64 = 6_000;
/// Longest body of a request, in bytes.
const PAYLOAD_MAX: u64 = 3_000;

/// Path below which a server answers with records.
pub const QUERIES: &str = "/all/";
/// Path below which a request may be repeated.
pub const READS: &str = "/read/";
/// Path below which a request runs once.
pub const WRITES: &str = "/write/";

/// Which run of which server made an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Signature {
    /// Service of the server.
    pub service: String,
    /// Id of the server.
    pub server: String,
    /// Number of the run among those of the process.
    pub run: u64,
    /// The request.
    pub request: String,
}

impl Signature {
    /// Reads a signature; none if it isn't one.
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

/// Returns the records of a part, the same for all servers of a service.
pub fn records(request: &str, service: &str) -> Vec<[u8; RECORD]> {
    let record = |number| xxh3_128(format!("{request}/{service}/{number}").as_bytes());
    (0..RECORDS)
        .map(|number| record(number).to_be_bytes())
        .collect()
}

/// Returns the greatest `top` records of the parts, falling.
pub fn merged(request: &str, services: &[String], top: usize) -> Vec<u8> {
    let parts = services.iter();
    let mut all: Vec<_> = parts
        .flat_map(|service| records(request, service))
        .collect();
    all.sort_unstable_by(|one, other| other.cmp(one));
    all.truncate(top);
    all.concat()
}

/// Returns the body of an answer that isn't a part.
pub fn body(signature: &Signature) -> Bytes {
    filled(&signature.to_string(), BODY_MAX)
}

/// Returns the body of a request.
pub fn payload(request: &str) -> Bytes {
    filled(request, PAYLOAD_MAX)
}

/// Repeats a text up to a length that depends on it.
fn filled(text: &str, longest: u64) -> Bytes {
    let length = (xxh3_64(text.as_bytes()) % longest) as usize;
    let bytes = text.bytes().cycle().take(length.max(text.len()));
    bytes.collect()
}

//! The header by which a request that is passed on to a peer states what its sender knows.
//!
//! Requests that have it are callers', whatever their method, target and other headers. A caller's own header of the same
//! name follows it and is passed on.

use std::time::Duration;

use http::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};

/// In a request: the latest configuration version that the sender knows of, whether the store is available to it, the
/// time that the caller has waited, in microseconds, and 1, as the sender is to be told of later versions
/// before they are used. In a reply: the time that the peer took, in microseconds.
pub(crate) const HEADER: HeaderName = HeaderName::from_static("tanageryoke-hop");

/// Maximum waited time that is accepted; longer ones are clamped, so that sums of times stay in range.
const MAX_WAITED: Duration = Duration::from_secs(60);

/// State of the peer that sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sender {
    /// Latest configuration version that it knows of.
    pub(crate) version: u64,
    /// Whether the store is available to it.
    pub(crate) reaches_store: bool,
    /// Time that the caller had waited, including the expected hop overhead.
    pub(crate) waited: Duration,
    /// Whether it is told of a later version before that is used; instances of earlier releases aren't.
    pub(crate) learns_versions: bool,
}

impl Sender {
    fn parse(value: &HeaderValue) -> Option<Self> {
        let mut fields = value.to_str().ok()?.split(';');
        let version = fields.next()?.parse().ok()?;
        let reaches_store = fields.next()? == "1";
        // Instances of earlier releases don't send the waited time.
        let waited = fields.next();
        let waited = waited.and_then(|waited| waited.parse().ok());
        Some(Self {
            version,
            reaches_store,
            waited: Duration::from_micros(waited.unwrap_or(0)).min(MAX_WAITED),
            learns_versions: fields.next() == Some("1"),
        })
    }

    fn value(self) -> HeaderValue {
        let Self {
            version,
            reaches_store,
            waited,
            learns_versions,
        } = self;
        let (reaches_store, learns_versions) = (u8::from(reaches_store), u8::from(learns_versions));
        let text = format!(
            "{version};{reaches_store};{};{learns_versions}",
            waited.as_micros()
        );
        HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("0;0;0;1"))
    }

    /// Adds the state to the headers of a request that is passed on, before a caller's own header of the name.
    pub(crate) fn add_to(self, headers: &mut HeaderMap) {
        let of_caller: Vec<HeaderValue> = headers.get_all(HEADER).iter().cloned().collect();
        headers.insert(HEADER, self.value());
        append_all(headers, of_caller);
    }

    /// Removes and parses the state in the headers of a peer's request; none if it isn't one.
    pub(crate) fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let mut values: Vec<HeaderValue> = headers.get_all(HEADER).iter().cloned().collect();
        let own = (!values.is_empty()).then(|| values.remove(0))?;
        headers.remove(HEADER);
        append_all(headers, values);
        Self::parse(&own)
    }
}

fn append_all(headers: &mut HeaderMap, values: Vec<HeaderValue>) {
    for value in values {
        headers.append(HEADER, value);
    }
}

/// Returns whether a peer passed a request on.
pub(crate) fn is_passed_on(headers: &HeaderMap) -> bool {
    headers.contains_key(HEADER)
}

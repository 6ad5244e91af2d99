//! Conversions between this crate's messages and those of the codec library.

use bytes::Bytes;
use http::{
    header::CONNECTION,
    HeaderMap, //
};
use monoio_http::h1::payload::{
    FixedPayload,
    Payload, //
};

/// Converts a complete body to the codec library's payload.
pub(crate) fn payload(body: Bytes) -> Payload {
    if body.is_empty() {
        return Payload::None;
    }
    Payload::Fixed(FixedPayload::new(body))
}

/// Returns whether the sender of `headers` closes the connection after this message.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get(CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

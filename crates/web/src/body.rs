//! Bodies as the codec library takes them.

use bytes::Bytes;
use http::{
    header::CONNECTION,
    HeaderMap, //
};
use monoio_http::h1::payload::{
    FixedPayload,
    Payload, //
};

/// Makes the payload of a whole body.
pub(crate) fn payload(body: Bytes) -> Payload {
    if body.is_empty() {
        return Payload::None;
    }
    Payload::Fixed(FixedPayload::new(body))
}

/// Returns whether the sender of `headers` closes the connection after this message.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    headers
        .get(CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

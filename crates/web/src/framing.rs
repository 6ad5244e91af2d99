//! Validation of a message's head: its status and the length that the headers declare.

use http::{
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
    HeaderMap,
    StatusCode, //
};

use crate::limits::Limits;

/// Why the headers of a message are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Both `Content-Length` and `Transfer-Encoding` are set.
    Ambiguous,
    /// More than one `Content-Length` or `Transfer-Encoding` is set.
    Repeated,
    /// `Content-Length` isn't a sequence of digits, or the number is too large.
    Malformed,
    /// The headers or the declared body length exceed their limit.
    Oversized,
}

/// Returns whether the response to a request may have this status: 200 to 599.
///
/// Interim responses only precede it, and a switch of protocols is never asked for. Source: RFC 9110, section 15.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Checks that `headers` are within the limits and declare an unambiguous length.
///
/// # Errors
///
/// Returns the first fault found.
pub fn check(headers: &HeaderMap, limits: &Limits) -> Result<(), Fault> {
    if header_bytes(headers) > limits.max_head_bytes {
        return Err(Fault::Oversized);
    }
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    if lengths > 1 || encodings > 1 {
        return Err(Fault::Repeated);
    }
    if lengths == 1 && encodings == 1 {
        return Err(Fault::Ambiguous);
    }
    match content_length(headers) {
        Some(Err(fault)) => Err(fault),
        Some(Ok(length)) if length > limits.max_body_bytes => Err(Fault::Oversized),
        _ => Ok(()),
    }
}

/// Returns the total size of the header names and values, in bytes.
///
/// The reader's budget doesn't enforce this limit: a read may return the head of the next message, too.
fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

fn content_length(headers: &HeaderMap) -> Option<Result<usize, Fault>> {
    let value = headers.get(CONTENT_LENGTH)?;
    let digits = value
        .to_str()
        .ok()
        .filter(|text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()));
    Some(
        digits
            .and_then(|text| text.parse().ok())
            .ok_or(Fault::Malformed),
    )
}

//! Checks on the lengths that a head declares.

use http::{
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
    HeaderMap,
};

use crate::limits::Limits;

/// Why the length of a message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Both `Content-Length` and `Transfer-Encoding` are set.
    Ambiguous,
    /// More than one `Content-Length` or `Transfer-Encoding` is set.
    Repeated,
    /// `Content-Length` isn't a number.
    Malformed,
    /// The head or the declared length is over its bound.
    Oversized,
}

/// Checks that `headers` fit the bounds and declare one length.
///
/// # Errors
///
/// Returns the fault of the first header that breaks the rule.
pub fn check(headers: &HeaderMap, limits: &Limits) -> Result<(), Fault> {
    if size(headers) > limits.head {
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
    match declared(headers) {
        Some(Err(fault)) => Err(fault),
        Some(Ok(length)) if length > limits.body => Err(Fault::Oversized),
        _ => Ok(()),
    }
}

/// Returns the bytes of the names and values.
///
/// One read may bring a whole head that is over its bound, so that the reader's budget isn't enough.
fn size(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

fn declared(headers: &HeaderMap) -> Option<Result<usize, Fault>> {
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

//! Validation of the kinds and names that are put into request paths.

use crate::store::Failure;

/// Maximum length of a kind or name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Returns `name` if it is safe to use as a path segment: ASCII letters, digits, `-`, `_` and `.`,
/// and neither empty, too long, `.` nor `..`.
///
/// # Errors
///
/// Fails with [`Failure::Invalid`] otherwise.
pub fn validate(name: &str) -> Result<&str, Failure> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed);
    match name {
        "." | ".." => Err(Failure::Invalid),
        name if is_valid => Ok(name),
        _ => Err(Failure::Invalid),
    }
}

//! Kinds and names that may stand in a path.

use crate::store::Failure;

/// Longest kind or name, in bytes.
const NAME_MAX: usize = 128;

/// Returns `name` if it can stand in a path.
///
/// # Errors
///
/// Fails with [`Failure::Invalid`] if it can't.
pub fn checked(name: &str) -> Result<&str, Failure> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let fits = (1..=NAME_MAX).contains(&name.len()) && name.bytes().all(allowed);
    match name {
        "." | ".." => Err(Failure::Invalid),
        name if fits => Ok(name),
        _ => Err(Failure::Invalid),
    }
}

//! Paths of the store's interface.

use std::time::Duration;

use crate::store::Failure;

/// Longest kind or name, in bytes.
const NAME_MAX: usize = 128;

/// Returns the path of one object.
///
/// # Errors
///
/// Fails with [`Failure::Invalid`] if the kind or the name can't stand in a path.
pub(crate) fn object(kind: &str, name: &str) -> Result<String, Failure> {
    Ok(format!("{}/{}", objects(kind)?, checked(name)?))
}

/// Returns the path of all objects of a kind.
///
/// # Errors
///
/// Fails with [`Failure::Invalid`] if the kind can't stand in a path.
pub(crate) fn objects(kind: &str) -> Result<String, Failure> {
    Ok(format!("/v1/objects/{}", checked(kind)?))
}

/// Returns the path of a watch.
///
/// # Errors
///
/// Fails with [`Failure::Invalid`] if the kind can't stand in a path.
pub(crate) fn watch(kind: &str, after: u64, wait: Duration) -> Result<String, Failure> {
    let wait_ms = wait.as_millis();
    let kind = checked(kind)?;
    Ok(format!("/v1/watch/{kind}?after={after}&wait_ms={wait_ms}"))
}

fn checked(name: &str) -> Result<&str, Failure> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let fits = (1..=NAME_MAX).contains(&name.len()) && name.bytes().all(allowed);
    match name {
        "." | ".." => Err(Failure::Invalid),
        name if fits => Ok(name),
        _ => Err(Failure::Invalid),
    }
}

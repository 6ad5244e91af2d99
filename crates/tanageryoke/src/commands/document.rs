//! Conditional updates (compare-and-swap) of one document in the platform's store.

use std::time::Duration;

use error_stack::{
    Report,
    ResultExt, //
};
use monoio::time::sleep;
use platform::{
    backoff::Backoff,
    Failure,
    Store, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use serde_json::value::to_raw_value;

use crate::commands::Error;

/// Maximum number of attempts of a write whose reply was lost.
const MAX_ATTEMPTS: usize = 6;
/// Minimum and maximum backoff between two attempts.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Document and the version that was read.
#[derive(Debug, Clone)]
pub(crate) struct Document<T> {
    /// Version, or 0 if the document doesn't exist yet.
    pub(crate) version: u64,
    pub(crate) value: T,
}

/// Result of an update.
#[derive(Debug)]
pub(crate) enum Update<T> {
    /// The new value was written, as this version.
    Written(u64),
    /// Another writer changed the document first, to this value. Nothing was written.
    Conflict(Document<T>),
    /// The reply was lost, and the write may have taken effect. Holds the document if its current value,
    /// which is another one, could be read.
    Unknown(Option<Document<T>>),
}

/// Reads the document `name`.
///
/// # Errors
///
/// Fails if the store is unavailable or the document can't be parsed.
pub(crate) async fn read<T, S>(store: &S, name: &str) -> Result<Document<T>, Report<Error>>
where
    T: Default + DeserializeOwned,
    S: Store,
{
    let object = store
        .read(config::KIND, name)
        .await
        .change_context(Error::Platform)?;
    let Some(object) = object else {
        return Ok(Document {
            version: 0,
            value: T::default(),
        });
    };
    let value = serde_json::from_str(object.value.get())
        .change_context(Error::Document)
        .attach_with(|| format!("document {name}, version {}", object.version))?;
    Ok(Document {
        version: object.version,
        value,
    })
}

/// Writes `next` if the document still has the version of `base`.
///
/// If the reply to a write is lost, the document is read to find out whether the write took effect. While
/// the document is unchanged the write may still be in transit, so it is sent again with the same expected
/// version: only one of the two can take effect.
///
/// # Errors
///
/// Fails if nothing was written because the store rejected the write or is unavailable.
pub(crate) async fn write<T, S>(
    store: &S,
    name: &str,
    base: &Document<T>,
    next: &T,
) -> Result<Update<T>, Report<Error>>
where
    T: Default + PartialEq + DeserializeOwned + Serialize,
    S: Store,
{
    let value = to_raw_value(next).change_context(Error::Document)?;
    let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
    let mut in_doubt = false;
    for _ in 0..MAX_ATTEMPTS {
        match store.write(config::KIND, name, base.version, &value).await {
            Ok(version) => return Ok(Update::Written(version)),
            Err(Failure::Conflict { .. }) if !in_doubt => {
                return read(store, name).await.map(Update::Conflict);
            }
            Err(failure) if failure.may_have_taken_effect() => in_doubt = true,
            Err(failure) if !in_doubt => return Err(failure).change_context(Error::NotWritten),
            Err(_) => {}
        }
        match read::<T, S>(store, name).await {
            Ok(now) if now.version > base.version && now.value == *next => {
                return Ok(Update::Written(now.version));
            }
            Ok(now) if now.version != base.version => return Ok(Update::Unknown(Some(now))),
            _ => sleep(backoff.next_wait()).await,
        }
    }
    Ok(Update::Unknown(None))
}

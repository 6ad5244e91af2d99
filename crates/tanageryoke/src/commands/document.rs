//! Conditional updates of one document of the platform.

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

/// Tries of a write whose reply was lost.
const TRIES_MAX: usize = 6;
/// Shortest and longest wait between two tries.
const WAIT: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// A document as it was read.
#[derive(Debug, Clone)]
pub(crate) struct Document<T> {
    /// Version, 0 if there is none yet.
    pub(crate) version: u64,
    pub(crate) value: T,
}

/// How an update ended.
#[derive(Debug)]
pub(crate) enum Update<T> {
    /// It is written, with this version.
    Done(u64),
    /// Somebody else changed the document first; nothing was written.
    Raced(Document<T>),
    /// The reply was lost and the document says something else by now; it may have been written
    /// in between.
    Unknown(Option<Document<T>>),
}

/// Reads the document `name`.
///
/// # Errors
///
/// Fails if the platform can't be reached or the document can't be understood.
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

/// Writes `next` if the document still is the one that `base` was read from.
///
/// A write whose reply was lost is settled by reading. While the document is still the old one the
/// write may be on its way, so it is sent again with the same expected version: only one of both
/// can take effect.
///
/// # Errors
///
/// Fails if nothing was written because the platform refused or can't be reached.
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
    let mut backoff = Backoff::new(WAIT.0, WAIT.1);
    let mut in_doubt = false;
    for _ in 0..TRIES_MAX {
        match store.write(config::KIND, name, base.version, &value).await {
            Ok(version) => return Ok(Update::Done(version)),
            Err(Failure::Conflict { .. }) if !in_doubt => {
                return read(store, name).await.map(Update::Raced);
            }
            Err(failure) if failure.may_have_taken_effect() => in_doubt = true,
            Err(failure) if !in_doubt => return Err(failure).change_context(Error::NotWritten),
            Err(_) => {}
        }
        match read::<T, S>(store, name).await {
            Ok(now) if now.version > base.version && now.value == *next => {
                return Ok(Update::Done(now.version));
            }
            Ok(now) if now.version != base.version => return Ok(Update::Unknown(Some(now))),
            _ => sleep(backoff.next_wait()).await,
        }
    }
    Ok(Update::Unknown(None))
}

//! Idempotency keys.

use uuid::{
    Uuid,
    Version, //
};
use xxhash_rust::xxh3;

use crate::PARTITIONS;

/// Time after a key's creation during which it is valid, in milliseconds.
pub const WINDOW_MS: u64 = 15 * 60 * 1000;
/// Maximum time by which a key may be ahead of this instance's clock, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 60 * 1000;
/// Length of one bucket of the window, in milliseconds.
pub const BUCKET_MS: u64 = 60 * 1000;

/// Why a key is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The key isn't a UUID of version 7.
    Malformed,
    /// The key is older than the window.
    Expired,
    /// The key's time is too far ahead of this instance's clock.
    InFuture,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Malformed => f.write_str("key isn't a UUID of version 7"),
            Self::Expired => f.write_str("key is older than the window"),
            Self::InFuture => f.write_str("key's time is in the future"),
        }
    }
}

impl std::error::Error for Fault {}

/// A UUID of version 7 within the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    id: Uuid,
    unix_ms: u64,
}

impl Key {
    /// Parses a key at the time `now_ms`, in milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails if the key is malformed, older than [`WINDOW_MS`] or further ahead than
    /// [`MAX_CLOCK_SKEW_MS`].
    pub fn parse(text: &str, now_ms: u64) -> Result<Self, Fault> {
        let id = Uuid::try_parse(text).map_err(|_| Fault::Malformed)?;
        let unix_ms = unix_ms(id).ok_or(Fault::Malformed)?;
        match unix_ms {
            time if time.saturating_add(WINDOW_MS) < now_ms => Err(Fault::Expired),
            time if time > now_ms.saturating_add(MAX_CLOCK_SKEW_MS) => Err(Fault::InFuture),
            unix_ms => Ok(Self { id, unix_ms }),
        }
    }

    /// Returns the key's UUID.
    pub fn id(&self) -> Uuid {
        self.id
    }

    /// Returns the key's time, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.unix_ms
    }

    /// Returns the number of the bucket that the key belongs to.
    pub fn bucket(&self) -> u64 {
        self.unix_ms / BUCKET_MS
    }

    /// Returns the partition that the key belongs to.
    pub fn partition(&self) -> u32 {
        partition(self.id)
    }
}

/// Returns the partition of the key `text`, or 0 if the key is malformed.
pub(crate) fn partition_of(text: &str) -> u32 {
    Uuid::try_parse(text).map_or(0, partition)
}

/// Returns the hash of a call's service and body, as 16 hexadecimal digits.
pub(crate) fn fingerprint(service: &str, body: &[u8]) -> String {
    let mut hash = xxh3::Xxh3::new();
    hash.update(&(service.len() as u64).to_le_bytes());
    hash.update(service.as_bytes());
    hash.update(body);
    format!("{:016x}", hash.digest())
}

fn partition(id: Uuid) -> u32 {
    (xxh3::xxh3_64(id.as_bytes()) % u64::from(PARTITIONS)) as u32
}

fn unix_ms(id: Uuid) -> Option<u64> {
    if id.get_version() != Some(Version::SortRand) {
        return None;
    }
    let bytes = id.as_bytes();
    let mut time = [0; 8];
    time[2..].copy_from_slice(&bytes[..6]);
    Some(u64::from_be_bytes(time))
}

//! The value of a partition's object.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;
use uuid::Uuid;

use crate::key::{
    Key,
    BUCKET_MS,
    WINDOW_MS, //
};

/// Maximum size of a value that is read or written, in bytes.
pub const MAX_VALUE_BYTES: usize = 1000 * 1000;
/// Size below which a value accepts new keys, in bytes; the rest of [`MAX_VALUE_BYTES`]
/// is reserved for their outcomes.
pub const MAX_VALUE_FOR_CLAIMS_BYTES: usize = 640 * 1024;
/// Size from which on the oldest payloads of a value are dropped, in bytes.
pub const MAX_VALUE_FOR_PAYLOADS_BYTES: usize = 512 * 1024;
/// Maximum size of a payload that is recorded, in bytes; a larger one is recorded as its hash only.
pub const MAX_PAYLOAD_BYTES: usize = 4 * 1024;
/// Length to which a recorded server name is cut, in bytes.
const MAX_SERVER_BYTES: usize = 64;

/// Why a value can't be decoded or encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The value doesn't have the structure of a partition.
    Malformed,
    /// The value is larger than [`MAX_VALUE_BYTES`].
    Oversized,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Malformed => f.write_str("partition is malformed"),
            Self::Oversized => f.write_str("partition exceeds the size limit"),
        }
    }
}

impl std::error::Error for Fault {}

/// State of a key's call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum State {
    /// The key is claimed and the call may have been sent.
    Claimed {
        /// Id of the claim; unique across all instances and their restarts.
        by: Arc<str>,
        /// Time of the claim by the claimant's clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A backend server replied.
    Done {
        /// Status of the reply.
        status: u32,
        /// Name of the backend server.
        server: Arc<str>,
        /// Hash of the payload, as 16 hexadecimal digits.
        digest: Arc<str>,
        /// The payload, if it is UTF-8, at most [`MAX_PAYLOAD_BYTES`] long and wasn't dropped to
        /// save space.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        payload: Option<Arc<str>>,
    },
    /// The call was sent and may have run, but there was no usable reply.
    Unknown,
    /// The call didn't run; a later request may claim the key again.
    NotRun,
    /// The call never ran and the key can't be claimed any more; the caller has to use a new key.
    Void,
}

impl State {
    /// Returns the outcome of a call that a backend server replied to.
    pub fn done(status: u32, server: &str, payload: &[u8]) -> Self {
        let end = server.floor_char_boundary(MAX_SERVER_BYTES);
        let text = std::str::from_utf8(payload)
            .ok()
            .filter(|text| text.len() <= MAX_PAYLOAD_BYTES);
        Self::Done {
            status,
            server: Arc::from(&server[..end]),
            digest: format!("{:016x}", xxhash_rust::xxh3::xxh3_64(payload)).into(),
            payload: text.map(Arc::from),
        }
    }

    /// Drops the payload and returns its length in bytes.
    fn drop_payload(&mut self) -> usize {
        match self {
            Self::Done { payload, .. } => payload.take().map_or(0, |text| text.len()),
            _ => 0,
        }
    }
}

/// One key's call and its state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Hash of the call's service and body, as 16 hexadecimal digits.
    pub fingerprint: Arc<str>,
    /// State of the call.
    pub state: State,
}

impl Entry {
    /// Returns whether the key is claimed by the claim `id` and has no outcome.
    pub fn is_claimed_by(&self, id: &str) -> bool {
        matches!(&self.state, State::Claimed { by, .. } if **by == *id)
    }
}

/// Keys of one partition, in buckets of one minute.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Time before which keys are rejected, in milliseconds since the Unix epoch. Raised in the same
    /// update that drops their buckets.
    pub floor_ms: u64,
    /// Entries by minute since the Unix epoch, then by key.
    pub buckets: BTreeMap<u64, BTreeMap<Uuid, Entry>>,
}

impl Object {
    /// Decodes the value of an object.
    ///
    /// # Errors
    ///
    /// Fails if the value is too large or isn't a partition.
    pub fn decode(text: &str) -> Result<Self, Fault> {
        if text.len() > MAX_VALUE_BYTES {
            return Err(Fault::Oversized);
        }
        serde_json::from_str(text).map_err(|_| Fault::Malformed)
    }

    /// Encodes the value of an object; drops the oldest payloads if it reaches
    /// [`MAX_VALUE_FOR_PAYLOADS_BYTES`].
    ///
    /// # Errors
    ///
    /// Fails if the value is still larger than [`MAX_VALUE_BYTES`].
    pub fn encode(&mut self) -> Result<Box<RawValue>, Fault> {
        let value = self.to_json()?;
        let value = match value.get().len().checked_sub(MAX_VALUE_FOR_PAYLOADS_BYTES) {
            Some(excess) if self.drop_payloads(excess) => self.to_json()?,
            _ => value,
        };
        match value.get().len() > MAX_VALUE_BYTES {
            true => Err(Fault::Oversized),
            false => Ok(value),
        }
    }

    fn to_json(&self) -> Result<Box<RawValue>, Fault> {
        serde_json::value::to_raw_value(self).map_err(|_| Fault::Malformed)
    }

    /// Drops the oldest payloads until more than `bytes` bytes are dropped or none are left;
    /// returns whether any were dropped.
    fn drop_payloads(&mut self, bytes: usize) -> bool {
        let entries = self.buckets.values_mut().flat_map(BTreeMap::values_mut);
        let mut dropped = 0;
        for entry in entries {
            dropped += entry.state.drop_payload();
            if dropped > bytes {
                break;
            }
        }
        dropped > 0
    }

    /// Returns the entry of `key`.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.buckets.get(&key.bucket())?.get(&key.id())
    }

    /// Returns a mutable reference to the entry of `key`.
    pub fn get_mut(&mut self, key: &Key) -> Option<&mut Entry> {
        self.buckets.get_mut(&key.bucket())?.get_mut(&key.id())
    }

    /// Sets the entry of `key`.
    pub fn insert(&mut self, key: &Key, entry: Entry) {
        self.buckets
            .entry(key.bucket())
            .or_default()
            .insert(key.id(), entry);
    }

    /// Returns whether the bucket of `key` has been dropped or may have been.
    pub fn is_below_floor(&self, key: &Key) -> bool {
        key.unix_ms() < self.floor_ms
    }

    /// Drops the buckets that are older than the window at `now_ms` and raises the floor
    /// accordingly.
    ///
    /// The floor is also limited by the newest key, so that an instance whose clock runs ahead
    /// can't expire the keys of others.
    pub fn sweep(&mut self, now_ms: u64) {
        let Some((newest, _)) = self.buckets.last_key_value() else {
            return;
        };
        let newest_ms = newest.saturating_add(1).saturating_mul(BUCKET_MS);
        let oldest_ms = newest_ms.min(now_ms).saturating_sub(WINDOW_MS);
        let floor = oldest_ms / BUCKET_MS;
        if floor * BUCKET_MS <= self.floor_ms {
            return;
        }
        self.floor_ms = floor * BUCKET_MS;
        self.buckets = self.buckets.split_off(&floor);
    }
}

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

/// Longest value that is read or written, in bytes.
pub const VALUE_MAX: usize = 1000 * 1000;
/// Size up to which new keys are taken in, in bytes; the rest is room for their outcomes.
pub const CLAIMS_MAX: usize = 640 * 1024;
/// Size above which the oldest payloads are dropped, in bytes.
pub const PAYLOADS_MAX: usize = 512 * 1024;
/// Longest payload that is recorded, in bytes.
pub const PAYLOAD_MAX: usize = 4 * 1024;
/// Longest server name that is recorded, in bytes.
const SERVER_MAX: usize = 64;

/// Why a value can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It doesn't have the form of a partition.
    Malformed,
    /// It is longer than [`VALUE_MAX`].
    Oversized,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Malformed => f.write_str("partition is malformed"),
            Self::Oversized => f.write_str("partition is over its size"),
        }
    }
}

impl std::error::Error for Fault {}

/// What is known of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum State {
    /// It is claimed and may have been sent.
    Claimed {
        /// Identifies the claim; unique over all instances and their restarts.
        by: Arc<str>,
        /// Time by the claimant's clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A backend server answered.
    Done {
        /// Status of the answer.
        status: u32,
        /// Name of the backend server.
        server: Arc<str>,
        /// Hash of the payload, as 16 hexadecimal digits.
        digest: Arc<str>,
        /// The payload, if it is text and short enough and there was room for it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        payload: Option<Arc<str>>,
    },
    /// It was sent and no answer came.
    Unknown,
    /// It didn't run; a later request may claim the key again.
    NotRun,
    /// It never ran and can't be claimed any more; the caller takes a new key.
    Void,
}

impl State {
    /// Makes the outcome of an answered call.
    pub fn done(status: u32, server: &str, payload: &[u8]) -> Self {
        let end = server.floor_char_boundary(SERVER_MAX);
        let text = std::str::from_utf8(payload)
            .ok()
            .filter(|text| text.len() <= PAYLOAD_MAX);
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

/// One key's call and what is known of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Fingerprint of the call, as 16 hexadecimal digits.
    pub fingerprint: Arc<str>,
    /// What is known of it.
    pub state: State,
}

impl Entry {
    /// Returns whether it is the claim `id` without an outcome.
    pub fn is_claimed_by(&self, id: &str) -> bool {
        matches!(&self.state, State::Claimed { by, .. } if **by == *id)
    }
}

/// Keys of one partition, in buckets of one minute.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Keys with an earlier time are refused; raised in the update that drops their buckets.
    pub floor_ms: u64,
    /// Entries by key, by minute since the Unix epoch.
    pub buckets: BTreeMap<u64, BTreeMap<Uuid, Entry>>,
}

impl Object {
    /// Reads the value of an object.
    ///
    /// # Errors
    ///
    /// Fails if the value is too long or isn't a partition.
    pub fn decode(text: &str) -> Result<Self, Fault> {
        if text.len() > VALUE_MAX {
            return Err(Fault::Oversized);
        }
        serde_json::from_str(text).map_err(|_| Fault::Malformed)
    }

    /// Makes the value of an object; drops the oldest payloads if it would be long.
    ///
    /// # Errors
    ///
    /// Fails if the value would be too long even so.
    pub fn encode(&mut self) -> Result<Box<RawValue>, Fault> {
        let value = self.write()?;
        let value = match value.get().len().checked_sub(PAYLOADS_MAX) {
            Some(excess) if self.drop_payloads(excess) => self.write()?,
            _ => value,
        };
        match value.get().len() > VALUE_MAX {
            true => Err(Fault::Oversized),
            false => Ok(value),
        }
    }

    fn write(&self) -> Result<Box<RawValue>, Fault> {
        serde_json::value::to_raw_value(self).map_err(|_| Fault::Malformed)
    }

    /// Drops the oldest payloads, `bytes` of them or all; returns whether there were any.
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

    /// Returns the entry of `key` for a change.
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

    /// Returns whether the bucket of `key` was or may have been dropped.
    pub fn is_below_floor(&self, key: &Key) -> bool {
        key.unix_ms() < self.floor_ms
    }

    /// Drops the buckets that are past the window at `now_ms` and raises the floor over them.
    ///
    /// The newest key bounds the floor too, so that an instance whose clock runs ahead can't expire
    /// the keys of others.
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

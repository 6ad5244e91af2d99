//! The bounded log of the requests that the servers received.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Records kept; when there are more, the oldest are dropped and counted.
const RECORDS_MAX: usize = 1_000_000;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Query of one shard.
    Query,
    /// A call.
    Call,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It ran to completion.
    Done,
    /// It was cancelled while queued or running.
    Cancelled,
    /// The server shed it without running it.
    Shed,
    /// Its deadline passed in the queue, so it didn't run.
    Deadline,
    /// The server doesn't hold the snapshot or the shard in it, so it didn't run.
    Snapshot,
    /// The server was draining, so it didn't run.
    Draining,
    /// The server went down while the request was queued or running.
    Broken,
}

/// Record of one request; times are in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the log, from 1.
    pub seq: u64,
    /// Backend server.
    pub server: Arc<str>,
    /// Service of the backend server.
    pub service: Arc<str>,
    /// Shard, for a query.
    pub shard: Option<Arc<str>>,
    /// Kind of the request.
    pub kind: Kind,
    /// Request id.
    pub request: String,
    /// Attempt number.
    pub attempt: u64,
    /// Idempotency key, for a non-idempotent call.
    pub key: Option<String>,
    /// Snapshot that the request was pinned to.
    pub snapshot: Option<u64>,
    /// When it arrived.
    pub arrived_us: u64,
    /// When it got a slot.
    pub started_us: Option<u64>,
    /// When it ended.
    pub ended_us: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// The log; the oldest records are dropped when it is full.
#[derive(Debug, Default)]
pub struct Log {
    records: VecDeque<Arc<Record>>,
    last_seq: u64,
    dropped: u64,
}

impl Log {
    /// Appends a record and assigns its sequence number.
    pub fn append(&mut self, mut record: Record) {
        self.last_seq += 1;
        record.seq = self.last_seq;
        if self.records.len() == RECORDS_MAX {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(Arc::new(record));
    }

    /// Returns at most `limit` records whose sequence number is greater than `after`.
    pub fn after(&self, after: u64, limit: usize) -> Vec<Arc<Record>> {
        let first = self.records.front().map_or(0, |record| record.seq);
        let skip = (after + 1).saturating_sub(first) as usize;
        self.records
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Returns how many records were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Returns the current time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

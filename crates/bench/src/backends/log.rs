//! The bounded log of everything that the servers were asked to do.

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

/// Records kept; older ones are dropped and counted.
const RECORDS_MAX: usize = 1_000_000;

/// Kind of the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// One shard's part of a query.
    Query,
    /// A call.
    Call,
}

/// How the work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It ran to its end.
    Done,
    /// It was cancelled, queued or running.
    Cancelled,
    /// The server shed it; not run.
    Shed,
    /// Its deadline passed in the queue; not run.
    Deadline,
    /// The snapshot, or the shard in it, isn't held; not run.
    Snapshot,
    /// The server was draining; not run.
    Draining,
    /// The server went down while it was queued or running.
    Broken,
}

/// One piece of work; times are microseconds of the Unix epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the log, from 1.
    pub seq: u64,
    /// Backend server.
    pub server: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Shard, for a query.
    pub shard: Option<Arc<str>>,
    /// Kind of the work.
    pub kind: Kind,
    /// Request id.
    pub request: String,
    /// Attempt number.
    pub attempt: u64,
    /// Idempotency key, for a non-idempotent call.
    pub key: Option<String>,
    /// Snapshot that it was pinned to.
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

/// The log.
#[derive(Debug, Default)]
pub struct Log {
    records: VecDeque<Arc<Record>>,
    last: u64,
    dropped: u64,
}

impl Log {
    /// Appends a record and numbers it.
    pub fn append(&mut self, mut record: Record) {
        self.last += 1;
        record.seq = self.last;
        if self.records.len() == RECORDS_MAX {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(Arc::new(record));
    }

    /// Returns at most `limit` records after `after`.
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

    /// Returns the number of records dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Returns the time in microseconds of the Unix epoch.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

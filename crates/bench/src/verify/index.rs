//! Indexes the records and the log by request and by idempotency key.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::log::{
    Entry,
    Log, //
};
use crate::replay::Record;

/// The sends and starts of requests with one idempotency key.
#[derive(Debug, Default)]
pub(super) struct Key<'a> {
    /// Requests that callers sent with the key.
    pub(super) sends: Vec<&'a Record>,
    /// Log entries of requests that backend servers started, ordered by time.
    pub(super) starts: Vec<&'a Entry>,
}

/// Lookup tables over the inputs of the verifier.
#[derive(Debug)]
pub(super) struct Index<'a> {
    /// Whether the log contains every finished request.
    pub(super) complete: bool,
    requests: HashMap<&'a str, Vec<&'a Entry>>,
    keys: BTreeMap<&'a str, Key<'a>>,
}

impl<'a> Index<'a> {
    /// Builds the tables.
    pub(super) fn new(records: &'a [Record], log: &'a Log) -> Self {
        let mut index = Self {
            complete: !log.is_partial(),
            requests: HashMap::new(),
            keys: BTreeMap::new(),
        };
        for entry in &log.records {
            index.requests.entry(entry.base()).or_default().push(entry);
        }
        index.add_sends(records);
        index.add_starts(log);
        index
    }

    fn add_sends(&mut self, records: &'a [Record]) {
        for record in records {
            if let Some(key) = &record.key {
                self.keys.entry(key).or_default().sends.push(record);
            }
        }
    }

    /// Adds the starts of each key, including those that reached the backend server without the key.
    fn add_starts(&mut self, log: &'a Log) {
        let owners: HashMap<&str, &str> = self
            .keys
            .iter()
            .flat_map(|(key, known)| {
                known
                    .sends
                    .iter()
                    .map(|send| (send.backend_request_id(), *key))
            })
            .collect();
        for entry in log
            .records
            .iter()
            .filter(|entry| entry.started_us.is_some())
        {
            let owner = owners.get(entry.base()).copied();
            if let Some(key) = entry.key.as_deref().or(owner) {
                self.keys.entry(key).or_default().starts.push(entry);
            }
        }
        for known in self.keys.values_mut() {
            known.starts.sort_by_key(|entry| entry.started_us);
        }
    }

    /// Returns the log entries of a request.
    pub(super) fn request(&self, request: &str) -> &[&'a Entry] {
        self.requests.get(request).map_or(&[], Vec::as_slice)
    }

    /// Returns the sends and starts of a key.
    pub(super) fn key(&self, key: &str) -> Option<&Key<'a>> {
        self.keys.get(key)
    }

    /// Returns all keys with their sends and starts.
    pub(super) fn keys(&self) -> impl Iterator<Item = (&str, &Key<'a>)> {
        self.keys.iter().map(|(key, known)| (*key, known))
    }
}

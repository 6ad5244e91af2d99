//! Load on the backend servers.

use std::collections::{
    HashMap,
    HashSet, //
};

use crate::verify::log::{
    Entry,
    Log, //
};

/// Sub-requests that backend servers started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// All that were started.
    pub started: u64,
    /// Those that were needed: the first of each part or call.
    pub needed: u64,
}

impl Load {
    /// Returns the load beyond what was needed, as a share of it.
    pub fn extra(self) -> f64 {
        match self.needed {
            0 => 0.0,
            needed => self.started as f64 / needed as f64 - 1.0,
        }
    }

    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.started += other.started;
        self.needed += other.needed;
    }
}

/// Loads by request, and what else the log tells.
#[derive(Debug, Default)]
pub struct Loads<'a> {
    by_request: HashMap<&'a str, Load>,
    by_key: HashMap<&'a str, u64>,
}

impl<'a> Loads<'a> {
    /// Counts the starts in a log.
    pub fn count(log: &'a Log) -> Self {
        let mut loads = Self::default();
        let mut seen = HashSet::new();
        for entry in log
            .records
            .iter()
            .filter(|entry| entry.started_us.is_some())
        {
            loads.start(entry, seen.insert(&*entry.request));
        }
        loads
    }

    fn start(&mut self, entry: &'a Entry, first: bool) {
        let load = self.by_request.entry(entry.base()).or_default();
        load.started += 1;
        load.needed += u64::from(first);
        if let Some(key) = &entry.key {
            *self.by_key.entry(key).or_default() += 1;
        }
    }

    /// Returns the load of one request.
    pub fn of(&self, request: &str) -> Load {
        self.by_request.get(request).copied().unwrap_or_default()
    }

    /// Returns how often work with `key` was started.
    pub fn starts(&self, key: &str) -> u64 {
        self.by_key.get(key).copied().unwrap_or_default()
    }
}

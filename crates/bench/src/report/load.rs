//! Load on the backend servers, from their log.

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
    /// All sub-requests that were started.
    pub started: u64,
    /// The needed ones: the first of each part or call.
    pub needed: u64,
}

impl Load {
    /// Returns the load beyond the needed one, as a share of it.
    pub fn extra_share(self) -> f64 {
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

/// Load by request, and starts by idempotency key.
#[derive(Debug, Default)]
pub struct Loads<'a> {
    by_request: HashMap<&'a str, Load>,
    by_key: HashMap<&'a str, u64>,
}

impl<'a> Loads<'a> {
    /// Counts the sub-requests that were started, from a log.
    pub fn count(log: &'a Log) -> Self {
        let mut loads = Self::default();
        let mut seen = HashSet::new();
        for entry in log
            .records
            .iter()
            .filter(|entry| entry.started_us.is_some())
        {
            loads.add_start(entry, seen.insert(&*entry.request));
        }
        loads
    }

    fn add_start(&mut self, entry: &'a Entry, is_initial: bool) {
        let load = self.by_request.entry(entry.base()).or_default();
        load.started += 1;
        load.needed += u64::from(is_initial);
        if let Some(key) = &entry.key {
            *self.by_key.entry(key).or_default() += 1;
        }
    }

    /// Returns the load that one request caused.
    pub fn of_request(&self, request: &str) -> Load {
        self.by_request.get(request).copied().unwrap_or_default()
    }

    /// Returns how often work with the idempotency key `key` was started.
    pub fn starts(&self, key: &str) -> u64 {
        self.by_key.get(key).copied().unwrap_or_default()
    }
}

//! Counters and latency metrics of a relay.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use opentelemetry::{
    metrics::{
        Histogram,
        Meter as Source, //
    },
    KeyValue,
};
use serde::{
    Serialize,
    Serializer, //
};

/// A monotonic counter; clones count together.
#[derive(Debug, Default, Clone)]
pub struct Counter(Rc<Cell<u64>>);

impl Counter {
    /// Adds `number`.
    pub fn add(&self, number: u64) {
        self.0.set(self.0.get() + number);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Serialize for Counter {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.get())
    }
}

/// Counters of a relay, and the latency histogram of its answers.
#[derive(Debug, Serialize)]
pub struct Meter {
    /// Requests received.
    pub requests: Counter,
    /// Requests answered with success.
    pub served: Counter,
    /// Queries answered without all shards.
    pub partial: Counter,
    /// Requests answered with 503, and those refused before they were routed.
    pub refused: Counter,
    /// Requests refused because servers crashed under them.
    pub quarantined: Counter,
    /// Sub-requests under which the server crashed.
    pub crashes: Counter,
    /// Requests that ended with another error.
    pub failures: Counter,
    /// Requests whose caller disconnected before the answer.
    pub abandoned: Counter,
    /// Sub-requests to backend servers.
    pub exchanges: Counter,
    /// Hedges that were sent.
    pub hedges: Counter,
    /// Hedges that the retry budget didn't allow.
    pub unhedged: Counter,
    /// Retries that were sent.
    pub retries: Counter,
    /// Sub-requests that the server stated it didn't run.
    pub shed: Counter,
    /// Sub-requests that reached another server at the address.
    pub misplaced: Counter,
    /// Sub-requests to which the server replied with an error.
    pub failed: Counter,
    /// Sub-requests that ended without a complete reply.
    pub broken: Counter,
    /// Sub-requests whose reply was invalid or belonged to another request.
    pub wrong: Counter,
    /// Store entries and configurations that can't be parsed.
    pub unreadable: Counter,
    /// Health checks that were started.
    pub checks: Counter,
    /// Requests that a peer answered.
    pub delegated: Counter,
    /// Requests that a peer declined.
    pub declined: Counter,
    /// Requests passed on to a peer that didn't reply.
    pub peer_failures: Counter,
    /// Times that the links to all backend servers were lost.
    pub links_lost: Counter,
    /// Requests that no peer accepted while the links were lost.
    pub unlinked: Counter,
    /// Readings of the store that a watcher supplied.
    pub supplied: Counter,
    /// Reads of the store because no watcher supplied a reading.
    pub unsupplied: Counter,
    /// Polls of other instances for readings of the store.
    pub feed_polls: Counter,
    #[serde(skip)]
    latency: Histogram<f64>,
}

impl Meter {
    /// Creates the counters and registers the histogram.
    pub fn new(source: &Source) -> Self {
        let latency = source
            .f64_histogram("tanageryoke_relay_latency_seconds")
            .with_description("Time from the arrival of a request to its answer, by outcome.")
            .with_boundaries(vec![
                0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0,
            ])
            .build();
        Self {
            requests: Counter::default(),
            served: Counter::default(),
            partial: Counter::default(),
            refused: Counter::default(),
            quarantined: Counter::default(),
            crashes: Counter::default(),
            failures: Counter::default(),
            abandoned: Counter::default(),
            exchanges: Counter::default(),
            hedges: Counter::default(),
            unhedged: Counter::default(),
            retries: Counter::default(),
            shed: Counter::default(),
            misplaced: Counter::default(),
            failed: Counter::default(),
            broken: Counter::default(),
            wrong: Counter::default(),
            unreadable: Counter::default(),
            checks: Counter::default(),
            delegated: Counter::default(),
            declined: Counter::default(),
            peer_failures: Counter::default(),
            links_lost: Counter::default(),
            unlinked: Counter::default(),
            supplied: Counter::default(),
            unsupplied: Counter::default(),
            feed_polls: Counter::default(),
            latency,
        }
    }

    /// Records the latency of one answer.
    pub fn record_latency(&self, outcome: &'static str, latency: Duration) {
        let outcome = KeyValue::new("outcome", outcome);
        self.latency.record(latency.as_secs_f64(), &[outcome]);
    }
}

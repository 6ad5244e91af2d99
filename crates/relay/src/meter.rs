//! What a relay counts.

use std::{
    cell::Cell,
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

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Adds `number`.
    pub fn add(&self, number: u64) {
        self.0.set(self.0.get() + number);
    }

    /// Returns the sum.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Serialize for Count {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.get())
    }
}

/// Counters of a relay, and the latencies of its answers.
#[derive(Debug, Serialize)]
pub struct Meter {
    /// Requests read.
    pub requests: Count,
    /// Requests answered with success.
    pub served: Count,
    /// Answers that lack a shard.
    pub partial: Count,
    /// Requests refused before a server was asked.
    pub refused: Count,
    /// Requests that ended with another failure.
    pub failures: Count,
    /// Requests whose caller left before the answer.
    pub abandoned: Count,
    /// Exchanges with servers.
    pub exchanges: Count,
    /// Exchanges for a second server because the first was slow.
    pub hedges: Count,
    /// Hedges that the bound on further sub-requests didn't allow.
    pub unhedged: Count,
    /// Exchanges after a failure.
    pub retries: Count,
    /// Exchanges that a server stated not to have run.
    pub shed: Count,
    /// Exchanges that met another server at the address.
    pub misplaced: Count,
    /// Exchanges that a server answered with its own failure.
    pub failed: Count,
    /// Exchanges that ended without a whole answer.
    pub broken: Count,
    /// Exchanges whose answer wasn't one to the request.
    pub wrong: Count,
    /// Entries of the store that name no server, and configurations that can't be used.
    pub unreadable: Count,
    /// Health checks.
    pub checks: Count,
    /// Queries that a peer gathered.
    pub delegated: Count,
    /// Queries that a peer declined.
    pub declined: Count,
    /// Queries that a peer didn't answer.
    pub peer_failures: Count,
    #[serde(skip)]
    latency: Histogram<f64>,
}

impl Meter {
    /// Makes the instruments.
    pub fn new(source: &Source) -> Self {
        let latency = source
            .f64_histogram("tanageryoke_relay_latency_seconds")
            .with_description("Time from the arrival of a request to its answer, by outcome.")
            .with_boundaries(vec![
                0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0,
            ])
            .build();
        Self {
            requests: Count::default(),
            served: Count::default(),
            partial: Count::default(),
            refused: Count::default(),
            failures: Count::default(),
            abandoned: Count::default(),
            exchanges: Count::default(),
            hedges: Count::default(),
            unhedged: Count::default(),
            retries: Count::default(),
            shed: Count::default(),
            misplaced: Count::default(),
            failed: Count::default(),
            broken: Count::default(),
            wrong: Count::default(),
            unreadable: Count::default(),
            checks: Count::default(),
            delegated: Count::default(),
            declined: Count::default(),
            peer_failures: Count::default(),
            latency,
        }
    }

    /// Records the latency of one answer.
    pub fn answered(&self, outcome: &'static str, latency: Duration) {
        let outcome = KeyValue::new("outcome", outcome);
        self.latency.record(latency.as_secs_f64(), &[outcome]);
    }
}

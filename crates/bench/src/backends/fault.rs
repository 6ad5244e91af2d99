//! Faults of one backend server.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use super::sizes::Spec;

/// How a reply is spoilt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Garble {
    /// It isn't.
    #[default]
    None,
    /// The body ends before its declared length.
    Truncate,
    /// It names another request.
    WrongRequest,
    /// It isn't HTTP.
    Nonsense,
    /// It is sent twice.
    Duplicate,
    /// Its head declares two lengths.
    TwoLengths,
}

/// A change of the faults of some servers; a field that isn't given stays as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Name of the server, all if it isn't given.
    pub name: Option<Arc<str>>,
    /// Service of the servers, all if it isn't given.
    pub service: Option<Arc<str>>,
    /// Availability zone of the servers, all if it isn't given.
    pub zone: Option<Arc<str>>,
    /// Clears every fault before the other fields apply.
    pub clear: bool,
    /// Factor on every service time.
    pub slow_factor: Option<f64>,
    /// Share of the requests that are served slowly.
    pub straggler_share: Option<f64>,
    /// Factor on the service time of these requests.
    pub straggler_factor: Option<f64>,
    /// Connections are refused and open ones are cut.
    pub down: Option<bool>,
    /// Nothing is answered.
    pub freeze: Option<bool>,
    /// Every new request is shed.
    pub shed: Option<bool>,
    /// Number of requests that a cold start slows down, from now on.
    pub cold: Option<u32>,
    /// New requests are refused as draining.
    pub drain: Option<bool>,
    /// How replies are spoilt.
    pub garble: Option<Garble>,
    /// Time that a finished reply is held back, in milliseconds.
    pub late: Option<u64>,
    /// Load that `/load` claims in place of the true one.
    pub load: Option<f64>,
    /// Whether the log notes the server as leaving from now on.
    pub leaving: Option<bool>,
}

impl Change {
    /// Returns whether the change is for the server.
    pub fn is_for(&self, spec: &Spec) -> bool {
        let matches = |wanted: &Option<Arc<str>>, value: &Arc<str>| {
            wanted.as_ref().is_none_or(|wanted| wanted == value)
        };
        matches(&self.name, &spec.name)
            && matches(&self.service, &spec.service)
            && matches(&self.zone, &spec.zone)
    }
}

/// The faults in force at one server.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Factor on every service time.
    pub slow_factor: f64,
    /// Share of the requests that are served slowly.
    pub straggler_share: f64,
    /// Factor on the service time of these requests.
    pub straggler_factor: f64,
    /// Whether connections are refused.
    pub down: bool,
    /// Whether nothing is answered.
    pub freeze: bool,
    /// Whether every new request is shed.
    pub shed: bool,
    /// Requests that a cold start still slows down.
    pub cold: u32,
    /// Whether new requests are refused as draining.
    pub drain: bool,
    /// How replies are spoilt.
    pub garble: Garble,
    /// Time that a finished reply is held back, in milliseconds.
    pub late: u64,
    /// Load that `/load` claims.
    pub load: Option<f64>,
}

impl Faults {
    /// Makes faults with only stragglers.
    pub fn new(straggler_share: f64, straggler_factor: f64) -> Self {
        Self {
            slow_factor: 1.0,
            straggler_share,
            straggler_factor,
            down: false,
            freeze: false,
            shed: false,
            cold: 0,
            drain: false,
            garble: Garble::None,
            late: 0,
            load: None,
        }
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &Change) {
        if change.clear {
            *self = Self::new(0.0, self.straggler_factor);
        }
        set(&mut self.slow_factor, change.slow_factor);
        set(&mut self.straggler_share, change.straggler_share);
        set(&mut self.straggler_factor, change.straggler_factor);
        set(&mut self.down, change.down);
        set(&mut self.freeze, change.freeze);
        set(&mut self.shed, change.shed);
        set(&mut self.cold, change.cold);
        set(&mut self.drain, change.drain);
        set(&mut self.garble, change.garble);
        set(&mut self.late, change.late);
        if change.load.is_some() {
            self.load = change.load;
        }
    }
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

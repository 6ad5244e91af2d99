//! Faults of one backend server.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use super::sizes::Spec;

/// How a reply is malformed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MalformedReply {
    /// The reply is correct.
    #[default]
    None,
    /// The connection closes before the body has its declared length.
    Truncate,
    /// The reply has another request's id.
    WrongRequest,
    /// The bytes sent are not HTTP.
    Nonsense,
    /// The reply is sent twice.
    Duplicate,
    /// The head has two `Content-Length` headers that differ.
    TwoLengths,
}

/// Request to change the faults of some servers; absent fields leave their fault unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// Name of the server; all servers if absent.
    pub name: Option<Arc<str>>,
    /// Service of the servers; all services if absent.
    pub service: Option<Arc<str>>,
    /// Availability zone of the servers; all zones if absent.
    pub zone: Option<Arc<str>>,
    /// Clears every fault before the other fields are applied.
    pub clear: bool,
    /// Factor on every service time.
    pub slow_factor: Option<f64>,
    /// Share of the requests that are stragglers, that is, are served slowly.
    pub straggler_share: Option<f64>,
    /// Factor on the service time of stragglers.
    pub straggler_factor: Option<f64>,
    /// Whether new connections are refused and open ones closed.
    pub down: Option<bool>,
    /// Whether the server sends no replies, while connections stay open.
    pub freeze: Option<bool>,
    /// Whether every new request is shed.
    pub shed: Option<bool>,
    /// Number of requests from now on that are slow because the server is warming up.
    pub cold: Option<u32>,
    /// Whether new requests are refused because the server is draining.
    pub drain: Option<bool>,
    /// How replies are malformed.
    pub garble: Option<MalformedReply>,
    /// Delay of a finished reply, in milliseconds.
    pub late: Option<u64>,
    /// Load that `/health` and `/load` report in place of the true one.
    pub load: Option<f64>,
    /// Whether the log shows the server as marked as leaving from now on.
    pub leaving: Option<bool>,
}

impl FaultChange {
    /// Returns whether the change applies to the server.
    pub fn applies_to(&self, spec: &Spec) -> bool {
        let matches = |filter: &Option<Arc<str>>, value: &Arc<str>| {
            filter.as_ref().is_none_or(|filter| filter == value)
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
    /// Share of the requests that are stragglers, that is, are served slowly.
    pub straggler_share: f64,
    /// Factor on the service time of stragglers.
    pub straggler_factor: f64,
    /// Whether new connections are refused and open ones closed.
    pub down: bool,
    /// Whether the server sends no replies, while connections stay open.
    pub freeze: bool,
    /// Whether every new request is shed.
    pub shed: bool,
    /// Requests left that are slow because the server is warming up.
    pub warmup_requests: u32,
    /// Whether new requests are refused because the server is draining.
    pub drain: bool,
    /// How replies are malformed.
    pub garble: MalformedReply,
    /// Delay of a finished reply, in milliseconds.
    pub late: u64,
    /// Load that `/health` and `/load` report in place of the true one.
    pub load: Option<f64>,
}

impl Faults {
    /// Makes faults that only cause stragglers.
    pub fn new(straggler_share: f64, straggler_factor: f64) -> Self {
        Self {
            slow_factor: 1.0,
            straggler_share,
            straggler_factor,
            down: false,
            freeze: false,
            shed: false,
            warmup_requests: 0,
            drain: false,
            garble: MalformedReply::None,
            late: 0,
            load: None,
        }
    }

    /// Applies a change to the faults.
    pub fn apply(&mut self, change: &FaultChange) {
        if change.clear {
            *self = Self::new(0.0, self.straggler_factor);
        }
        set_if_some(&mut self.slow_factor, change.slow_factor);
        set_if_some(&mut self.straggler_share, change.straggler_share);
        set_if_some(&mut self.straggler_factor, change.straggler_factor);
        set_if_some(&mut self.down, change.down);
        set_if_some(&mut self.freeze, change.freeze);
        set_if_some(&mut self.shed, change.shed);
        set_if_some(&mut self.warmup_requests, change.cold);
        set_if_some(&mut self.drain, change.drain);
        set_if_some(&mut self.garble, change.garble);
        set_if_some(&mut self.late, change.late);
        if change.load.is_some() {
            self.load = change.load;
        }
    }
}

fn set_if_some<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

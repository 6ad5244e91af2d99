//! Traces: the requests that callers send, and when.
//!
//! A trace file holds JSON lines: a [`Header`], then one [`Arrival`] per line in order of time. The
//! format is described in `docs/TRACES.md`.
//!
//! # Examples
//!
//! ```
//! use bench::trace::{
//!     self,
//!     profile::User, //
//! };
//!
//! let plan = trace::generate::Plan::new(User::Kestrel, 2, 50.0, 7);
//! let trace = trace::generate::run(&plan);
//! let text = trace::encode(&trace);
//! assert_eq!(trace::decode(text.as_bytes()).unwrap(), trace);
//! ```

pub mod command;
pub mod decode;
pub mod generate;
pub mod profile;

use std::sync::Arc;

use config::preset::Class;
use serde::{
    Deserialize,
    Serialize, //
};

pub use decode::{
    decode,
    load,
    Error, //
};

/// Version of the trace format.
pub const FORMAT: u32 = 1;

/// Whether a request is scattered or runs on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Scattered over all shards of a group.
    Query,
    /// Runs on one backend server of a service.
    Call,
}

/// When a caller sends the same request again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    /// Never.
    #[default]
    Never,
    /// At the same time as the first send.
    AtOnce,
    /// After a 5xx answer, or without an answer.
    OnFailure,
}

impl Retry {
    fn is_never(&self) -> bool {
        *self == Self::Never
    }
}

/// First line of a trace file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format.
    pub format: u32,
    /// User whose workload it is.
    pub user: profile::User,
    /// Seed of the generator.
    pub seed: u64,
    /// Length, in seconds.
    pub seconds: u64,
    /// Mean arrivals per second in an ordinary phase.
    pub rate: f64,
    /// Phases, as `mix=share` separated by commas.
    pub mix: String,
}

/// One request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// Time since the start of the trace, in microseconds.
    pub at_us: u64,
    /// Number of the caller.
    pub caller: u32,
    /// Query or call.
    pub kind: Kind,
    /// Group of a query, service of a call.
    pub target: Arc<str>,
    /// Admission class that the request is expected to get.
    pub class: Class,
    /// Timeout that the caller sends, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Seed of the idempotency key, for a request that isn't idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<u64>,
    /// Number of merged hits that the caller requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top: Option<u32>,
    /// When the caller sends the request again.
    #[serde(default, skip_serializing_if = "Retry::is_never")]
    pub retry: Retry,
}

/// A decoded trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// The first line.
    pub header: Header,
    /// The requests, in order of arrival.
    pub arrivals: Vec<Arrival>,
}

/// Encodes a trace as JSON lines.
pub fn encode(trace: &Trace) -> String {
    let mut text = encode_line(&trace.header);
    for arrival in &trace.arrivals {
        text.push_str(&encode_line(arrival));
    }
    text
}

fn encode_line<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string(value).expect("plain structs serialize");
    text.push('\n');
    text
}

//! Relays requests from callers to backend servers and returns their replies.
//!
//! A request is matched against a [`route::Table`]. It is forwarded to one server of a service, or, as
//! a query, sent to one server of each shard, whose records are merged. Servers are added and removed
//! as the store lists them.
//!
//! From the caller inwards: [`caller`] reads requests, [`relay`] matches and refuses them,
//! [`forward`] and [`gather`] make calls, a [`call`] sends sub-requests, and a [`connection`] runs one
//! exchange at a time. [`peer`] passes requests on to instances with more processor time, and [`follow`]
//! keeps routes, servers and instances in sync with the store, which it reads through a [`source`]: either
//! itself, or through the [`feed`] of an instance that does.

pub mod absence;
pub mod answer;
pub mod call;
pub mod caller;
mod compression;
pub mod connection;
mod description;
mod directory;
pub mod drain;
pub mod feed;
pub mod follow;
pub mod forward;
pub mod gather;
pub mod headers;
mod hop;
mod in_flight;
pub mod latency;
pub mod links;
mod liveness;
pub mod maintenance;
pub mod merge;
pub mod meter;
mod metered;
pub mod mirror;
pub mod peer;
pub mod peers;
pub mod quarantine;
pub mod registry;
pub mod relay;
pub mod reply;
pub mod request;
pub mod roster;
pub mod server;
pub mod service;
pub mod source;

pub use headers::HeaderNames;
pub use relay::Relay;

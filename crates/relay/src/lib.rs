//! The way of a request from its caller to backend servers and back.
//!
//! A request is matched against a [`route::Table`]. It goes to one server of a service, or, as a
//! query, to one server of each shard, whose records are merged. Servers come and go as the store
//! lists them.
//!
//! From the caller inwards: [`caller`] reads requests, [`relay`] matches and refuses them,
//! [`forward`] and [`gather`] make calls, a [`call`] makes attempts, and a [`link`] is a connection
//! on which one attempt runs at a time. [`follow`] keeps routes and servers in step with the store.

pub mod answer;
mod begun;
pub mod call;
pub mod caller;
mod description;
pub mod follow;
pub mod forward;
pub mod gather;
pub mod headers;
pub mod link;
pub mod merge;
pub mod meter;
pub mod pace;
pub mod peer;
pub mod registry;
pub mod relay;
pub mod reply;
pub mod request;
pub mod server;
pub mod service;
pub mod upkeep;

pub use headers::Headers;
pub use relay::Relay;

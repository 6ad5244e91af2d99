//! The daemons `tanageryoke serve` and `tanageryoke relay`, and the operators' commands.
//!
//! Routing, membership, connections and the other components are packages of their own. This one composes
//! them into a process, reads the settings, and exposes its logs, metrics and state.

pub mod admin;
pub mod cli;
pub mod commands;
pub mod configs;
pub mod context;
pub mod drain;
pub mod logs;
pub mod metrics;
pub mod routes;
pub mod signals;
pub mod state;

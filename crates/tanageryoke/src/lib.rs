//! The daemon `tanageryoke serve` and its commands.
//!
//! The parts that coordinate are packages of their own; this one composes them into a process, reads
//! its settings, and shows what it does.

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

//! Checks the promises of the system against what callers and backend servers saw.

pub mod fetch;
pub mod log;

pub use log::Log;

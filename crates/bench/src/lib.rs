//! The test bench of `tanageryoke`: stand-ins, recorded traces, replay, verification and reports. It isn't
//! part of a release.
//!
//! Each subcommand of the program is one module with an `Options` type and a `run` function.

pub mod backends;
pub mod balancer;
pub mod client;
pub mod compare;
pub mod demo;
pub mod listen;
pub mod model;
pub mod parameter;
pub mod plot;
pub mod proxy;
pub mod replay;
pub mod report;
pub mod response;
pub mod runtime;
pub mod servers;
pub mod soak;
pub mod socket;
pub mod store;
pub mod sweep;
pub mod trace;
pub mod verify;

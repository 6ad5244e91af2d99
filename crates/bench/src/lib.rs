//! The test bench: stand-ins, recorded traces, open-loop replay, verification and reports.

pub mod answer;
pub mod backends;
pub mod balancer;
pub mod client;
pub mod demo;
pub mod listen;
pub mod replay;
pub mod report;
pub mod runtime;
pub mod socket;
pub mod store;
pub mod trace;
pub mod verify;

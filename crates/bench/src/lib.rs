//! The test bench: recorded traces, open-loop replay, verification and reports.

pub mod plot;
pub mod replay;
pub mod report;
pub mod trace;
pub mod verify;

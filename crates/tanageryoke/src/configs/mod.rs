//! Settings, one file for each command that has any.

pub mod relay;
pub mod serve;

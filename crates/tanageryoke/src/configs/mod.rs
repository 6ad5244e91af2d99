//! Settings, one file for each command that has any.

pub mod serve;

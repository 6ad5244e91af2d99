//! Settings of the commands `serve` and `relay`.

pub mod relay;
pub mod serve;

//! The commands, one file each.

pub mod check;
pub mod dump;
pub mod error;
pub mod serve;

pub use error::Error;

//! The commands, one file each.

pub mod backend;
pub mod check;
mod document;
pub mod dump;
pub mod error;
pub mod instance;
mod marks;
mod output;
pub mod preset;
mod race;
mod reach;
pub mod relay;
pub mod serve;
mod target;

pub use error::Error;

//! The commands, one module each, and the modules that they share.

pub mod backend;
pub mod check;
mod conflict;
mod document;
pub mod dump;
pub mod error;
pub mod instance;
mod marks;
mod output;
pub mod preset;
pub mod relay;
mod rollout;
pub mod serve;
mod target;

pub use error::Error;

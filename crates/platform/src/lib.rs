//! The platform's object store: a trait, and what every client of it needs.
//!
//! The store holds versioned objects with conditional updates and watches. It may be slow or down,
//! and it may lose the reply to a write that took effect; [`Failure`] keeps these apart.
//!
//! # Examples
//!
//! ```
//! use platform::Failure;
//!
//! assert!(Failure::Lost.may_have_taken_effect());
//! assert!(!Failure::Conflict { current: 3 }.may_have_taken_effect());
//! ```

pub mod backoff;
pub mod counters;
pub mod path;
pub mod store;
pub mod transport;

pub use store::{
    Failure,
    Instance,
    Listing,
    Object,
    Store, //
};
pub use transport::Transport;

/// Longest value of an object, in bytes.
pub const VALUE_MAX: usize = 1024 * 1024;

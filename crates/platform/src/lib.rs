//! The platform's object store: its trait, and the parts that every client of it shares.
//!
//! The store holds versioned objects with conditional updates and watches. It may be slow or
//! unavailable, and the reply to a write that took effect may be lost; [`Failure`] distinguishes
//! these cases.
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

/// Maximum length of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

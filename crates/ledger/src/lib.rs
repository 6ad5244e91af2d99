//! At-most-once execution of calls that carry an idempotency key.
//!
//! The key's home claims it in the platform's object of the key's partition by conditional update
//! and sends only from its own confirmed claim. Safety rests on the conditional update alone: two
//! homes may work on one partition, and a home may be paused at any point.
//!
//! - [`object`] is the value of a partition's object.
//! - `change` holds the changes to it and what each finds.
//! - `partition` writes changes in groups and settles writes whose reply was lost.
//! - `claim` is the right to send, with its life cycle in types.
//! - [`ledger`] runs calls.
//!
//! # Examples
//!
//! ```
//! use ledger::key::Key;
//!
//! let now_ms = 1_800_000_000_000;
//! let key = Key::parse("01a3185c-5000-7000-8000-000000000001", now_ms).expect("a fresh key");
//! assert!(key.partition() < ledger::PARTITIONS);
//! assert!(Key::parse("not a key", now_ms).is_err());
//! ```

mod change;
mod claim;
mod health;
pub mod key;
pub mod ledger;
pub mod object;
mod pace;
mod partition;
mod reply;
pub mod runtime;

pub use ledger::{
    Dispatch,
    Ledger, //
};
pub use runtime::Runtime;

/// Number of partitions that keys are spread over.
pub const PARTITIONS: u32 = 64;
/// Kind of the objects that hold the partitions.
pub const KIND: &str = "ledger";

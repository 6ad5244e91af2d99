//! At-most-once execution of calls that carry an idempotency key.
//!
//! Every key belongs to a partition, which is one object in the platform's store. The instance that
//! keyed calls of a partition are passed to, their home instance, claims the key in that object by
//! a conditional update and sends the call only after its own claim is confirmed. Safety depends on
//! the conditional update alone: two home instances may work on one partition, and either may be
//! paused at any point.
//!
//! - [`object`] defines the value of a partition's object.
//! - `change` defines the changes to a partition and their results.
//! - `partition` writes changes in groups and retries writes whose reply was lost.
//! - `claim` is the right to send one call; its types enforce its life cycle.
//! - [`ledger`] runs and settles calls.
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
mod partition;
mod rate_limiter;
mod reply;
pub mod runtime;

pub use ledger::{
    Dispatch,
    Ledger, //
};
pub use runtime::Runtime;

/// Number of partitions over which keys are distributed.
pub const PARTITIONS: u32 = 64;
/// Kind of the store's objects that contain the partitions.
pub const KIND: &str = "ledger";

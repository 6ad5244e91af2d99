//! At-most-once execution of calls that carry an idempotency key.
//!
//! The key's home claims it in the platform's object of the key's partition by conditional update
//! and sends only from its own confirmed claim. Safety rests on the conditional update alone.

pub mod ledger;

pub use ledger::{
    Dispatch,
    Ledger, //
};

/// Number of partitions that keys are spread over.
pub const PARTITIONS: u32 = 64;
/// Kind of the objects that hold the partitions.
pub const KIND: &str = "ledger";

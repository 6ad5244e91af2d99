//! Membership of the fleet, ownership of services, and the spreading of configuration.
//!
//! A [`Fleet`] learns members and documents from the platform's store and from its peers. Ownership
//! is a hint for efficiency; no promise rests on it.

pub mod fleet;
pub mod member;

pub use fleet::{
    Fleet,
    Settings, //
};
pub use member::Member;

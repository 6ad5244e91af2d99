//! Membership of the fleet, ownership of services, and the spreading of configuration.
//!
//! A [`Fleet`] learns members and documents from the platform's store and from its peers. Ownership
//! is a hint for efficiency; no promise rests on it.

mod contact;
pub mod documents;
mod dump;
pub mod fleet;
mod heartbeat;
pub mod member;
mod overlay;
mod ownership;
mod pull;
mod queue;
mod record;
pub mod settings;
mod signal;
mod table;
mod watch;

pub use documents::Invalid;
pub use fleet::Fleet;
pub use member::Member;
pub use settings::Settings;

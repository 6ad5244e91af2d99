//! Membership of the fleet, ownership of services and distribution of configuration.
//!
//! A [`Fleet`] learns of members and documents from the platform's store and from its peers.
//! Ownership only makes work more efficient; no guarantee depends on it.
//!
//! # Examples
//!
//! ```
//! use fleet::{Fleet, Member, Settings};
//! use std::{rc::Rc, time::Duration};
//!
//! let local = Member {
//!     name: "entry-0".into(),
//!     address: "127.0.0.1:8081".parse().expect("an address"),
//!     zone: "northmere-a".into(),
//! };
//! let settings = Settings {
//!     local: local.clone(),
//!     seeds: Vec::new(),
//!     heartbeat: Duration::from_millis(500),
//!     direct: false,
//! };
//! let address = "127.0.0.1:9000".parse().expect("an address");
//! let store = adapter::Client::new(address, Duration::from_secs(2));
//! let fleet = Fleet::new(settings, Rc::new(store), wire::client::Peers::new());
//! // Spawn `fleet.run()` on the runtime; until then the instance knows no other one.
//! assert!(!fleet.view().is_ready());
//! assert_eq!(*fleet.owners("deskline-00")[0], local);
//! ```

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

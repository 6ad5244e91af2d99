//! Routing table: which service or services a request goes to.
//!
//! A [`Table`] is one version of the operator's configuration. It is immutable: each version is a new
//! table, and a request keeps the table that it was matched against.
//!
//! # Examples
//!
//! ```
//! use route::{
//!     Kind,
//!     Limits,
//!     Route,
//!     Table,
//!     Target, //
//! };
//! use std::time::Duration;
//!
//! let route = Route {
//!     name: "lookup".into(),
//!     host: "search.example".into(),
//!     prefix: "/lookup/".into(),
//!     kind: Kind::Idempotent,
//!     timeout: Duration::from_secs(2),
//!     objective: Duration::from_millis(100),
//!     priority: 1,
//!     max_attempts: 2,
//!     target: Target::Service("story".into()),
//! };
//! let table = Table::new(7, vec![route], Vec::new(), Limits::default());
//! assert!(table.find("search.example:80", "/lookup/42").is_some());
//! assert!(table.find("search.example", "/lookup").is_none());
//! ```

pub mod limits;
pub mod split;
pub mod table;

pub use limits::Limits;
pub use split::Split;
pub use table::{
    Gather,
    Kind,
    Route,
    Service,
    Table,
    Target, //
};

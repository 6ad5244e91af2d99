//! Handles the requests of callers: admits them, scatters queries over instances, gathers and merges
//! the partials, and answers each request once.
//!
//! [`Entry`] runs the queries and calls of callers. [`Router`] finds the instances that do the work,
//! and [`Peer`] does the work that other instances send to this one. A request ends with an
//! [`answer`] or with a [`Problem`], which says whether the request may have run.
//!
//! # Examples
//!
//! ```
//! use entry::problem::{Kind, Problem, Run};
//!
//! let problem = Problem::new(Kind::Deadline, Run::MayHaveRun, "no shard answered in time");
//! assert_eq!(problem.status(), 504);
//! ```

pub mod answer;
pub mod call;
mod collector;
pub mod entry;
pub mod gather;
pub mod meter;
pub mod peer;
pub mod pin;
pub mod probe_delay;
pub mod problem;
pub mod query;
pub mod reachability;
pub mod request;
pub mod router;
pub mod scatter;

pub use crate::{
    entry::Entry,
    peer::Peer,
    problem::Problem,
    router::Router, //
};

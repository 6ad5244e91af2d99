//! The entry: admits a request, scatters it, gathers, merges and answers once.
//!
//! [`Entry`] runs queries and calls of callers. [`Router`] finds the instance that does the work, and
//! [`Peer`] does the work that other instances send here. Outcomes are typed: an [`answer`] or a
//! [`Problem`] that says truthfully whether the request has run.
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

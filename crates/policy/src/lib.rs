//! Decisions on the request path (load balancing, hedging, retries, admission), each a small type without I/O.
//!
//! The types take the current time as an argument and hold no timer, so that they work in any runtime
//! and with a simulated clock in tests.
//!
//! # Examples
//!
//! ```
//! use policy::{
//!     hedge,
//!     latency,
//!     queue, //
//! };
//! use config::preset::Class;
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut window = latency::Window::new(Duration::from_secs(10));
//! for ms in 1..=100 {
//!     window.record(now, Duration::from_millis(ms));
//! }
//! assert!(window.quantile(0.95) >= Some(Duration::from_millis(94)));
//!
//! let mut budget = hedge::Budget::new(0.05);
//! (0..20).for_each(|_| budget.earn());
//! assert!(budget.take(hedge::Lateness::Slow));
//! assert!(!budget.take(hedge::Lateness::Slow));
//! assert!(budget.take(hedge::Lateness::Straggling));
//!
//! let mut queue = queue::Queue::new(8);
//! let deadline = now + Duration::from_millis(10);
//! let rank = queue::Rank::new(42);
//! assert!(matches!(queue.push(Class::Normal, deadline, rank, "part"), queue::Push::Queued(_)));
//! assert_eq!(queue.pop(), Some("part"));
//! ```

pub mod abandonment;
pub mod absence;
pub mod admission;
mod bucket;
pub mod choice;
pub mod completion;
pub mod concurrency;
pub mod delegation;
pub mod departure;
pub mod expiry;
pub mod hash;
pub mod health;
pub mod hedge;
pub mod hop;
pub mod latency;
pub mod links;
pub mod pause;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod refusal;
pub mod retry;
pub mod retry_budget;
pub mod slowness;
pub mod standby;
pub mod subset;
pub mod watchers;

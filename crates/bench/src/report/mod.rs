//! The report of a replay: latency, goodput, coverage, load and violations.

pub mod latency;
pub mod load;
pub mod summary;

pub use summary::{
    run,
    Summary,
    Target, //
};

//! The report of a replay: latency, goodput, coverage, backend load and violations.

pub mod expect;
pub mod latency;
pub mod load;
pub mod output;
pub mod read;
pub mod summary;
pub mod table;

pub use output::Output;
pub use summary::{
    run,
    Summary,
    Target, //
};

//! The documents that the fleet is configured by, and the view of them that is in force.
//!
//! Three documents live in the platform's store under the kind [`KIND`]: [`Presets`], [`Catalog`]
//! and [`Marks`]. Each is versioned by the store. A [`View`] is one immutable combination of them;
//! a request keeps the view that it was admitted under.
//!
//! # Examples
//!
//! ```
//! use config::{Preset, View};
//!
//! let view = View::default();
//! assert_eq!(view.preset.deadline_ms, Preset::default().deadline_ms);
//! assert!(!view.is_ready());
//! ```

pub mod catalog;
pub mod file;
pub mod marks;
pub mod preset;
pub mod presets;
mod range;
pub mod view;

pub use catalog::Catalog;
pub use marks::Marks;
pub use preset::Preset;
pub use presets::Presets;
pub use view::View;

/// Kind of the objects that hold the documents.
pub const KIND: &str = "config";

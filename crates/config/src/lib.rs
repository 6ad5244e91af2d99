//! The configuration documents of the fleet, and the view that combines them.
//!
//! Three documents live in the platform's store under the kind [`KIND`]: [`Presets`], [`Catalog`]
//! and [`Marks`]. The store versions each of them. A [`View`] is an immutable combination of the
//! three; a request keeps the view that was in force when it was admitted.
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

/// Kind of the store's objects that hold the documents.
pub const KIND: &str = "config";

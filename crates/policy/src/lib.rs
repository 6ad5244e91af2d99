//! The decisions of the answer path, each a small type without I/O.

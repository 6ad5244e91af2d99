//! The daemon `tanageryoke serve` and its commands.

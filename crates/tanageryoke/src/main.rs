//! The `tanageryoke` program.
fn main() {}

//! The `bench` program.
fn main() {}

//! Writes the committed code of the inner protocol anew.

#[path = "../tests/common/mod.rs"]
mod common;

fn main() -> std::io::Result<()> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    common::generate(&root.join("src/gen"))
}

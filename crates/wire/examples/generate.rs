//! Regenerates the committed code from `proto/wire.proto`.

#[path = "../tests/common/mod.rs"]
mod common;

fn main() -> std::io::Result<()> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    common::generate(&root.join("src/gen"))
}

//! Checks that the committed code is what `proto/wire.proto` generates.

mod common;

use std::path::Path;

#[test]
fn committed_code_is_current() {
    let out = std::env::temp_dir().join(format!("wire-generated-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("create a directory");
    common::generate(&out).expect("compile the protocol file");
    let name = "tanageryoke.wire.v1.rs";
    let fresh = std::fs::read_to_string(out.join(name)).expect("read the fresh code");
    std::fs::remove_dir_all(&out).expect("remove the directory");
    let committed = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("src/gen")
        .join(name);
    let committed = std::fs::read_to_string(committed).expect("read the committed code");
    assert!(
        fresh == committed,
        "run `cargo run -p wire --example generate`"
    );
}

//! Generates the code of the protocol without an external `protoc`.

use std::{
    io,
    path::Path, //
};

/// Generates the code of `proto/wire.proto` into the directory `out`.
///
/// # Errors
///
/// Fails if the protocol file is malformed or `out` can't be written.
pub(crate) fn generate(out: &Path) -> io::Result<()> {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = protox::compile([proto.join("wire.proto")], [&proto]).map_err(io::Error::other)?;
    tonic_prost_build::configure()
        .out_dir(out)
        .bytes(".")
        .build_transport(false)
        .compile_fds(files)
}

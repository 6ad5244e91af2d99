//! Compression of long readings of the store.
//!
//! A changed configuration goes to hundreds of instances at the same moment, over links that queries use too.

use std::io::{
    Read,
    Write, //
};

use bytes::Bytes;
use flate2::{
    read::ZlibDecoder,
    write::ZlibEncoder,
    Compression, //
};

/// Value of the `Content-Encoding` header.
pub(crate) const NAME: &str = "deflate";
/// Length below which compression isn't worth its processor time, in bytes.
const MIN_BYTES: usize = 2 * 1024;
/// Maximum length after decompression, in bytes: a listing of several objects of the maximum size.
const MAX_DECODED_BYTES: u64 = 16 * 1024 * 1024;

/// A body as it is sent.
#[derive(Debug, Clone)]
pub(crate) struct Body {
    /// The bytes.
    pub(crate) bytes: Bytes,
    /// Whether they are compressed.
    pub(crate) is_compressed: bool,
}

/// Compresses a long body.
pub(crate) fn encode(plain: Vec<u8>) -> Body {
    let compressed = match plain.len() < MIN_BYTES {
        true => None,
        false => compress(&plain),
    };
    match compressed {
        Some(compressed) => Body {
            bytes: Bytes::from(compressed),
            is_compressed: true,
        },
        None => Body {
            bytes: Bytes::from(plain),
            is_compressed: false,
        },
    }
}

fn compress(plain: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory doesn't fail; if it did, the plain body would be sent.
    encoder.write_all(plain).ok()?;
    encoder.finish().ok()
}

/// Decompresses a body; none if it isn't valid or too long.
pub(crate) fn decode(compressed: &[u8]) -> Option<Bytes> {
    let mut plain = Vec::new();
    let mut decoder = ZlibDecoder::new(compressed).take(MAX_DECODED_BYTES + 1);
    decoder.read_to_end(&mut plain).ok()?;
    (plain.len() as u64 <= MAX_DECODED_BYTES).then(|| Bytes::from(plain))
}

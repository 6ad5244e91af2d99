//! A hash that is the same in all processes and releases.

/// Returns the 64-bit FNV-1a hash, with its standard offset basis and prime.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

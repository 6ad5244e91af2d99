//! A hash that is the same in all processes and releases.

/// Returns the 64-bit FNV-1a hash, with its standard offset basis and prime.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold)
}

/// Returns a hash of a pair by which the first items are ordered differently for each second one.
pub fn of_pair(one: &str, other: &str) -> u64 {
    // FNV-1a alone orders names that differ in a few bytes alike.
    mix(fnv1a(one.as_bytes()) ^ fnv1a(other.as_bytes()).rotate_left(32))
}

/// Returns a number each bit of which depends on all bits of `hash`: the finalizer of SplitMix64.
pub fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

//! Merges the records of a query's parts in descending byte order.

use bytes::Bytes;

/// Length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// A record, ordered by its bytes.
pub type Record = [u8; RECORD_BYTES];

/// Returns the `top` greatest records of `parts` in descending order.
///
/// Duplicates are kept. Trailing bytes of a part that don't fill a record are ignored.
pub fn greatest(parts: &[Bytes], top: usize) -> Vec<u8> {
    let mut records: Vec<Record> =
        Vec::with_capacity(parts.iter().map(Bytes::len).sum::<usize>() / RECORD_BYTES);
    for part in parts {
        let whole = part.chunks_exact(RECORD_BYTES);
        records.extend(whole.filter_map(|chunk| Record::try_from(chunk).ok()));
    }
    let descending = |one: &Record, other: &Record| other.cmp(one);
    if top == 0 {
        return Vec::new();
    }
    if records.len() > top {
        records.select_nth_unstable_by(top - 1, descending);
        records.truncate(top);
    }
    records.sort_unstable_by(descending);
    records.concat()
}

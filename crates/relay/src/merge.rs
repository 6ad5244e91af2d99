//! Merging of records by their bytes.

use bytes::Bytes;

/// Bytes of one record.
pub const RECORD: usize = 16;

/// A record; records are ordered by their bytes.
pub type Record = [u8; RECORD];

/// Returns the greatest `top` records of `parts`, greatest first. Equal records all count; what is
/// left of a part after its last whole record is none.
pub fn greatest(parts: &[Bytes], top: usize) -> Vec<u8> {
    let mut records: Vec<Record> =
        Vec::with_capacity(parts.iter().map(Bytes::len).sum::<usize>() / RECORD);
    for part in parts {
        let whole = part.chunks_exact(RECORD);
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

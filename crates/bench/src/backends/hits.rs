//! Computes hits from shard, snapshot and query alone, so that a verifier can recompute them.

use std::fmt::Write;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of hits that every shard returns.
pub const COUNT: u64 = 10;

/// One hit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Document id, unique over all shards of a snapshot.
    pub id: String,
    /// Score, at least 0 and less than 1.
    pub score: f64,
}

/// Returns the hits of a query on a shard, best first.
pub fn hits(shard: &str, snapshot: u64, query: &[u8]) -> Vec<Hit> {
    let seed = xxh3_64_with_seed(query, snapshot);
    let mut hits: Vec<_> = (0..COUNT)
        .map(|index| {
            let hash = xxh3_64_with_seed(shard.as_bytes(), seed.wrapping_add(index));
            Hit {
                id: format!("{shard}/{index:02}"),
                score: (hash >> 44) as f64 / f64::from(1_u32 << 20),
            }
        })
        .collect();
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    hits
}

/// Returns the canonical JSON text of a request's query: the member `query`, or the entire body.
///
/// Members of objects are sorted, so that parsing and serializing a body again doesn't change the
/// result. A body that isn't JSON is returned as it is.
pub fn canonical(body: &[u8]) -> Vec<u8> {
    let Ok(mut value) = serde_json::from_slice::<serde_json::Value>(body) else {
        return body.to_vec();
    };
    let query = value.get_mut("query").map(serde_json::Value::take);
    query.unwrap_or(value).to_string().into_bytes()
}

/// Appends the hits as a JSON array.
pub fn write(out: &mut String, hits: &[Hit]) {
    out.push('[');
    for (index, hit) in hits.iter().enumerate() {
        let comma = if index > 0 { "," } else { "" };
        let _ = write!(
            out,
            "{comma}{{\"id\":\"{}\",\"score\":{}}}",
            hit.id, hit.score
        );
    }
    out.push(']');
}

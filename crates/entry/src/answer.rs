//! Writes answers to callers as JSON.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;
use wire::Partial;

use crate::problem::{
    Kind,
    Problem,
    Run, //
};

/// Which shards an answer covers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Coverage<'a> {
    /// Number of shards of the snapshot.
    pub shards: usize,
    /// Number of shards whose partials are merged.
    pub answered: usize,
    /// The other shards.
    pub missing: Vec<Missing<'a>>,
}

/// A shard that an answer lacks.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Missing<'a> {
    /// Name of the shard.
    pub shard: &'a str,
    /// Why it is missing.
    pub reason: String,
}

/// The preset that a request ran under.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Preset<'a> {
    /// Name of the preset.
    pub name: &'a str,
    /// Version of the presets document.
    pub version: u64,
}

/// The fields of a query's answer that precede its parts or hits.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Head<'a> {
    /// The request's id.
    pub request: String,
    /// Group that was queried.
    pub group: &'a str,
    /// Snapshot that every part was read from.
    pub snapshot: u64,
    /// The preset in force at admission.
    pub preset: Preset<'a>,
    /// Which shards are covered.
    pub coverage: Coverage<'a>,
}

/// One merged part: the shard's name and its partial.
pub type Merged<'a> = (&'a str, &'a Partial);

/// The fields of a listed part that precede its payload.
#[derive(Debug, Serialize)]
struct PartHead<'a> {
    shard: &'a str,
    server: &'a str,
}

/// Writes an answer that lists every part with its payload unchanged.
///
/// # Errors
///
/// Fails if the head can't be written.
pub fn write_parts(head: &Head<'_>, parts: &[Merged<'_>]) -> Result<Bytes, serde_json::Error> {
    let payload: usize = parts.iter().map(|(_, part)| part.payload.len()).sum();
    let mut out = Vec::with_capacity(payload + 512 + parts.len() * 96);
    serde_json::to_writer(&mut out, head)?;
    // Remove the closing brace of the head, to append a field to it.
    out.pop();
    out.extend_from_slice(b",\"parts\":[");
    for (index, (shard, part)) in parts.iter().enumerate() {
        if index > 0 {
            out.push(b',');
        }
        let part_head = PartHead {
            shard,
            server: &part.server,
        };
        serde_json::to_writer(&mut out, &part_head)?;
        out.pop();
        out.extend_from_slice(b",\"payload\":");
        out.extend_from_slice(&part.payload);
        out.push(b'}');
    }
    out.extend_from_slice(b"]}");
    Ok(Bytes::from(out))
}

/// The payload of a part that is merged by score.
#[derive(Debug, Deserialize)]
struct Page<'a> {
    #[serde(borrow)]
    hits: Vec<&'a RawValue>,
}

/// The fields of a hit that determine its rank.
#[derive(Debug, Deserialize)]
struct Rank<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
    score: f64,
}

/// Writes an answer with the best `top` hits of all parts.
///
/// Hits are ordered by score, highest first, then by id.
///
/// # Errors
///
/// Fails with [`Kind::BadReply`] if the payload of a part isn't a list of hits.
pub fn write_top(head: &Head<'_>, parts: &[Merged<'_>], top: usize) -> Result<Bytes, Problem> {
    let mut hits = Vec::new();
    for (shard, part) in parts {
        let page: Page<'_> = serde_json::from_slice(&part.payload).map_err(|_| no_hits(shard))?;
        for hit in page.hits {
            let rank: Rank<'_> = serde_json::from_str(hit.get()).map_err(|_| no_hits(shard))?;
            hits.push((rank, hit));
        }
    }
    hits.sort_by(|(a, _), (b, _)| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    hits.truncate(top);
    let mut out = serde_json::to_vec(head).map_err(|_| no_hits("head"))?;
    out.pop();
    out.extend_from_slice(b",\"hits\":[");
    for (index, (_, hit)) in hits.iter().enumerate() {
        if index > 0 {
            out.push(b',');
        }
        out.extend_from_slice(hit.get().as_bytes());
    }
    out.extend_from_slice(b"]}");
    Ok(Bytes::from(out))
}

fn no_hits(shard: &str) -> Problem {
    Problem::new(
        Kind::BadReply,
        Run::MayHaveRun,
        format!("the reply of shard {shard} holds no hits"),
    )
}

/// The fields of a call's answer that precede its payload.
#[derive(Debug, Serialize)]
struct CallHead<'a> {
    request: String,
    service: &'a str,
    server: &'a str,
    recorded: bool,
}

/// Writes the answer to a call; an empty payload is written as `null`.
///
/// # Errors
///
/// Fails if the answer can't be written.
pub fn write_call(
    request: String,
    service: &str,
    reply: &wire::CallReply,
) -> Result<Bytes, serde_json::Error> {
    let head = CallHead {
        request,
        service,
        server: &reply.server,
        recorded: reply.recorded,
    };
    let mut out = serde_json::to_vec(&head)?;
    out.pop();
    out.extend_from_slice(b",\"payload\":");
    match reply.payload.is_empty() {
        true => out.extend_from_slice(b"null"),
        false => out.extend_from_slice(&reply.payload),
    }
    out.push(b'}');
    Ok(Bytes::from(out))
}

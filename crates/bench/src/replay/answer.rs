//! Parses an answer into a record.

use std::{
    collections::HashSet,
    sync::Arc, //
};

use bytes::Bytes;
use http::Response;
use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::{
    xxh3_64,
    Xxh3, //
};

use super::record::{
    Coverage,
    Fault,
    Missing,
    Part,
    Record,
    Run, //
};
use crate::{
    backends::hits::Hit,
    trace::Kind, //
};

/// Header in which a balancer names the instance that answered.
pub const INSTANCE_HEADER: &str = "x-instance";
/// Header with the request id that the caller chose.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Number of steps between scores 0 and 1, as backend servers produce them.
const SCORE_STEPS: f64 = (1 << 20) as f64;
/// Problem type recorded for a refusal whose body isn't a problem document.
pub const UNREADABLE: &str = "unreadable";

/// Interns names, so that records share one copy of each.
#[derive(Debug, Default)]
pub struct Interner(HashSet<Arc<str>>);

impl Interner {
    /// Returns the interned copy of `name`.
    pub fn intern(&mut self, name: &str) -> Arc<str> {
        match self.0.get(name) {
            Some(shared) => shared.clone(),
            None => {
                let shared: Arc<str> = name.into();
                self.0.insert(shared.clone());
                shared
            }
        }
    }
}

#[derive(Deserialize)]
struct Preset {
    version: u64,
}

#[derive(Deserialize)]
struct Stamps {
    request: Option<Box<str>>,
    shard: Option<String>,
    snapshot: Option<u64>,
    hits: Option<Vec<Hit>>,
}

#[derive(Deserialize)]
struct AnswerPart {
    shard: String,
    #[serde(default)]
    server: String,
    payload: Option<Stamps>,
}

#[derive(Deserialize)]
struct QueryAnswer {
    request: Box<str>,
    snapshot: u64,
    preset: Option<Preset>,
    coverage: Coverage,
    parts: Option<Vec<AnswerPart>>,
    hits: Option<Vec<Hit>>,
}

#[derive(Deserialize)]
struct CallAnswer {
    request: Box<str>,
    preset: Option<Preset>,
    #[serde(default)]
    recorded: bool,
    #[serde(default)]
    payload: Value,
}

#[derive(Deserialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    run: Option<Run>,
    request: Option<Box<str>>,
}

/// Parses an answer into `record`.
///
/// A body that can't be parsed makes a 200 answer a [`Fault::Malformed`], and any other a refusal with
/// problem type [`UNREADABLE`].
pub fn read(record: &mut Record, response: &Response<Bytes>, interner: &mut Interner) {
    record.status = response.status().as_u16();
    record.instance = response
        .headers()
        .get(INSTANCE_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(|name| interner.intern(name));
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    record.echoed = echoed.and_then(|value| value.to_str().ok()).map(Box::from);
    let body = response.body();
    let result = match (record.status, record.kind) {
        (200, Kind::Query) => read_query(record, body, interner),
        (200, Kind::Call) => read_call(record, body),
        _ => read_problem(record, body, interner),
    };
    match result {
        Ok(()) => {}
        Err(_) if record.status == 200 => record.fault = Some(Fault::Malformed),
        // A refusal by the balancer itself isn't a problem document.
        Err(_) => record.problem = Some(interner.intern(UNREADABLE)),
    }
}

fn read_query(record: &mut Record, body: &[u8], interner: &mut Interner) -> serde_json::Result<()> {
    let answer: QueryAnswer = serde_json::from_slice(body)?;
    record.id = Some(answer.request);
    record.snapshot = Some(answer.snapshot);
    record.hits = answer.hits.as_deref().map(hash_hits);
    record.preset = answer.preset.map(|preset| preset.version);
    record.parts = answer.parts.map(|parts| read_parts(parts, interner));
    record.coverage = Some(Coverage {
        missing: answer
            .coverage
            .missing
            .iter()
            .map(|item| read_missing(item, interner))
            .collect(),
        ..answer.coverage
    });
    Ok(())
}

/// Returns a hash of an ordered list of hits.
///
/// Scores are rounded to their steps because the JSON parser may get the last digit wrong.
pub fn hash_hits(hits: &[Hit]) -> u64 {
    let mut hasher = Xxh3::new();
    for hit in hits {
        hasher.update(hit.id.as_bytes());
        let steps = (hit.score * SCORE_STEPS).round() as u64;
        hasher.update(&steps.to_le_bytes());
    }
    hasher.digest()
}

fn read_parts(parts: Vec<AnswerPart>, interner: &mut Interner) -> Vec<Part> {
    parts
        .into_iter()
        .map(|part| read_part(part, interner))
        .collect()
}

fn read_part(answer_part: AnswerPart, interner: &mut Interner) -> Part {
    let mut part = Part {
        shard: interner.intern(&answer_part.shard),
        server: interner.intern(&answer_part.server),
        ..Part::default()
    };
    if let Some(stamps) = answer_part.payload {
        part.snapshot = stamps.snapshot;
        part.request = stamps.request;
        part.hits = stamps.hits.as_deref().map(hash_hits);
        part.stamped = stamps.shard.map(|shard| interner.intern(&shard));
    }
    part
}

fn read_missing(item: &Missing, interner: &mut Interner) -> Missing {
    Missing {
        shard: interner.intern(&item.shard),
        reason: interner.intern(&item.reason),
    }
}

fn read_call(record: &mut Record, body: &[u8]) -> serde_json::Result<()> {
    let answer: CallAnswer = serde_json::from_slice(body)?;
    record.id = Some(answer.request);
    record.preset = answer.preset.map(|preset| preset.version);
    record.recorded = answer.recorded;
    // Object keys are sorted, so equal payloads have equal texts.
    record.payload = Some(xxh3_64(answer.payload.to_string().as_bytes()));
    Ok(())
}

fn read_problem(
    record: &mut Record,
    body: &[u8],
    interner: &mut Interner,
) -> serde_json::Result<()> {
    let problem: Problem = serde_json::from_slice(body)?;
    record.problem = Some(interner.intern(&problem.kind));
    record.run = problem.run;
    record.id = problem.request;
    Ok(())
}

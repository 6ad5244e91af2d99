//! Reads an answer into a record.

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
pub const INSTANCE: &str = "x-instance";
/// Header with the caller's own id of a request.
pub const REQUEST: &str = "x-request-id";
/// Steps of a score from 0 to 1.
const SCORE_STEPS: f64 = (1 << 20) as f64;
/// Problem type of a refusal whose body isn't a problem document.
pub const UNREADABLE: &str = "unreadable";

/// Names that are shared by many records.
#[derive(Debug, Default)]
pub struct Names(HashSet<Arc<str>>);

impl Names {
    /// Returns the shared copy of `name`.
    pub fn share(&mut self, name: &str) -> Arc<str> {
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
struct Section {
    shard: String,
    #[serde(default)]
    server: String,
    payload: Option<Stamps>,
}

#[derive(Deserialize)]
struct Query {
    request: Box<str>,
    snapshot: u64,
    preset: Option<Preset>,
    coverage: Coverage,
    parts: Option<Vec<Section>>,
    hits: Option<Vec<Hit>>,
}

#[derive(Deserialize)]
struct Call {
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

/// Reads an answer into `record`.
pub fn read(record: &mut Record, response: &Response<Bytes>, names: &mut Names) {
    record.status = response.status().as_u16();
    record.instance = response
        .headers()
        .get(INSTANCE)
        .and_then(|value| value.to_str().ok())
        .map(|name| names.share(name));
    let echoed = response.headers().get(REQUEST);
    record.echoed = echoed.and_then(|value| value.to_str().ok()).map(Box::from);
    let body = response.body();
    let read = match (record.status, record.kind) {
        (200, Kind::Query) => query(record, body, names),
        (200, Kind::Call) => call(record, body),
        _ => problem(record, body, names),
    };
    match read {
        Ok(()) => {}
        Err(_) if record.status == 200 => record.fault = Some(Fault::Malformed),
        // A balancer's own refusal isn't a problem document.
        Err(_) => record.problem = Some(names.share(UNREADABLE)),
    }
}

fn query(record: &mut Record, body: &[u8], names: &mut Names) -> serde_json::Result<()> {
    let answer: Query = serde_json::from_slice(body)?;
    record.id = Some(answer.request);
    record.snapshot = Some(answer.snapshot);
    record.hits = answer.hits.as_deref().map(hash);
    record.preset = answer.preset.map(|preset| preset.version);
    record.parts = answer.parts.map(|parts| sections(parts, names));
    record.coverage = Some(Coverage {
        missing: answer
            .coverage
            .missing
            .iter()
            .map(|item| missing(item, names))
            .collect(),
        ..answer.coverage
    });
    Ok(())
}

/// Returns a hash of hits in their order.
///
/// The JSON parser may miss the last digit of a score, so a score counts in its steps.
pub fn hash(hits: &[Hit]) -> u64 {
    let mut hasher = Xxh3::new();
    for hit in hits {
        hasher.update(hit.id.as_bytes());
        let steps = (hit.score * SCORE_STEPS).round() as u64;
        hasher.update(&steps.to_le_bytes());
    }
    hasher.digest()
}

fn sections(sections: Vec<Section>, names: &mut Names) -> Vec<Part> {
    sections
        .into_iter()
        .map(|section| part(section, names))
        .collect()
}

fn part(section: Section, names: &mut Names) -> Part {
    let mut part = Part {
        shard: names.share(&section.shard),
        server: names.share(&section.server),
        ..Part::default()
    };
    if let Some(stamps) = section.payload {
        part.snapshot = stamps.snapshot;
        part.request = stamps.request;
        part.hits = stamps.hits.as_deref().map(hash);
        part.stamped = stamps.shard.map(|shard| names.share(&shard));
    }
    part
}

fn missing(item: &Missing, names: &mut Names) -> Missing {
    Missing {
        shard: names.share(&item.shard),
        reason: names.share(&item.reason),
    }
}

fn call(record: &mut Record, body: &[u8]) -> serde_json::Result<()> {
    let answer: Call = serde_json::from_slice(body)?;
    record.id = Some(answer.request);
    record.preset = answer.preset.map(|preset| preset.version);
    record.recorded = answer.recorded;
    // Keys of objects are sorted, so equal payloads have equal texts.
    record.payload = Some(xxh3_64(answer.payload.to_string().as_bytes()));
    Ok(())
}

fn problem(record: &mut Record, body: &[u8], names: &mut Names) -> serde_json::Result<()> {
    let problem: Problem = serde_json::from_slice(body)?;
    record.problem = Some(names.share(&problem.kind));
    record.run = problem.run;
    record.id = problem.request;
    Ok(())
}

//! Passes on what this instance has read of the store to instances that don't watch it.
//!
//! A reader holds one long poll for each kind of object at the address for peers. A reply states its age, so
//! that a reader notices an instance that is cut off from the store, paused or behind.

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use futures_util::future::{
    select,
    Either, //
};
use http::{
    header::{
        CONTENT_ENCODING,
        CONTENT_TYPE, //
    },
    HeaderName,
    HeaderValue,
    Response,
    StatusCode,
    Uri, //
};
use monoio::time::sleep_until;
use platform::{
    Failure,
    Listing, //
};
use tracing::warn;

use crate::{
    answer, compression,
    mirror::{
        Mirror,
        Position,
        Reading, //
    },
    relay::Relay,
};

/// Path below which the kinds of objects are read.
const PATH: &str = "/feed/";
/// In a reply: the generation of the watcher's readings of the kind.
const GENERATION_HEADER: HeaderName = HeaderName::from_static("tanageryoke-generation");
/// Maximum time that a poll waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// In a reply: the time since the store confirmed what it holds, in milliseconds.
const AGE_HEADER: HeaderName = HeaderName::from_static("tanageryoke-age-ms");

/// What a reader asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query<'a> {
    /// Kind of objects.
    pub kind: &'a str,
    /// Position after which changes are wanted; none for all objects.
    pub after: Option<Position>,
    /// How long to wait for a change.
    pub wait: Duration,
    /// Generation of the watcher's readings that the reader knows, if it has asked it before.
    pub generation: Option<u64>,
    /// Whether only the existence of changes is of interest, not the changes themselves.
    pub is_probe: bool,
}

impl<'a> Query<'a> {
    /// Parses a request target; none if it isn't one of a reader.
    pub fn parse(uri: &'a Uri) -> Option<Self> {
        let kind = uri.path().strip_prefix(PATH)?;
        let mut query = Self {
            kind,
            after: None,
            wait: Duration::ZERO,
            generation: None,
            is_probe: false,
        };
        let pairs = uri.query().unwrap_or_default().split('&');
        for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
            let number: u64 = value.parse().ok()?;
            let mut after = query.after.unwrap_or_default();
            match name {
                "era" => after.era = number,
                "after" => after.revision = number,
                "generation" => {
                    query.generation = Some(number);
                    continue;
                }
                "probe" => {
                    query.is_probe = number > 0;
                    continue;
                }
                "wait_ms" => {
                    query.wait = Duration::from_millis(number).min(MAX_WAIT);
                    continue;
                }
                _ => continue,
            }
            query.after = Some(after);
        }
        Some(query)
    }

    /// Returns the request target.
    pub fn target(&self) -> String {
        let Self {
            kind,
            after,
            wait,
            generation,
            is_probe,
        } = self;
        match after {
            None => format!("{PATH}{kind}"),
            Some(Position { era, revision }) => {
                let wait_ms = wait.as_millis();
                let probe = u8::from(*is_probe);
                let target = format!(
                    "{PATH}{kind}?era={era}&after={revision}&wait_ms={wait_ms}&probe={probe}"
                );
                match generation {
                    Some(generation) => format!("{target}&generation={generation}"),
                    None => target,
                }
            }
        }
    }
}

/// Answers a reader.
pub(crate) async fn answer(relay: &Relay, query: Query<'_>) -> Response<Bytes> {
    if relay.is_draining() {
        return answer::with_text(StatusCode::SERVICE_UNAVAILABLE, "shutting down");
    }
    relay.meter().feed_polls.add(1);
    let result = match query.after {
        None => {
            let reading = relay.mirror().list(query.kind);
            reading.ok_or(Failure::Unavailable).map(Some)
        }
        Some(position) => wait_for_changes(relay.mirror(), query, position).await,
    };
    let mut answer = match result {
        Ok(Some(reading)) => to_reply(relay, query, &reading),
        Ok(None) => changed_reply(),
        Err(Failure::Restored) => answer::with_text(StatusCode::CONFLICT, "a later era"),
        Err(Failure::Compacted) => answer::with_text(StatusCode::GONE, "changes not kept"),
        Err(_) => answer::with_text(StatusCode::SERVICE_UNAVAILABLE, "nothing read yet"),
    };
    let generation = relay.mirror().generation(query.kind);
    answer
        .headers_mut()
        .insert(GENERATION_HEADER, HeaderValue::from(generation));
    answer
}

/// Waits for changes; returns none if there are some and the query is a probe.
async fn wait_for_changes(
    mirror: &Mirror,
    query: Query<'_>,
    position: Position,
) -> Result<Option<Reading>, Failure> {
    let until = Instant::now() + query.wait;
    loop {
        let generation = mirror.generation(query.kind);
        if query.generation.is_some_and(|known| known != generation) {
            return Err(Failure::Compacted);
        }
        let reading = mirror.changes(query.kind, position)?;
        let Listing {
            objects, deleted, ..
        } = &reading.listing;
        let has_changes = !objects.is_empty() || !deleted.is_empty();
        if has_changes && query.is_probe {
            return Ok(None);
        }
        if has_changes || Instant::now() >= until {
            return Ok(Some(reading));
        }
        let timer = std::pin::pin!(sleep_until(until.into()));
        match select(mirror.wait_for_reading(), timer).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }
}

/// Builds the reply to a probe that found changes.
fn changed_reply() -> Response<Bytes> {
    let mut answer = Response::new(Bytes::new());
    *answer.status_mut() = StatusCode::NO_CONTENT;
    answer
}

fn to_reply(relay: &Relay, query: Query<'_>, reading: &Reading) -> Response<Bytes> {
    match relay.mirror().encode(query.kind, query.after, reading) {
        Ok(body) => {
            let mut answer = Response::new(body.bytes);
            if body.is_compressed {
                let deflate = HeaderValue::from_static(compression::NAME);
                answer.headers_mut().insert(CONTENT_ENCODING, deflate);
            }
            let age = HeaderValue::from(reading.fresh_at.elapsed().as_millis() as u64);
            let json = HeaderValue::from_static("application/json");
            answer.headers_mut().insert(AGE_HEADER, age);
            answer.headers_mut().insert(CONTENT_TYPE, json);
            answer
        }
        Err(error) => {
            warn!(%error, "feed: reading can't be encoded.");
            answer::with_text(StatusCode::INTERNAL_SERVER_ERROR, "can't be encoded")
        }
    }
}

/// Returns the generation that a reply states, whatever its status.
pub fn stated_generation(response: &Response<Bytes>) -> Option<u64> {
    let stated = response.headers().get(GENERATION_HEADER)?;
    stated.to_str().ok()?.parse().ok()
}

/// Parses a watcher's reply; none if a probe found changes.
///
/// # Errors
///
/// Fails with the failure that the status stands for, with [`Failure::Malformed`] if the reply can't be parsed, and
/// with [`Failure::Unavailable`] if it is older than `max_age`.
pub fn parse_reply(
    response: &Response<Bytes>,
    max_age: Duration,
) -> Result<Option<Reading>, Failure> {
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NO_CONTENT => return Ok(None),
        StatusCode::CONFLICT => return Err(Failure::Restored),
        StatusCode::GONE => return Err(Failure::Compacted),
        _ => return Err(Failure::Unavailable),
    }
    let age = response.headers().get(AGE_HEADER);
    let age = age.and_then(|age| age.to_str().ok()?.parse().ok());
    let age = Duration::from_millis(age.ok_or(Failure::Malformed)?);
    let is_compressed = response.headers().contains_key(CONTENT_ENCODING);
    let body = match is_compressed {
        true => compression::decode(response.body()).ok_or(Failure::Malformed)?,
        false => response.body().clone(),
    };
    let listing = serde_json::from_slice(&body).map_err(|_| Failure::Malformed)?;
    match Instant::now().checked_sub(age) {
        Some(fresh_at) if age <= max_age => Ok(Some(Reading { listing, fresh_at })),
        _ => Err(Failure::Unavailable),
    }
}

//! Reads the requests of callers.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use config::View;
use http::{
    HeaderMap,
    Method,
    Request, //
};
use serde::Deserialize;
use serde_json::value::RawValue;
use uuid::Uuid;

use crate::problem::{
    Kind,
    Problem,
    Run, //
};

/// Header with the caller's timeout, in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";
/// Header with the key under which a call runs at most once; a call without it is idempotent.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the caller's own id of the request; it is echoed and logged.
pub const ID_HEADER: &str = "x-request-id";
/// Maximum number of merged hits that a query may ask for.
pub const MAX_TOP_HITS: usize = 10_000;

/// The target of a request, from its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// A query of the group with this name.
    Query(&'a str),
    /// A call to the service with this name.
    Call(&'a str),
}

impl<'a> Route<'a> {
    /// Reads the route of a path below `/v1/`.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NotFound`] or [`Kind::Method`].
    pub fn read(method: &Method, path: &'a str) -> Result<Self, Problem> {
        let route = match path
            .strip_prefix("/v1/")
            .and_then(|rest| rest.split_once('/'))
        {
            Some((group, "query")) => Self::Query(group),
            Some((service, "call")) => Self::Call(service),
            _ => return Err(refuse(Kind::NotFound, format!("no such path: {path}"))),
        };
        match *method {
            Method::POST => Ok(route),
            _ => Err(refuse(Kind::Method, "only POST is allowed".into())),
        }
    }
}

/// What queries and calls have in common.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request's id.
    pub id: Uuid,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
    /// The documents that the request was admitted under.
    pub view: Arc<View>,
}

impl Head {
    /// Reads the headers of a request that arrived now.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::Header`] if the timeout isn't a positive number.
    pub fn read(headers: &HeaderMap, view: Arc<View>) -> Result<Self, Problem> {
        let timeout = timeout(headers, &view)?;
        let arrived_at = Instant::now();
        Ok(Self {
            id: Uuid::now_v7(),
            arrived_at,
            deadline: arrived_at + timeout,
            view,
        })
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn timeout(headers: &HeaderMap, view: &View) -> Result<Duration, Problem> {
    let preset = &view.preset;
    let timeout_ms = match headers.get(TIMEOUT_HEADER) {
        None => preset.deadline_ms,
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .filter(|ms| *ms > 0)
            .ok_or_else(|| {
                refuse(
                    Kind::Header,
                    format!("{TIMEOUT_HEADER} must be a whole number of milliseconds above 0"),
                )
            })?,
    };
    Ok(Duration::from_millis(
        timeout_ms.min(preset.deadline_max_ms),
    ))
}

/// A query's body.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// The query that is sent to backend servers.
    pub query: Box<RawValue>,
    /// Number of merged hits wanted; all parts are returned if it isn't set.
    pub top: Option<usize>,
}

impl Query {
    /// Reads the body of a query.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::Body`] if the body isn't a query.
    pub fn read(body: &[u8]) -> Result<Self, Problem> {
        let query: Self =
            serde_json::from_slice(body).map_err(|error| refuse(Kind::Body, error.to_string()))?;
        match query.top {
            Some(top) if top == 0 || top > MAX_TOP_HITS => Err(refuse(
                Kind::Body,
                format!("top must be between 1 and {MAX_TOP_HITS}, it is {top}"),
            )),
            _ => Ok(query),
        }
    }
}

/// Reads the idempotency key, if the request has one.
///
/// # Errors
///
/// Fails with [`Kind::Header`] if the key isn't a UUID of version 7.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<Uuid>, Problem> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| Uuid::try_parse(text).ok())
        .filter(|key| key.get_version_num() == 7)
        .map(Some)
        .ok_or_else(|| {
            refuse(
                Kind::Header,
                format!("{KEY_HEADER} must be a UUID of version 7"),
            )
        })
}

/// Returns the body of a call, which is JSON; an empty body is read as `null`.
///
/// # Errors
///
/// Fails with [`Kind::Body`] if the body is neither JSON nor empty.
pub fn call_body(request: &Request<Bytes>) -> Result<Bytes, Problem> {
    let body = request.body();
    if body.is_empty() {
        return Ok(Bytes::from_static(b"null"));
    }
    serde_json::from_slice::<&RawValue>(body)
        .map(|_| body.clone())
        .map_err(|error| refuse(Kind::Body, error.to_string()))
}

fn refuse(kind: Kind, detail: String) -> Problem {
    Problem::new(kind, Run::NotRun, detail)
}

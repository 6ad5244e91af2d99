//! Refusals and failures, as `application/problem+json`.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header::{
        HeaderValue,
        CONTENT_TYPE,
        RETRY_AFTER, //
    },
    Response,
    StatusCode, //
};
use serde::Serialize;
use wire::{
    Failure,
    Reason, //
};

/// Whether a refused or failed request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No byte of the work reached a backend server, or the server said that it didn't run it.
    NotRun,
    /// The work may have run.
    MayHaveRun,
}

impl Run {
    /// Converts the `not_run` of a [`Failure`].
    pub fn from_not_run(not_run: bool) -> Self {
        match not_run {
            true => Self::NotRun,
            false => Self::MayHaveRun,
        }
    }
}

/// Kind of a problem.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request can't be read as HTTP.
    Malformed,
    /// The request exceeds a size limit.
    Oversized,
    /// The request's body came too slowly.
    Slow,
    /// There is nothing at the path.
    NotFound,
    /// The method isn't allowed on the path.
    Method,
    /// The body isn't the JSON that is expected.
    Body,
    /// A header's value isn't valid.
    Header,
    /// The group isn't in the catalog.
    UnknownGroup,
    /// The service isn't in the catalog.
    UnknownService,
    /// The instance hasn't received a configuration yet.
    NotReady,
    /// Too many requests are in flight.
    Overloaded,
    /// The deadline passed or can't be met.
    Deadline,
    /// Fewer shards replied than the preset accepts.
    Coverage,
    /// The idempotency key is too old.
    KeyExpired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The key was claimed and its outcome isn't known.
    OutcomeUnknown,
    /// The platform can't confirm that the key is claimed.
    Platform,
    /// No backend server could do the work.
    Unavailable,
    /// A backend server's reply is malformed.
    BadReply,
}

impl Kind {
    /// Returns the name, which ends the problem's `type` and labels metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Oversized => "oversized",
            Self::Slow => "slow-body",
            Self::NotFound => "not-found",
            Self::Method => "method",
            Self::Body => "body",
            Self::Header => "header",
            Self::UnknownGroup => "unknown-group",
            Self::UnknownService => "unknown-service",
            Self::NotReady => "not-ready",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Coverage => "coverage",
            Self::KeyExpired => "key-expired",
            Self::KeyReused => "key-reused",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::Platform => "platform",
            Self::Unavailable => "unavailable",
            Self::BadReply => "bad-reply",
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::Body | Self::Header => StatusCode::BAD_REQUEST,
            Self::Oversized => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::NotFound | Self::UnknownGroup | Self::UnknownService => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::KeyExpired | Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OutcomeUnknown => StatusCode::CONFLICT,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::BadReply => StatusCode::BAD_GATEWAY,
            Self::NotReady
            | Self::Overloaded
            | Self::Coverage
            | Self::Platform
            | Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::Malformed => "The request can't be read",
            Self::Oversized => "The request is too large",
            Self::Slow => "The request's body came too slowly",
            Self::NotFound => "Nothing is found under the path",
            Self::Method => "The method isn't allowed",
            Self::Body => "The body isn't as expected",
            Self::Header => "A header isn't valid",
            Self::UnknownGroup => "The group is unknown",
            Self::UnknownService => "The service is unknown",
            Self::NotReady => "No configuration is known yet",
            Self::Overloaded => "Too many requests are running",
            Self::Deadline => "The deadline can't be met",
            Self::Coverage => "Too few shards answered",
            Self::KeyExpired => "The idempotency key is too old",
            Self::KeyReused => "The idempotency key belongs to another request",
            Self::OutcomeUnknown => "The outcome isn't known",
            Self::Platform => "The platform can't confirm the claim",
            Self::Unavailable => "No backend server is available",
            Self::BadReply => "A backend server's reply is malformed",
        }
    }

    fn from_reason(reason: Reason) -> Self {
        match reason {
            Reason::Deadline => Self::Deadline,
            Reason::QueueFull | Reason::Overloaded | Reason::Shed | Reason::Budget => {
                Self::Overloaded
            }
            Reason::UnknownService => Self::UnknownService,
            Reason::BadReply => Self::BadReply,
            Reason::Platform => Self::Platform,
            Reason::KeyExpired => Self::KeyExpired,
            Reason::KeyReused => Self::KeyReused,
            Reason::OutcomeUnknown | Reason::Broken => Self::OutcomeUnknown,
            _ => Self::Unavailable,
        }
    }
}

/// A refusal or failure that is reported to the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// Kind of the problem.
    pub kind: Kind,
    /// Whether the request has run.
    pub run: Run,
    /// Description for this request.
    pub detail: String,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    run: Run,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a str>,
}

impl Problem {
    /// Creates a problem without `retry_after`.
    pub fn new(kind: Kind, run: Run, detail: impl Into<String>) -> Self {
        Self {
            kind,
            run,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Creates the problem for the failure of a call.
    pub fn from_failure(failure: &Failure) -> Self {
        let kind = Kind::from_reason(failure.reason());
        let run = Run::from_not_run(failure.not_run);
        let detail = failure.reason().as_str_name().to_lowercase();
        let problem = Self::new(kind, run, detail);
        match failure.retry_after_ms {
            0 => problem,
            ms => problem.retry_after(Duration::from_millis(ms)),
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        self.kind.status()
    }

    /// Returns the response to the caller; `request` is the id of the request, if it has one.
    pub fn respond(&self, request: Option<&str>) -> Response<Bytes> {
        let body = Body {
            r#type: format!("/problems/{}", self.kind.name()),
            title: self.kind.title(),
            status: self.status().as_u16(),
            detail: &self.detail,
            run: self.run,
            request,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
        }
        response
    }
}

/// Rounds up to at least 1, as the `retry-after` header holds whole seconds.
fn whole_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1000).max(1) as u64
}

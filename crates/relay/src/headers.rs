//! Names of the headers that carry what a relay has to know.
//!
//! The names belong to whoever calls and serves, so they are given to the relay.

use http::HeaderName;

/// Header names on both sides of a relay.
#[derive(Debug, Clone)]
pub struct Headers {
    /// Id of a caller's request; servers repeat it in their answers.
    pub request: HeaderName,
    /// Milliseconds that the sender goes on waiting.
    pub deadline: HeaderName,
    /// Id of the server that a request is meant for; any other one refuses it.
    pub target: HeaderName,
    /// Id of the server that answers a health check.
    pub server: HeaderName,
    /// Signature of the server that made an answer.
    pub signature: HeaderName,
    /// Present where the server states that it didn't run the request.
    pub not_run: HeaderName,
    /// Signatures of the parts that an answer holds.
    pub parts: HeaderName,
    /// Number of shards that an answer lacks.
    pub missing: HeaderName,
}

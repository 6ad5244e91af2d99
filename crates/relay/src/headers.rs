//! Names of the headers that a relay reads and writes.
//!
//! Callers and backend servers define the names, so they are configured rather than fixed.

use http::HeaderName;

/// Header names in the protocols with callers and backend servers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a caller's request; servers echo it in their replies.
    pub request: HeaderName,
    /// Time for which the sender keeps waiting, in milliseconds.
    pub deadline: HeaderName,
    /// Id of the server that a request is addressed to; any other server rejects it.
    pub target: HeaderName,
    /// Id of the server that replies to a health check.
    pub server: HeaderName,
    /// Signature of the server that produced a reply.
    pub signature: HeaderName,
    /// Present if the server states that it didn't run the request.
    pub not_run: HeaderName,
    /// Present in all replies of a server that is leaving.
    pub leaving: HeaderName,
    /// Requests a second that the server takes from all instances together, while it names a limit.
    pub limit: HeaderName,
    /// Signatures of the parts in a query's answer.
    pub parts: HeaderName,
    /// Number of shards missing from a query's answer.
    pub missing: HeaderName,
}

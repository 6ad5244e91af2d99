//! Classifies the replies of backend servers.

use http::{
    header::CONTENT_ENCODING,
    HeaderName,
    HeaderValue,
    StatusCode, //
};

use crate::{
    connection::Reply,
    headers::HeaderNames, //
};

/// Why a reply can't be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It carries the id of another request.
    Foreign,
    /// Its status is a success, but it has no signature.
    Unsigned,
    /// It has a content encoding, so its body isn't what the server sent.
    Encoded,
}

/// Class of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request was served.
    Served,
    /// The server states that it didn't run the request.
    NotRun,
    /// Another server listens at the address; the request wasn't run.
    Misplaced,
    /// The server reports a failure; the request may have run.
    Failed,
    /// It isn't a valid reply to this request; the request may have run.
    Wrong(Fault),
}

/// Returns whether a reply carries the id of another request than the given one.
pub(crate) fn is_foreign(reply: &Reply, request: &HeaderValue, id_header: &HeaderName) -> bool {
    reply
        .headers()
        .get(id_header)
        .is_some_and(|id| id != request)
}

/// Returns whether a status tells a caller that its request hasn't run and never will.
///
/// Of a server's reply only the not-run header states that.
pub fn denies_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Classifies the reply to the request with the given id.
pub fn classify(reply: &Reply, request: &HeaderValue, names: &HeaderNames) -> Verdict {
    let headers = reply.headers();
    if is_foreign(reply, request, &names.request) {
        return Verdict::Wrong(Fault::Foreign);
    }
    let success = reply.status().is_success();
    match reply.status() {
        StatusCode::MISDIRECTED_REQUEST => Verdict::Misplaced,
        _ if headers.contains_key(&names.not_run) => Verdict::NotRun,
        _ if success && !headers.contains_key(&names.signature) => Verdict::Wrong(Fault::Unsigned),
        _ if success && headers.contains_key(CONTENT_ENCODING) => Verdict::Wrong(Fault::Encoded),
        _ if success => Verdict::Served,
        _ => Verdict::Failed,
    }
}

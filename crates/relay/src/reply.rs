//! What a server's answer says.

use http::{
    header::CONTENT_ENCODING,
    HeaderValue,
    StatusCode, //
};

use crate::{
    headers::Headers,
    link::Reply, //
};

/// Why an answer is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It repeats the id of another request.
    Foreign,
    /// It is a success without a signature.
    Unsigned,
    /// It is encoded, so that the body isn't the server's own.
    Encoded,
}

/// What an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request was served.
    Served,
    /// The server states that it didn't run the request.
    NotRun,
    /// Another server has the address; the request wasn't run.
    Misplaced,
    /// The server failed; the request may have run.
    Failed,
    /// It isn't an answer to this request; the request may have run.
    Wrong(Fault),
}

/// Judges the answer to the request with the given id.
pub fn judge(reply: &Reply, request: &HeaderValue, names: &Headers) -> Verdict {
    let headers = reply.headers();
    if headers.get(&names.request).is_some_and(|id| id != request) {
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

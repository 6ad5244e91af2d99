//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header::{
        CONTENT_TYPE,
        RETRY_AFTER, //
    },
    HeaderValue,
    Response,
    StatusCode, //
};

use crate::{
    connection::Reply,
    peer,
    request, //
};

/// Turns a server's or peer's reply into the answer to the caller.
pub fn from_reply(reply: Reply) -> Response<Bytes> {
    let (mut head, body) = reply.into_parts();
    head.headers = request::without_hop_by_hop(head.headers);
    peer::remove_hop_headers(&mut head.headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    answer
}

/// Builds an answer of the relay itself with a plain-text body.
pub fn with_text(status: StatusCode, text: &'static str) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::from_static(text.as_bytes()));
    *answer.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(CONTENT_TYPE, plain);
    answer
}

/// Marks a refusal: no server has run the request or will run it.
#[derive(Debug, Clone)]
struct Refused;

/// Returns whether an answer is a refusal of this instance.
pub fn is_refusal(answer: &Response<Bytes>) -> bool {
    answer.extensions().get::<Refused>().is_some()
}

/// Builds the 503 refusal of a request that no server has run or will run.
pub fn refusal(text: &'static str, retry_after: Duration) -> Response<Bytes> {
    let mut answer = with_text(StatusCode::SERVICE_UNAVAILABLE, text);
    answer.extensions_mut().insert(Refused);
    set_retry_after(&mut answer, retry_after);
    answer
}

/// Sets `Retry-After`, in seconds with three decimals.
pub fn set_retry_after(answer: &mut Response<Bytes>, retry_after: Duration) {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
}

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
    link::Reply,
    request, //
};

/// Passes a server's answer on.
pub fn passed_on(reply: Reply) -> Response<Bytes> {
    let (mut head, body) = reply.into_parts();
    head.headers = request::passed_on(head.headers);
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    answer
}

/// Makes an answer of the relay's own, with a short text.
pub fn own(status: StatusCode, text: &'static str) -> Response<Bytes> {
    let mut answer = Response::new(Bytes::from_static(text.as_bytes()));
    *answer.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(CONTENT_TYPE, plain);
    answer
}

/// Makes the refusal of a request that hasn't run and won't.
pub fn refusal(text: &'static str, retry_after: Duration) -> Response<Bytes> {
    let mut answer = own(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

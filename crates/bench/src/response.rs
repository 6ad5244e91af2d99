//! HTTP responses of the stand-ins.

use bytes::Bytes;
use http::{
    header::CONTENT_TYPE,
    HeaderValue,
    Response,
    StatusCode, //
};
use serde::Serialize;

/// Returns a response whose body is JSON text.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Bytes> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns a response with `value` serialized as JSON, or a 500 if it can't be serialized.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => text(status, body),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns a response whose body is an empty JSON object.
pub fn empty(status: StatusCode) -> Response<Bytes> {
    text(status, "{}")
}

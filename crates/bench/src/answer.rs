//! Responses of the stand-ins.

use bytes::Bytes;
use http::{
    header::CONTENT_TYPE,
    HeaderValue,
    Response,
    StatusCode, //
};
use serde::Serialize;

/// Makes a response with a body of JSON text.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Bytes> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Makes a response with `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => text(status, body),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Makes a response with an empty object as its body.
pub fn empty(status: StatusCode) -> Response<Bytes> {
    text(status, "{}")
}

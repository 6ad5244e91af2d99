//! Control calls to the stand-ins.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use error_stack::{
    Report,
    ResultExt, //
};
use http::{
    Method,
    StatusCode, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};

use super::failure::Failure;

/// Timeout of a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a readiness check.
const READINESS_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes a control call and returns the body of the reply.
///
/// # Errors
///
/// Fails if the stand-in can't be reached or its reply isn't 200.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &'static str,
    body: impl Into<Bytes>,
) -> Result<Bytes, Report<Failure>> {
    let failure = Failure::Control(path);
    let reply = crate::client::send(address, method, path, body, CONTROL_TIMEOUT)
        .await
        .change_context(failure.clone())?;
    match reply.status() {
        StatusCode::OK => Ok(reply.into_body()),
        _ => Err(Report::new(failure)),
    }
}

/// Returns whether a GET request gets a 200 reply in time.
pub async fn is_ok(address: SocketAddr, path: &str) -> bool {
    crate::client::send(address, Method::GET, path, "", READINESS_CHECK_TIMEOUT)
        .await
        .is_ok_and(|reply| reply.status() == StatusCode::OK)
}

/// Makes a GET call and parses the JSON body of the reply.
///
/// # Errors
///
/// Fails if the stand-in can't be reached, its reply isn't 200, or the body doesn't parse.
pub async fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &'static str,
) -> Result<T, Report<Failure>> {
    let body = call(address, Method::GET, path, "").await?;
    serde_json::from_slice(&body).change_context(Failure::Control(path))
}

/// Makes a POST call with `value` as its JSON body.
///
/// # Errors
///
/// Fails if the stand-in can't be reached or its reply isn't 200.
pub async fn post<T: Serialize>(
    address: SocketAddr,
    path: &'static str,
    value: &T,
) -> Result<Bytes, Report<Failure>> {
    let body = serde_json::to_vec(value).change_context(Failure::Control(path))?;
    call(address, Method::POST, path, body).await
}

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

/// Time that one control call may take.
const CONTROL_WAIT: Duration = Duration::from_secs(30);
/// Time that one readiness check may take.
const CHECK_WAIT: Duration = Duration::from_millis(500);

/// Makes a control call and returns the body of its answer.
///
/// # Errors
///
/// Fails if the stand-in can't be reached or refuses.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &'static str,
    body: impl Into<Bytes>,
) -> Result<Bytes, Report<Failure>> {
    let failure = Failure::Control(path);
    let answer = crate::client::ask(address, method, path, body, CONTROL_WAIT)
        .await
        .change_context(failure.clone())?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        _ => Err(Report::new(failure)),
    }
}

/// Returns whether a call is answered 200.
pub async fn answers(address: SocketAddr, path: &str) -> bool {
    crate::client::ask(address, Method::GET, path, "", CHECK_WAIT)
        .await
        .is_ok_and(|answer| answer.status() == StatusCode::OK)
}

/// Makes a GET call and parses its answer.
///
/// # Errors
///
/// Fails if the stand-in can't be reached, refuses or says nonsense.
pub async fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &'static str,
) -> Result<T, Report<Failure>> {
    let answer = call(address, Method::GET, path, "").await?;
    serde_json::from_slice(&answer).change_context(Failure::Control(path))
}

/// Makes a POST call with a JSON body.
///
/// # Errors
///
/// Fails if the stand-in can't be reached or refuses.
pub async fn post<T: Serialize>(
    address: SocketAddr,
    path: &'static str,
    value: &T,
) -> Result<Bytes, Report<Failure>> {
    let body = serde_json::to_vec(value).change_context(Failure::Control(path))?;
    call(address, Method::POST, path, body).await
}

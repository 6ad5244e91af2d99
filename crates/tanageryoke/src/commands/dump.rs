//! `tanageryoke dump`: prints the state of a running instance.

use std::{
    net::SocketAddr,
    process::ExitCode,
    time::Duration, //
};

use bytes::Bytes;
use clap::Args;
use error_stack::{
    Report,
    ResultExt, //
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};

use crate::commands::Error;

/// Timeout of the request for the state.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Options of `dump`.
#[derive(Debug, Args)]
pub struct Flags {
    /// Address that the instance listens on for callers.
    address: SocketAddr,
    /// Part of the state to print, such as `fleet` or `pool`.
    #[arg(long)]
    part: Option<String>,
}

/// Fetches the state and prints it as indented JSON.
///
/// # Errors
///
/// Fails if the instance is unreachable, its answer isn't valid JSON, or the requested part doesn't exist.
pub fn run(flags: &Flags) -> Result<ExitCode, Report<Error>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?;
    let mut state = runtime.block_on(fetch(flags.address))?;
    if let Some(part) = &flags.part {
        state = state.get(part).cloned().ok_or(Error::Answer)?;
    }
    println!("{state:#}");
    Ok(ExitCode::SUCCESS)
}

pub(crate) async fn fetch(address: SocketAddr) -> Result<serde_json::Value, Report<Error>> {
    let connection = web::client::Connection::open(address, web::Limits::default())
        .await
        .change_context(Error::Unreachable)?;
    let request = http::Request::get("/debug/state")
        .header(http::header::HOST, address.to_string())
        .body(Bytes::new())
        .change_context(Error::Answer)?;
    let exchange = connection
        .exchange(request, TIMEOUT)
        .await
        .change_context(Error::Unreachable)?;
    serde_json::from_slice(exchange.response.body()).change_context(Error::Answer)
}

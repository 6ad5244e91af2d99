//! Reads the log from the stand-in of the backend servers.

use std::{
    fmt,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use config::Catalog;
use error_stack::{
    Report,
    ResultExt, //
};
use monoio::{
    time::sleep,
    LegacyDriver,
    RuntimeBuilder, //
};
use serde::de::DeserializeOwned;
use web::client::Connection;

use super::Log;

/// Timeout for one page of the log.
const PAGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for abandoned work to end, and thus to be logged, before the log is read.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of entries in a page of the log.
const PAGE_RECORDS: u64 = 100_000;
/// Maximum size of a page of the log, in bytes.
const MAX_PAGE_BYTES: usize = 128 * 1024 * 1024;

/// Reason why the log can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The runtime can't be started.
    Runtime,
    /// The stand-in of the backend servers doesn't reply.
    Exchange,
    /// The stand-in of the backend servers replies with an error status.
    Status {
        /// HTTP status of the reply.
        status: u16,
    },
    /// The reply can't be decoded.
    Decode,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Runtime => f.write_str("runtime can't be started"),
            Self::Exchange => f.write_str("the stand-in of the backend servers doesn't reply"),
            Self::Status { status } => write!(
                f,
                "the stand-in of the backend servers replies with status {status}"
            ),
            Self::Decode => f.write_str("the reply of the stand-in can't be decoded"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads all log entries after entry `after`, page by page.
///
/// Starts a runtime of its own, so it can't be called from within one.
///
/// # Errors
///
/// Fails if a page can't be read or decoded.
pub fn run(address: SocketAddr, after: u64) -> Result<Log, Report<Error>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?;
    runtime.block_on(read(address, after))
}

/// Reads all log entries after entry `after` from within a runtime.
///
/// # Errors
///
/// Fails if a page can't be read or decoded.
pub async fn read(address: SocketAddr, after: u64) -> Result<Log, Report<Error>> {
    // Work is logged when it ends, so abandoned work may not be logged yet.
    sleep(SETTLE_TIME).await;
    let mut log = Log::default();
    let mut after = after;
    loop {
        let path = format!("/control/log?after={after}&limit={PAGE_RECORDS}");
        let mut page: Log = get(address, &path).await?;
        let last = page.records.iter().map(|entry| entry.seq).max();
        log.records.append(&mut page.records);
        match last {
            Some(seq) if seq > after => after = seq,
            _ => {
                page.records = log.records;
                page.add_catalog(&catalog(address).await?);
                return Ok(page);
            }
        }
    }
}

/// Reads the catalog of the backend servers from within a runtime.
///
/// # Errors
///
/// Fails if it can't be read or decoded.
pub async fn catalog(address: SocketAddr) -> Result<Catalog, Report<Error>> {
    get(address, "/control/catalog").await
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Report<Error>> {
    let limits = web::Limits {
        max_body_bytes: MAX_PAGE_BYTES,
        ..web::Limits::default()
    };
    let request = http::Request::get(path)
        .header("host", address.to_string())
        .body(Bytes::new())
        .change_context(Error::Exchange)?;
    let exchange = Connection::open(address, limits)
        .await
        .change_context(Error::Exchange)?
        .exchange(request, PAGE_TIMEOUT)
        .await
        .change_context(Error::Exchange)?;
    match exchange.response.status().as_u16() {
        200 => serde_json::from_slice(exchange.response.body()).change_context(Error::Decode),
        status => Err(Report::new(Error::Status { status })),
    }
}

//! Reads the log of the backends stand-in.

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

/// Longest time for one page of the log.
const PAGE_WAIT: Duration = Duration::from_secs(30);
/// Time that work which nobody waits for takes to end.
const SETTLE: Duration = Duration::from_secs(1);
/// Entries of a page of the log.
const PAGE_RECORDS: u64 = 100_000;
/// Longest page of the log, in bytes.
const PAGE_MAX: usize = 128 * 1024 * 1024;

/// Why the log can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The runtime can't be started.
    Runtime,
    /// The backends stand-in gives no answer.
    Exchange,
    /// The backends stand-in refuses.
    Status {
        /// Status of its answer.
        status: u16,
    },
    /// The log can't be understood.
    Decode,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Runtime => f.write_str("runtime can't be started"),
            Self::Exchange => f.write_str("the backends stand-in gives no answer"),
            Self::Status { status } => write!(f, "the backends stand-in answers {status}"),
            Self::Decode => f.write_str("the log can't be understood"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads the whole log after entry `after`, page by page.
///
/// Runs a runtime of its own, so it can't be called from within one.
///
/// # Errors
///
/// Fails if a page can't be read or understood.
pub fn run(address: SocketAddr, after: u64) -> Result<Log, Report<Error>> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?;
    runtime.block_on(read(address, after))
}

/// Reads the whole log after entry `after` from within a runtime.
///
/// # Errors
///
/// Fails if a page can't be read or understood.
pub async fn read(address: SocketAddr, after: u64) -> Result<Log, Report<Error>> {
    // Work is logged at its end, so what was given up may still be missing.
    sleep(SETTLE).await;
    let mut log = Log::default();
    let mut after = after;
    loop {
        let path = format!("/control/log?after={after}&limit={PAGE_RECORDS}");
        let mut next: Log = get(address, &path).await?;
        let last = next.records.iter().map(|entry| entry.seq).max();
        log.records.append(&mut next.records);
        match last {
            Some(seq) if seq > after => after = seq,
            _ => {
                next.records = log.records;
                next.learn(&catalog(address).await?);
                return Ok(next);
            }
        }
    }
}

/// Reads the catalog of the backend servers from within a runtime.
///
/// # Errors
///
/// Fails if it can't be read or understood.
pub async fn catalog(address: SocketAddr) -> Result<Catalog, Report<Error>> {
    get(address, "/control/catalog").await
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Report<Error>> {
    let limits = web::Limits {
        max_body_bytes: PAGE_MAX,
        ..web::Limits::default()
    };
    let request = http::Request::get(path)
        .header("host", address.to_string())
        .body(Bytes::new())
        .change_context(Error::Exchange)?;
    let exchange = Connection::open(address, limits)
        .await
        .change_context(Error::Exchange)?
        .exchange(request, PAGE_WAIT)
        .await
        .change_context(Error::Exchange)?;
    match exchange.response.status().as_u16() {
        200 => serde_json::from_slice(exchange.response.body()).change_context(Error::Decode),
        status => Err(Report::new(Error::Status { status })),
    }
}

//! Stand-in of the object store: conditional updates, watches and an instance list that lags.

pub mod calls;
pub mod fault;
pub mod handler;
pub mod instances;
pub mod objects;

#[cfg(test)]
mod tests;

use std::{
    net::SocketAddr,
    process::ExitCode,
    rc::Rc, //
};

use web::Limits;

use self::handler::{
    Handler,
    Platform, //
};
pub use self::{
    calls::Calls,
    fault::{
        FaultChange,
        Outage, //
    },
    objects::{
        Condition,
        Objects,
        Refusal, //
    },
};

/// Default limit on writes per second.
const DEFAULT_WRITES_PER_SECOND: u32 = 500;
/// Default limit on reads per second.
const DEFAULT_READS_PER_SECOND: u32 = 2_000;
/// Default lag of the instance list, in milliseconds.
const DEFAULT_LIST_LAG_MS: u64 = 2_000;

/// Settings of the stand-in of the object store.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7070")]
    pub listen: SocketAddr,
    /// Writes accepted per second; more are answered with 429.
    #[arg(long, default_value_t = DEFAULT_WRITES_PER_SECOND)]
    pub writes: u32,
    /// Reads accepted per second, watches and listings included; more are answered with 429.
    #[arg(long, default_value_t = DEFAULT_READS_PER_SECOND)]
    pub reads: u32,
    /// Delay added to every call, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Lag of the instance list, in milliseconds.
    #[arg(long, default_value_t = DEFAULT_LIST_LAG_MS)]
    pub list_lag_ms: u64,
    /// Time after its last write at which a server's entry expires, in milliseconds; 0 for never.
    #[arg(long, default_value_t = 0)]
    pub expire_ms: u64,
}

/// Runs the stand-in until the process is killed.
pub fn run(options: Options) -> ExitCode {
    crate::runtime::run_stand_in("platform", serve(options))
}

async fn serve(options: Options) -> std::io::Result<()> {
    let listener = crate::listen::bind(options.listen)?;
    tracing::info!("platform: listening on {}.", options.listen);
    let platform = Rc::new(Platform::new(&options));
    if options.expire_ms > 0 {
        let platform = platform.clone();
        let time_to_live = std::time::Duration::from_millis(options.expire_ms);
        monoio::spawn(async move { platform.expire(time_to_live).await });
    }
    let limits = Limits {
        max_body_bytes: 2 * ::platform::MAX_VALUE_BYTES,
        idle_timeout: std::time::Duration::from_secs(600),
        ..Limits::default()
    };
    let make = move |socket| Handler::new(platform.clone(), socket);
    crate::listen::serve(listener, make, limits).await;
    Ok(())
}

//! The platform's stand-in: objects, conditional updates, watches and a lagging instance list.

pub mod calls;
pub mod fault;
pub mod handler;
pub mod objects;
pub mod roster;

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
        Down,
        Fault, //
    },
    objects::{
        Condition,
        Objects,
        Refusal, //
    },
};

/// Writes a second that the store takes, unless the flag says otherwise.
const WRITES_PER_SECOND: u32 = 500;
/// Reads a second that the store takes, unless the flag says otherwise.
const READS_PER_SECOND: u32 = 2_000;
/// Lag of the instance list, in milliseconds, unless the flag says otherwise.
const LIST_LAG_MS: u64 = 2_000;

/// Settings of the platform's stand-in.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7070")]
    pub listen: SocketAddr,
    /// Writes taken a second; more are answered 429.
    #[arg(long, default_value_t = WRITES_PER_SECOND)]
    pub writes: u32,
    /// Reads taken a second, watches and listings included; more are answered 429.
    #[arg(long, default_value_t = READS_PER_SECOND)]
    pub reads: u32,
    /// Delay added to every call, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Lag of the instance list, in milliseconds.
    #[arg(long, default_value_t = LIST_LAG_MS)]
    pub list_lag_ms: u64,
    /// Time after which the entry of a silent server is removed, in milliseconds; never if it is 0.
    #[arg(long, default_value_t = 0)]
    pub expire_ms: u64,
}

/// Runs the stand-in until it is killed.
pub fn run(options: Options) -> ExitCode {
    crate::runtime::stand("platform", serve(options))
}

async fn serve(options: Options) -> std::io::Result<()> {
    let listener = crate::listen::bind(options.listen)?;
    tracing::info!("platform: listening on {}.", options.listen);
    let platform = Rc::new(Platform::new(&options));
    if options.expire_ms > 0 {
        let platform = platform.clone();
        let silence = std::time::Duration::from_millis(options.expire_ms);
        monoio::spawn(async move { platform.expire(silence).await });
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

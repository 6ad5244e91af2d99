//! Where the operators' commands find the platform and the instances.

use std::{
    future::Future,
    net::SocketAddr,
    process::ExitCode,
    time::Duration, //
};

use adapter::Client;
use clap::Args;
use error_stack::{
    Report,
    ResultExt, //
};
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};

use crate::{
    cli::USAGE,
    commands::Error, //
};

/// Options that the operators' commands share.
#[derive(Debug, Clone, Args)]
pub(crate) struct Target {
    /// Address of the platform's store.
    #[arg(long, global = true, env = "TANAGERYOKE_PLATFORM")]
    platform: Option<SocketAddr>,
    /// Longest wait for an answer of the platform.
    #[arg(
        long,
        global = true,
        env = "TANAGERYOKE_PLATFORM_TIMEOUT",
        default_value = "2s",
        value_parser = humantime::parse_duration
    )]
    platform_timeout: Duration,
    /// Address that an instance listens on for callers; asked in place of the platform's list.
    #[arg(
        long = "instance",
        global = true,
        env = "TANAGERYOKE_INSTANCE",
        value_delimiter = ','
    )]
    pub(crate) instances: Vec<SocketAddr>,
    /// Prints JSON in place of text.
    #[arg(long, global = true, env = "TANAGERYOKE_JSON")]
    pub(crate) json: bool,
}

impl Target {
    /// Returns the exit code for a platform that isn't named.
    pub(crate) fn missing(&self) -> Option<ExitCode> {
        if self.platform.is_some() {
            return None;
        }
        eprintln!("--platform (TANAGERYOKE_PLATFORM): missing, expected an IP number and a port");
        Some(ExitCode::from(USAGE))
    }

    /// Makes a client of the platform.
    ///
    /// # Errors
    ///
    /// Fails if no address is set.
    pub(crate) fn client(&self) -> Result<Client, Report<Error>> {
        let address = self.platform.ok_or(Error::Platform)?;
        Ok(Client::new(address, self.platform_timeout))
    }
}

/// Runs `future` on a runtime of its own.
///
/// # Errors
///
/// Fails if the runtime can't be built, or as `future` does.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, Report<Error>>>,
) -> Result<T, Report<Error>> {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?
        .block_on(future)
}

//! Addresses of the platform's store and of instances, for the operators' commands.

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
    cli::EXIT_USAGE,
    commands::Error, //
};

/// Options that the operators' commands share.
#[derive(Debug, Clone, Args)]
pub(crate) struct Target {
    /// Address of the platform's store.
    #[arg(long, global = true, env = "TANAGERYOKE_PLATFORM")]
    platform: Option<SocketAddr>,
    /// Longest wait for a reply of the platform's store.
    #[arg(
        long,
        global = true,
        env = "TANAGERYOKE_PLATFORM_TIMEOUT",
        default_value = "2s",
        value_parser = humantime::parse_duration
    )]
    platform_timeout: Duration,
    /// Address that an instance listens on for callers. The given instances are asked instead of those in the platform's list.
    #[arg(
        long = "instance",
        global = true,
        env = "TANAGERYOKE_INSTANCE",
        value_delimiter = ','
    )]
    pub(crate) instances: Vec<SocketAddr>,
    /// Prints JSON instead of text.
    #[arg(long, global = true, env = "TANAGERYOKE_JSON")]
    pub(crate) json: bool,
}

impl Target {
    /// If no address of the platform's store is set, prints that and returns the exit code for it.
    pub(crate) fn report_missing_platform(&self) -> Option<ExitCode> {
        if self.platform.is_some() {
            return None;
        }
        eprintln!("--platform (TANAGERYOKE_PLATFORM): missing, expected an IP number and a port");
        Some(ExitCode::from(EXIT_USAGE))
    }

    /// Creates a client of the platform's store.
    ///
    /// # Errors
    ///
    /// Fails if no address is set.
    pub(crate) fn client(&self) -> Result<Client, Report<Error>> {
        let address = self.platform.ok_or(Error::Platform)?;
        Ok(Client::new(address, self.platform_timeout))
    }
}

/// Runs `future` on a new runtime.
///
/// # Errors
///
/// Fails if the runtime can't be built or `future` fails.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, Report<Error>>>,
) -> Result<T, Report<Error>> {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .change_context(Error::Runtime)?
        .block_on(future)
}

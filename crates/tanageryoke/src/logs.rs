//! The process's log, on standard error.

use error_stack::{
    Report,
    ResultExt, //
};
use tracing_subscriber::EnvFilter;

use crate::{
    commands::Error,
    configs::serve::{
        Format,
        Settings, //
    },
};

/// Sends log lines to standard error, in the format and at the levels of the settings.
///
/// # Errors
///
/// Fails if a log is set up already or the levels aren't valid.
pub fn start(settings: &Settings) -> Result<(), Report<Error>> {
    let filter = EnvFilter::try_new(&*settings.log_level).change_context(Error::Logs)?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(std::io::stderr);
    let started = match settings.log_format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|_| Report::new(Error::Logs))
}

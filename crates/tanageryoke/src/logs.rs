//! The process's log, on standard output.
//!
//! Lines go through a bounded buffer to a thread that writes them, so that a reader that stops
//! reading never stops the process. Lines beyond the buffer or the rate are dropped and counted.

mod buffer;

use std::time::Duration;

use error_stack::{
    Report,
    ResultExt, //
};
use tracing_subscriber::EnvFilter;

use crate::{
    commands::Error,
    configs::serve::Format, //
};

pub use buffer::{
    Buffer,
    Limits, //
};

/// Longest wait for lines to be written when the process ends.
const FLUSH: Duration = Duration::from_millis(200);

/// The log of the process, until it is closed.
#[derive(Debug)]
pub struct Log(Buffer);

impl Log {
    /// Writes what is left, for a moment at most.
    pub fn close(self) {
        self.0.flush(FLUSH);
    }
}

/// Sends log lines to standard output, in the given format and at the given levels.
///
/// # Errors
///
/// Fails if a log is set up already or the levels aren't valid.
pub fn start(format: Format, levels: &str) -> Result<Log, Report<Error>> {
    let filter = EnvFilter::try_new(levels).change_context(Error::Logs)?;
    let buffer = Buffer::start(std::io::stdout(), Limits::default()).change_context(Error::Logs)?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(buffer.clone());
    let started = match format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|_| Report::new(Error::Logs))?;
    Ok(Log(buffer))
}

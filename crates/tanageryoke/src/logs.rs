//! Log of the process, on standard output.
//!
//! A separate thread writes the lines from a bounded buffer, so that a reader of the output that blocks
//! can't block the process. Lines that exceed the buffer or the rate limit are dropped and counted.

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

/// Maximum time to wait for buffered lines to be written when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The log of the process, until it is closed.
#[derive(Debug)]
pub struct Log(Buffer);

impl Log {
    /// Waits until the buffered lines are written, for at most `FLUSH_TIMEOUT`.
    pub fn close(self) {
        self.0.flush(FLUSH_TIMEOUT);
    }
}

/// Starts logging to standard output, in the given format and at the given levels.
///
/// # Errors
///
/// Fails if a log is already set up, the levels aren't valid, or the thread can't be started.
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

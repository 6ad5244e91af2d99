//! Errors of the commands.

/// Reason why a command failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The log can't be set up.
    Logs,
    /// The metrics can't be set up.
    Metrics,
    /// The process can't listen on an address.
    Listen,
    /// Signals can't be received.
    Signals,
    /// The runtime can't be built.
    Runtime,
    /// The instance is unreachable.
    Unreachable,
    /// The instance's answer isn't valid or lacks the requested part.
    Answer,
    /// The platform's store is unavailable or rejected the request.
    Platform,
    /// The platform's store rejected a write, or it wasn't sent.
    NotWritten,
    /// A document in the platform's store can't be parsed or serialized.
    Document,
    /// A file can't be read or has an unknown extension.
    File,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Logs => "the log can't be set up",
            Self::Metrics => "the metrics can't be set up",
            Self::Listen => "can't listen on the address",
            Self::Signals => "signals can't be received",
            Self::Runtime => "the runtime can't be built",
            Self::Unreachable => "the instance can't be reached",
            Self::Answer => "the instance's answer isn't valid",
            Self::Platform => "the platform's store is unavailable",
            Self::NotWritten => "the platform refused the write; nothing was written",
            Self::Document => "a document in the platform's store can't be parsed",
            Self::File => "the file can't be read",
        })
    }
}

impl std::error::Error for Error {}

//! Why a command failed.

/// What a command couldn't do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The log can't be set up.
    Logs,
    /// The metrics can't be set up.
    Metrics,
    /// An address can't be listened on.
    Listen,
    /// Signals can't be received.
    Signals,
    /// The runtime can't be built.
    Runtime,
    /// The instance can't be reached.
    Unreachable,
    /// The instance's answer can't be understood.
    Answer,
    /// The platform can't be reached or refused.
    Platform,
    /// The platform refused a write.
    NotWritten,
    /// A document of the platform can't be understood.
    Document,
    /// A file can't be read.
    File,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Logs => "the log can't be set up",
            Self::Metrics => "the metrics can't be set up",
            Self::Listen => "an address can't be listened on",
            Self::Signals => "signals can't be received",
            Self::Runtime => "the runtime can't be built",
            Self::Unreachable => "the instance can't be reached",
            Self::Answer => "the instance's answer can't be understood",
            Self::Platform => "the platform can't be reached",
            Self::NotWritten => "the platform refused the write; nothing was written",
            Self::Document => "a document of the platform can't be understood",
            Self::File => "the file can't be read",
        })
    }
}

impl std::error::Error for Error {}

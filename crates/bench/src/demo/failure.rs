//! Errors that end a demo or a soak run.

use std::sync::Arc;

/// An error that ends a demo or a soak run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The runtime failed.
    Runtime,
    /// The signal handlers can't be installed.
    Signal,
    /// No free port was found.
    Ports,
    /// The named child process can't be started.
    Start(Arc<str>),
    /// The named child process ended before it was ready.
    Ended(Arc<str>),
    /// The named child process wasn't ready in time.
    Unready(Arc<str>),
    /// The named control call to a stand-in failed.
    Control(&'static str),
    /// The preset file can't be read or parsed.
    Preset,
    /// The trace can't be loaded.
    Trace,
    /// The replay failed.
    Replay,
    /// The report can't be finished, or a file of the run can't be written.
    Report,
    /// The case file can't be read or parsed.
    Cases,
    /// The demo was interrupted.
    Interrupted,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Runtime => f.write_str("the runtime failed"),
            Self::Signal => f.write_str("the signal handlers can't be installed"),
            Self::Ports => f.write_str("no free port was found"),
            Self::Start(name) => write!(f, "{name} can't be started"),
            Self::Ended(name) => write!(f, "{name} ended before it was ready"),
            Self::Unready(name) => write!(f, "{name} wasn't ready in time"),
            Self::Control(call) => write!(f, "the control call {call} failed"),
            Self::Preset => f.write_str("the preset file can't be read or parsed"),
            Self::Trace => f.write_str("the trace can't be loaded"),
            Self::Report => f.write_str("the report can't be finished"),
            Self::Replay => f.write_str("the replay failed"),
            Self::Cases => f.write_str("the case file can't be read or parsed"),
            Self::Interrupted => f.write_str("interrupted"),
        }
    }
}

impl std::error::Error for Failure {}

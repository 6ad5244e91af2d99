//! Settings of `relay` that aren't in the platform's settings file.

use std::{
    sync::Arc,
    time::Duration, //
};

use clap::Args;

use crate::configs::serve::{
    duration,
    levels,
    parse,
    Fault,
    Format,
    Reader, //
};

/// The settings, unparsed. Each is a flag and an environment variable.
#[derive(Debug, Clone, Default, Args)]
pub struct Flags {
    /// Time reserved for the network delay to the caller, subtracted from a query's latency objective [default: 12ms].
    #[arg(long, env = "TANAGERYOKE_CALLER_MARGIN")]
    pub caller_margin: Option<String>,
    /// Longest wait for a reply of the store [default: 1s].
    #[arg(long, env = "TANAGERYOKE_PLATFORM_TIMEOUT")]
    pub platform_timeout: Option<String>,
    /// Format of the log, `text` or `json` [default: json].
    #[arg(long, env = "TANAGERYOKE_LOG_FORMAT")]
    pub log_format: Option<String>,
    /// Levels of the log, such as `info` or `info,relay=debug` [default: info].
    #[arg(long, env = "TANAGERYOKE_LOG_LEVEL")]
    pub log_level: Option<String>,
}

/// The settings, validated.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time reserved for the network delay to the caller, subtracted from a query's latency objective.
    pub caller_margin: Duration,
    /// Timeout of calls to the store.
    pub platform_timeout: Duration,
    /// Format of the log.
    pub log_format: Format,
    /// Levels of the log.
    pub log_level: Arc<str>,
}

impl Settings {
    /// Parses and validates all settings.
    ///
    /// # Errors
    ///
    /// Returns every fault, in the order of the flags.
    pub fn read(flags: Flags) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader::default();
        let settings = Self::collect(&mut reader, flags);
        settings.ok_or(reader.faults)
    }

    fn collect(reader: &mut Reader, flags: Flags) -> Option<Self> {
        let or_default =
            |value: Option<String>, default: &str| value.or_else(|| Some(default.to_owned()));
        let margin = or_default(flags.caller_margin, "12ms");
        let margin = reader.read("caller-margin", margin, "0ms to 1s", |text| {
            duration(text, Duration::ZERO, Duration::from_secs(1))
        });
        let timeout = or_default(flags.platform_timeout, "1s");
        let timeout = reader.read("platform-timeout", timeout, "10ms to 60s", |text| {
            duration(text, Duration::from_millis(10), Duration::from_secs(60))
        });
        let log_format = or_default(flags.log_format, "json");
        let log_format = reader.read("log-format", log_format, "text or json", parse);
        let log_level = or_default(flags.log_level, "info");
        let log_level = reader.read("log-level", log_level, "a level filter", levels);
        Some(Self {
            caller_margin: margin?,
            platform_timeout: timeout?,
            log_format: log_format?,
            log_level: log_level?,
        })
    }
}

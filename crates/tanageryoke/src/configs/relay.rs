//! Settings of `relay` that are its own; the rest comes from the platform's settings file.

use std::time::Duration;

use clap::Args;

use crate::configs::serve::{
    Fault,
    Format, //
};

/// The settings as they are written. Each is a flag and an environment variable.
#[derive(Debug, Clone, Default, Args)]
pub struct Flags {
    /// Time taken off a query's objective for the way to its caller [default: 12ms].
    #[arg(long, env = "TANAGERYOKE_CALLER_MARGIN")]
    pub caller_margin: Option<String>,
    /// Longest wait for an answer of the store [default: 1s].
    #[arg(long, env = "TANAGERYOKE_PLATFORM_TIMEOUT")]
    pub platform_timeout: Option<String>,
    /// Format of the log, `text` or `json` [default: json].
    #[arg(long, env = "TANAGERYOKE_LOG_FORMAT")]
    pub log_format: Option<String>,
    /// Levels of the log, such as `info` or `info,relay=debug` [default: info].
    #[arg(long, env = "TANAGERYOKE_LOG_LEVEL")]
    pub log_level: Option<String>,
}

/// The settings, checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time taken off a query's objective for the way to its caller.
    pub caller_margin: Duration,
    /// Longest wait for an answer of the store.
    pub platform_timeout: Duration,
    /// Format of the log.
    pub log_format: Format,
    /// Levels of the log.
    pub log_level: String,
}

impl Settings {
    /// Checks all settings together.
    ///
    /// # Errors
    ///
    /// Returns every fault, in the order of the flags.
    pub fn read(flags: Flags) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let margin = duration(
            &mut faults,
            "caller-margin",
            flags.caller_margin,
            Duration::from_millis(12),
            "0ms to 1s",
        );
        let timeout = duration(
            &mut faults,
            "platform-timeout",
            flags.platform_timeout,
            Duration::from_secs(1),
            "10ms to 60s",
        );
        let log_format = match flags.log_format.as_deref().map(str::parse) {
            None => Format::Json,
            Some(Ok(format)) => format,
            Some(Err(())) => {
                faults.push(Fault {
                    name: "log-format",
                    value: flags.log_format,
                    range: "text or json",
                });
                Format::Json
            }
        };
        let log_level = flags.log_level.unwrap_or_else(|| "info".to_owned());
        if tracing_subscriber::EnvFilter::try_new(&log_level).is_err() {
            faults.push(Fault {
                name: "log-level",
                value: Some(log_level.clone()),
                range: "a level filter",
            });
        }
        match faults.is_empty() {
            true => Ok(Self {
                caller_margin: margin,
                platform_timeout: timeout,
                log_format,
                log_level,
            }),
            false => Err(faults),
        }
    }
}

fn duration(
    faults: &mut Vec<Fault>,
    name: &'static str,
    value: Option<String>,
    default: Duration,
    range: &'static str,
) -> Duration {
    let (least, most) = match name {
        "caller-margin" => (Duration::ZERO, Duration::from_secs(1)),
        _ => (Duration::from_millis(10), Duration::from_secs(60)),
    };
    let Some(text) = value else { return default };
    match humantime::parse_duration(&text) {
        Ok(duration) if (least..=most).contains(&duration) => duration,
        _ => {
            faults.push(Fault {
                name,
                value: Some(text),
                range,
            });
            default
        }
    }
}

//! The trace decoder.

use std::{
    fmt,
    fs,
    path::Path,
    str, //
};

use error_stack::{
    Report,
    ResultExt, //
};
use serde::de::DeserializeOwned;

use super::{
    Arrival,
    Header,
    Trace,
    FORMAT, //
};

/// Why a trace can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The file can't be read.
    Read,
    /// The file can't be written.
    Write,
    /// The text isn't UTF-8.
    Encoding,
    /// There is no header.
    Empty,
    /// The header names an unknown format.
    Format {
        /// The format in the header.
        found: u32,
    },
    /// A line isn't valid JSON of a header or an arrival.
    Line {
        /// Number of the line, from 1.
        number: usize,
    },
    /// An arrival is earlier than the one before it.
    Order {
        /// Number of the line, from 1.
        number: usize,
    },
    /// A target is empty or has characters other than lowercase letters, digits and hyphens.
    Target {
        /// Number of the line, from 1.
        number: usize,
    },
    /// An idempotent request has a key, or one that isn't idempotent has none.
    Key {
        /// Number of the line, from 1.
        number: usize,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read => f.write_str("trace can't be read"),
            Self::Write => f.write_str("trace can't be written"),
            Self::Encoding => f.write_str("trace isn't UTF-8"),
            Self::Empty => f.write_str("trace has no header"),
            Self::Format { found } => write!(f, "trace format {found} isn't known, want {FORMAT}"),
            Self::Line { number } => write!(f, "line {number} isn't valid"),
            Self::Order { number } => write!(f, "line {number} is earlier than the one before"),
            Self::Target { number } => write!(f, "line {number}: `target` isn't a valid name"),
            Self::Key { number } => write!(f, "line {number}: `key` and `idempotent` disagree"),
        }
    }
}

impl std::error::Error for Error {}

/// Reads the trace file at `path`.
///
/// # Errors
///
/// Fails if the file can't be read or isn't a valid trace.
pub fn load(path: &Path) -> Result<Trace, Report<Error>> {
    let bytes = fs::read(path)
        .change_context(Error::Read)
        .attach_with(|| path.display().to_string())?;
    decode(&bytes).attach_with(|| path.display().to_string())
}

/// Reads a trace from the bytes of its file.
///
/// # Errors
///
/// Fails at the first line that isn't valid, and names its number where one line is at fault.
pub fn decode(bytes: &[u8]) -> Result<Trace, Report<Error>> {
    let text = str::from_utf8(bytes).change_context(Error::Encoding)?;
    let mut lines = text.lines().enumerate();
    let (_, first) = lines.next().ok_or(Error::Empty)?;
    let header: Header = parse_line(0, first)?;
    if header.format != FORMAT {
        return Err(Report::new(Error::Format {
            found: header.format,
        }));
    }
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (index, line) in lines {
        let arrival: Arrival = parse_line(index, line)?;
        validate(index + 1, &arrival, arrivals.last())?;
        arrivals.push(arrival);
    }
    Ok(Trace { header, arrivals })
}

fn parse_line<T: DeserializeOwned>(index: usize, line: &str) -> Result<T, Report<Error>> {
    serde_json::from_str(line).change_context(Error::Line { number: index + 1 })
}

fn validate(number: usize, arrival: &Arrival, previous: Option<&Arrival>) -> Result<(), Error> {
    if previous.is_some_and(|previous| arrival.at_us < previous.at_us) {
        return Err(Error::Order { number });
    }
    if !is_name(&arrival.target) {
        return Err(Error::Target { number });
    }
    if arrival.key.is_some() == arrival.idempotent {
        return Err(Error::Key { number });
    }
    Ok(())
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.bytes().all(is_allowed)
}

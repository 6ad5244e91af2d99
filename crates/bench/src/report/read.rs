//! Reads reports that were printed as JSON.

use std::{
    fmt,
    fs,
    path::Path, //
};

use error_stack::{
    Report,
    ResultExt, //
};

use super::Summary;

/// Why no report can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The file can't be read.
    Read,
    /// No line holds a report.
    Empty,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "a report can't be read",
            Self::Empty => "there is no report",
        })
    }
}

impl std::error::Error for Error {}

/// Reads every report in a file; one without a label is labelled with the file's name.
///
/// # Errors
///
/// Fails if the file can't be read or holds no report.
pub fn load(path: &Path) -> Result<Vec<Summary>, Report<Error>> {
    let text = fs::read_to_string(path)
        .change_context(Error::Read)
        .attach_with(|| path.display().to_string())?;
    let mut summaries = decode(&text).attach_with(|| path.display().to_string())?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    for summary in summaries
        .iter_mut()
        .filter(|summary| summary.label.is_empty())
    {
        summary.label = name.clone().into_owned();
    }
    Ok(summaries)
}

/// Reads every report in a text, skipping the lines that hold none.
///
/// # Errors
///
/// Fails if no line holds a report.
pub fn decode(text: &str) -> Result<Vec<Summary>, Report<Error>> {
    let lines = text.lines().filter(|line| line.starts_with('{'));
    let summaries: Vec<Summary> = lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .filter(|summary: &Summary| summary.all.queries > 0)
        .collect();
    match summaries.is_empty() {
        true => Err(Report::new(Error::Empty)),
        false => Ok(summaries),
    }
}

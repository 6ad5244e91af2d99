//! Output for an update that conflicted with another operator's update.

use std::process::ExitCode;

use serde::Serialize;
use serde_json::json;

use crate::commands::{
    document::{
        Document,
        Update, //
    },
    output,
    target::Target, //
};

/// Returns the version that was written, or prints what another operator changed and returns the exit code.
///
/// `headline` summarizes the current value.
pub(crate) fn resolve<T: Serialize>(
    target: &Target,
    base: &Document<T>,
    update: Update<T>,
    headline: impl FnOnce(&T) -> String,
) -> Result<u64, ExitCode> {
    let (reason, current) = match update {
        Update::Written(version) => return Ok(version),
        Update::Conflict(current) => (
            "somebody else made a change first; nothing was written",
            Some(current),
        ),
        Update::Unknown(current) => (
            "the reply was lost; the change may have been written and then overwritten",
            current,
        ),
    };
    let changes = current.as_ref().map_or_else(Vec::new, |current| {
        output::changes(&base.value, &current.value)
    });
    let version = current.as_ref().map(|current| current.version);
    let headline = current.map(|current| headline(&current.value));
    if target.json {
        output::print_json(&json!({
            "refused": reason,
            "version": version,
            "now": headline,
            "changes": changes,
        }));
        return Err(ExitCode::FAILURE);
    }
    eprintln!("refused: {reason}");
    match (headline, version) {
        (Some(headline), Some(version)) => {
            output::print_line(&format!("{headline}, version {version}"))
        }
        _ => output::print_line("the current version can't be read"),
    }
    output::print_changes(&changes);
    Err(ExitCode::FAILURE)
}

//! What the loser of a race between operators is shown.

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

/// Returns the version that was written, or shows what somebody else changed.
///
/// `headline` says in a few words what holds by now.
pub(crate) fn settle<T: Serialize>(
    target: &Target,
    base: &Document<T>,
    update: Update<T>,
    headline: impl FnOnce(&T) -> String,
) -> Result<u64, ExitCode> {
    let (told, now) = match update {
        Update::Done(version) => return Ok(version),
        Update::Raced(now) => (
            "somebody else made a change first; nothing was written",
            Some(now),
        ),
        Update::Unknown(now) => (
            "the reply was lost; the change may have held before what is there now",
            now,
        ),
    };
    let changes = now
        .as_ref()
        .map_or_else(Vec::new, |now| output::changes(&base.value, &now.value));
    let version = now.as_ref().map(|now| now.version);
    let headline = now.map(|now| headline(&now.value));
    if target.json {
        output::print_json(&json!({
            "refused": told,
            "version": version,
            "now": headline,
            "changes": changes,
        }));
        return Err(ExitCode::FAILURE);
    }
    eprintln!("refused: {told}");
    match (headline, version) {
        (Some(headline), Some(version)) => {
            output::print_line(&format!("{headline}, version {version}"))
        }
        _ => output::print_line("what holds now can't be read"),
    }
    output::print_changes(&changes);
    Err(ExitCode::FAILURE)
}

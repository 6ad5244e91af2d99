//! Changes of operators' marks, for `instance` and `backend`.

use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::Arc, //
};

use config::{
    marks::Mark,
    Marks, //
};
use error_stack::Report;
use serde_json::json;

use crate::commands::{
    document,
    output,
    race,
    target::Target,
    Error, //
};

/// Changes one mark if nobody changed the marks meanwhile; `None` takes the mark away.
pub(crate) async fn set(
    target: &Target,
    part: impl Fn(&mut Marks) -> &mut BTreeMap<Arc<str>, Mark>,
    name: &str,
    mark: Option<Mark>,
) -> Result<ExitCode, Report<Error>> {
    let store = target.client()?;
    let base = document::read::<Marks, _>(&store, Marks::NAME).await?;
    let mut next = base.value.clone();
    match mark {
        Some(mark) => drop(part(&mut next).insert(name.into(), mark)),
        None => drop(part(&mut next).remove(name)),
    }
    let version = match next == base.value {
        true => base.version,
        false => {
            let update = document::write(&store, Marks::NAME, &base, &next).await?;
            let headline = |now: &Marks| {
                let now = part(&mut now.clone()).get(name).copied();
                format!("{name} is now {}", word(now))
            };
            match race::settle(target, &base, update, headline) {
                Ok(version) => version,
                Err(code) => return Ok(code),
            }
        }
    };
    match target.json {
        true => output::print_json(&json!({ "name": name, "mark": mark, "version": version })),
        false => output::print_line(&format!("{name}: {}, version {version}", word(mark))),
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the word that stands for a mark.
pub(crate) fn word(mark: Option<Mark>) -> &'static str {
    match mark {
        Some(Mark::Joining) => "joining",
        Some(Mark::Leaving) => "leaving",
        None => "not marked",
    }
}

//! Updates of operators' marks, for the commands `instance` and `backend`.

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
    conflict,
    document,
    output,
    target::Target,
    Error, //
};

/// Sets one mark, or removes it if `mark` is `None`, unless another operator changed the marks in the
/// meantime. `map` selects the marks of instances or of backend servers.
pub(crate) async fn set(
    target: &Target,
    map: impl Fn(&mut Marks) -> &mut BTreeMap<Arc<str>, Mark>,
    name: &str,
    mark: Option<Mark>,
) -> Result<ExitCode, Report<Error>> {
    let store = target.client()?;
    let base = document::read::<Marks, _>(&store, Marks::NAME).await?;
    let mut next = base.value.clone();
    match mark {
        Some(mark) => drop(map(&mut next).insert(name.into(), mark)),
        None => drop(map(&mut next).remove(name)),
    }
    let version = match next == base.value {
        true => base.version,
        false => {
            let update = document::write(&store, Marks::NAME, &base, &next).await?;
            let headline = |current: &Marks| {
                let mark = map(&mut current.clone()).get(name).copied();
                format!("{name} is now {}", label(mark))
            };
            match conflict::resolve(target, &base, update, headline) {
                Ok(version) => version,
                Err(code) => return Ok(code),
            }
        }
    };
    match target.json {
        true => output::print_json(&json!({ "name": name, "mark": mark, "version": version })),
        false => output::print_line(&format!("{name}: {}, version {version}", label(mark))),
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the label of a mark for output.
pub(crate) fn label(mark: Option<Mark>) -> &'static str {
    match mark {
        Some(Mark::Joining) => "joining",
        Some(Mark::Leaving) => "leaving",
        None => "not marked",
    }
}

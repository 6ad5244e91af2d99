//! `tanageryoke instance`: lists instances and marks them as joining or leaving.

use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::Arc, //
};

use clap::{
    Args,
    Subcommand, //
};
use config::{
    marks::Mark,
    Marks, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use platform::Store;
use serde::Serialize;

use crate::commands::{
    document, marks, output,
    target::{
        block_on,
        Target, //
    },
    Error,
};

/// Options of `instance`.
#[derive(Debug, Args)]
pub struct Flags {
    #[command(flatten)]
    target: Target,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Lists the instances that the platform knows or operators marked.
    List,
    /// Marks an instance as joining, so that it takes its share of the work.
    Join {
        /// Name of the instance.
        name: String,
    },
    /// Marks an instance as leaving, so that its work goes to others.
    Leave {
        /// Name of the instance.
        name: String,
    },
}

/// Instance in the output.
#[derive(Debug, Default, Serialize)]
struct Row {
    address: Option<String>,
    zone: Option<String>,
    leaving: bool,
    mark: Option<Mark>,
}

/// Runs one action.
///
/// # Errors
///
/// Fails if the store can't be read or nothing could be written. A conflicting change and an unknown
/// outcome give exit code 1.
pub fn run(flags: Flags) -> Result<ExitCode, Report<Error>> {
    let target = &flags.target;
    if let Some(code) = target.report_missing_platform() {
        return Ok(code);
    }
    match &flags.action {
        Action::List => block_on(list(target)),
        Action::Join { name } => block_on(marks::set(
            target,
            instance_marks,
            name,
            Some(Mark::Joining),
        )),
        Action::Leave { name } => block_on(marks::set(
            target,
            instance_marks,
            name,
            Some(Mark::Leaving),
        )),
    }
}

fn instance_marks(marks: &mut Marks) -> &mut BTreeMap<Arc<str>, Mark> {
    &mut marks.instances
}

async fn list(target: &Target) -> Result<ExitCode, Report<Error>> {
    let store = target.client()?;
    let marks = document::read::<Marks, _>(&store, Marks::NAME).await?.value;
    let instances = store.instances().await.change_context(Error::Platform)?;
    let mut rows = BTreeMap::<String, Row>::new();
    for instance in instances {
        let row = rows.entry(instance.name.to_string()).or_default();
        row.address = Some(instance.address.to_string());
        row.zone = Some(instance.zone.to_string());
        row.leaving = instance.leaving;
    }
    for (name, mark) in &marks.instances {
        rows.entry(name.to_string()).or_default().mark = Some(*mark);
    }
    if target.json {
        output::print_json(&rows);
        return Ok(ExitCode::SUCCESS);
    }
    let head = ["INSTANCE", "ADDRESS", "ZONE", "PLATFORM", "MARK"];
    let mut table = vec![head.map(str::to_owned)];
    table.extend(rows.into_iter().map(|(name, row)| table_row(name, row)));
    output::print_table(&table);
    Ok(ExitCode::SUCCESS)
}

fn table_row(name: String, row: Row) -> [String; 5] {
    let placeholder = || "-".to_owned();
    let platform = match (&row.address, row.leaving) {
        (None, _) => "unknown",
        (Some(_), true) => "leaving",
        (Some(_), false) => "live",
    };
    [
        name,
        row.address.unwrap_or_else(placeholder),
        row.zone.unwrap_or_else(placeholder),
        platform.to_owned(),
        marks::label(row.mark).to_owned(),
    ]
}

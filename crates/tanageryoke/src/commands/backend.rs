//! `tanageryoke backend`: lists backend servers, drains them and returns them to service.

use std::process::ExitCode;

use clap::{
    Args,
    Subcommand, //
};
use config::{
    marks::Mark,
    Catalog,
    Marks, //
};
use error_stack::Report;
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

/// Options of `backend`.
#[derive(Debug, Args)]
pub struct Flags {
    #[command(flatten)]
    target: Target,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Lists the backend servers of the catalog.
    List,
    /// Marks a backend server as leaving, so that it gets no new work.
    Leave {
        /// Name of the backend server.
        name: String,
    },
    /// Removes the mark; the backend server gets work again and starts with a warm-up.
    Return {
        /// Name of the backend server.
        name: String,
    },
}

/// Backend server in the output.
#[derive(Debug, Serialize)]
struct Row {
    service: String,
    name: String,
    address: String,
    zone: String,
    leaving: bool,
    mark: Option<Mark>,
}

/// Runs one action.
///
/// # Errors
///
/// Fails if the store can't be read or nothing could be written. An unknown backend server, a conflicting
/// change and an unknown outcome give exit code 1.
pub fn run(flags: Flags) -> Result<ExitCode, Report<Error>> {
    let target = &flags.target;
    if let Some(code) = target.report_missing_platform() {
        return Ok(code);
    }
    match &flags.action {
        Action::List => block_on(list(target)),
        Action::Leave { name } => block_on(set(target, name, Some(Mark::Leaving))),
        Action::Return { name } => block_on(set(target, name, None)),
    }
}

async fn list(target: &Target) -> Result<ExitCode, Report<Error>> {
    let store = target.client()?;
    let marks = document::read::<Marks, _>(&store, Marks::NAME).await?.value;
    let rows = rows(&store, &marks).await?;
    if target.json {
        output::print_json(&rows);
        return Ok(ExitCode::SUCCESS);
    }
    let head = ["SERVICE", "SERVER", "ADDRESS", "ZONE", "PLATFORM", "MARK"];
    let mut table = vec![head.map(str::to_owned)];
    table.extend(rows.into_iter().map(table_row));
    output::print_table(&table);
    Ok(ExitCode::SUCCESS)
}

/// Sets or removes a mark. On a backend server that isn't in the catalog any more, a mark can only be removed.
async fn set(target: &Target, name: &str, mark: Option<Mark>) -> Result<ExitCode, Report<Error>> {
    let rows = rows(&target.client()?, &Marks::default()).await?;
    if mark.is_some() && !rows.iter().any(|row| row.name == name) {
        return Ok(output::refuse(
            target.json,
            &format!("no such backend server: {name}"),
        ));
    }
    marks::set(target, |marks| &mut marks.servers, name, mark).await
}

async fn rows<S: Store>(store: &S, marks: &Marks) -> Result<Vec<Row>, Report<Error>> {
    let catalog = document::read::<Catalog, _>(store, Catalog::NAME)
        .await?
        .value;
    let mut rows = Vec::new();
    for (service, entry) in &catalog.services {
        let servers = entry.servers.iter().map(|server| Row {
            service: service.to_string(),
            name: server.name.to_string(),
            address: server.address.to_string(),
            zone: server.zone.to_string(),
            leaving: server.leaving,
            mark: marks.servers.get(&server.name).copied(),
        });
        rows.extend(servers);
    }
    Ok(rows)
}

fn table_row(row: Row) -> [String; 6] {
    let platform = match row.leaving {
        true => "leaving",
        false => "live",
    };
    [
        row.service,
        row.name,
        row.address,
        row.zone,
        platform.to_owned(),
        marks::label(row.mark).to_owned(),
    ]
}

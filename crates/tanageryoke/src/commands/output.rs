//! What the operators' commands print.

use std::{
    io::{
        self,
        Write, //
    },
    process::ExitCode, //
};

use serde::Serialize;
use serde_json::{
    json,
    Value, //
};

/// Most differences that are shown.
const CHANGES_MAX: usize = 20;

/// One field that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Change {
    pub(crate) field: String,
    pub(crate) then: Value,
    pub(crate) now: Value,
}

/// Returns the fields in which two documents differ, as paths with dots.
pub(crate) fn changes<T: Serialize>(then: &T, now: &T) -> Vec<Change> {
    let then = serde_json::to_value(then).unwrap_or_default();
    let now = serde_json::to_value(now).unwrap_or_default();
    let mut found = Vec::new();
    compare("", &then, &now, &mut found);
    found.truncate(CHANGES_MAX);
    found
}

fn compare(path: &str, then: &Value, now: &Value, found: &mut Vec<Change>) {
    let (Value::Object(old), Value::Object(new)) = (then, now) else {
        if then != now {
            found.push(Change {
                field: path.trim_start_matches('.').to_owned(),
                then: then.clone(),
                now: now.clone(),
            });
        }
        return;
    };
    let added = new.keys().filter(|key| !old.contains_key(*key));
    for key in old.keys().chain(added) {
        let old = old.get(key).unwrap_or(&Value::Null);
        let new = new.get(key).unwrap_or(&Value::Null);
        compare(&format!("{path}.{key}"), old, new, found);
    }
}

/// Prints the fields in which two documents differ.
pub(crate) fn print_changes(changes: &[Change]) {
    let mut rows = vec![["FIELD", "WAS", "IS NOW"].map(str::to_owned)];
    let shown = changes.iter().map(|change| {
        let (then, now) = (short(&change.then), short(&change.now));
        [change.field.clone(), then, now]
    });
    rows.extend(shown);
    print_table(&rows);
}

fn short(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Object(_) => "(set)".to_owned(),
        value => value.to_string(),
    }
}

/// Prints one line; a reader that went away is no failure.
pub(crate) fn print_line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// Prints rows with their columns aligned.
pub(crate) fn print_table<const N: usize>(rows: &[[String; N]]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0)
    };
    for row in rows {
        let mut line = String::new();
        for (column, cell) in row.iter().enumerate() {
            line.push_str(&format!("{cell:<width$}  ", width = width(column)));
        }
        print_line(line.trim_end());
    }
}

/// Prints why nothing was written and returns the exit code for it.
pub(crate) fn refuse(json: bool, why: &str) -> ExitCode {
    match json {
        true => print_json(&json!({ "refused": why })),
        false => eprintln!("refused: {why}"),
    }
    ExitCode::FAILURE
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    let value = serde_json::to_value(value).unwrap_or_default();
    print_line(&format!("{value:#}"));
}

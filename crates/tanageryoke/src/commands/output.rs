//! Output of the operators' commands.

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

/// Maximum number of differences that are shown.
const MAX_CHANGES: usize = 20;

/// Field that differs between two versions of a document.
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
    let mut differences = Vec::new();
    compare("", &then, &now, &mut differences);
    differences.truncate(MAX_CHANGES);
    differences
}

fn compare(path: &str, then: &Value, now: &Value, differences: &mut Vec<Change>) {
    let (Value::Object(old), Value::Object(new)) = (then, now) else {
        if then != now {
            differences.push(Change {
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
        compare(&format!("{path}.{key}"), old, new, differences);
    }
}

/// Prints the fields in which two documents differ.
pub(crate) fn print_changes(changes: &[Change]) {
    let mut rows = vec![["FIELD", "WAS", "IS NOW"].map(str::to_owned)];
    let change_rows = changes.iter().map(|change| {
        let (then, now) = (summarize(&change.then), summarize(&change.now));
        [change.field.clone(), then, now]
    });
    rows.extend(change_rows);
    print_table(&rows);
}

fn summarize(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Object(_) => "(set)".to_owned(),
        value => value.to_string(),
    }
}

/// Prints one line. Write errors are ignored: the reader of the output may have closed it.
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

/// Prints the reason of a refusal and returns the exit code for it.
pub(crate) fn refuse(json: bool, reason: &str) -> ExitCode {
    match json {
        true => print_json(&json!({ "refused": reason })),
        false => eprintln!("refused: {reason}"),
    }
    ExitCode::FAILURE
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    let value = serde_json::to_value(value).unwrap_or_default();
    print_line(&format!("{value:#}"));
}

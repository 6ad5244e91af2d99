//! Tests of conditional updates, watches and compaction.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde_json::value::RawValue;

use super::{
    Condition,
    Objects,
    Refusal, //
};

fn value(text: &str) -> Arc<RawValue> {
    Arc::from(RawValue::from_string(text.to_owned()).expect("JSON"))
}

#[test]
fn conditional_updates() {
    let mut objects = Objects::default();
    let mut write = |condition| objects.write("config", "presets", condition, value("{}"));
    let results = [
        write(Condition::Version(1)),
        write(Condition::Absent),
        write(Condition::Absent),
        write(Condition::Version(1)),
        write(Condition::Version(1)),
    ];
    insta::assert_debug_snapshot!(results);
}

#[test]
fn versions_grow_over_deletions() {
    let mut objects = Objects::default();
    let first = objects.write("a", "x", Condition::Absent, value("1"));
    let deleted = objects.delete("a", "x", Condition::Version(1));
    let again = objects.write("a", "x", Condition::Absent, value("2"));
    assert_eq!((first, deleted, again), (Ok(1), Ok(2), Ok(3)));
}

#[test]
fn watches_see_changes_of_their_kind() {
    let mut objects = Objects::default();
    objects
        .write("a", "x", Condition::Absent, value("1"))
        .expect("written");
    objects
        .write("b", "y", Condition::Absent, value("2"))
        .expect("written");
    objects
        .delete("a", "x", Condition::Version(1))
        .expect("deleted");
    let listings = [
        objects.changes_after("a", 0),
        objects.changes_after("a", 3),
        objects.changes_after("b", 1),
        objects.changes_after("b", 2),
    ];
    insta::assert_json_snapshot!(listings.map(|listing| listing.expect("not compacted")));
}

#[test]
fn old_revisions_are_compacted() {
    let mut objects = Objects::default();
    let mut version = objects
        .write("a", "x", Condition::Absent, value("0"))
        .expect("written");
    for _ in 0..20_000 {
        version = objects
            .write("a", "x", Condition::Version(version), value("0"))
            .expect("written");
    }
    assert_eq!(
        objects.changes_after("a", 0).err(),
        Some(Refusal::Compacted)
    );
    assert!(objects.changes_after("a", version - 1).is_ok());
}

#[test]
fn oversized_values_are_refused() {
    let mut objects = Objects::default();
    let large = format!("\"{}\"", "x".repeat(::platform::MAX_VALUE_BYTES));
    let refusal = objects.write("a", "x", Condition::Absent, value(&large));
    assert_eq!(refusal, Err(Refusal::Oversized));
}

#[test]
fn accepted_writes_are_listed() {
    let mut objects = Objects::default();
    let mut write = |name, condition| objects.write("config", name, condition, value("{}"));
    let refused = write("presets", Condition::Version(1));
    assert!(refused.is_err());
    assert_eq!(write("presets", Condition::Absent), Ok(1));
    assert_eq!(write("marks", Condition::Absent), Ok(2));
    assert_eq!(write("presets", Condition::Version(1)), Ok(3));
    let accepted = objects.accepted("config", "presets");
    let versions: Vec<_> = accepted.iter().map(|accepted| accepted.version).collect();
    assert_eq!(versions, [1, 3]);
}

/// A restored store gives out revisions again, and a watch from one that it no longer has is compacted.
#[test]
fn restored_store_loses_what_was_written_since_the_copy() {
    let mut objects = Objects::default();
    let created = objects.write("a", "x", Condition::Absent, value("1"));
    std::thread::sleep(Duration::from_millis(60));
    let since = [
        objects.write("a", "x", Condition::Version(1), value("2")),
        objects.write("a", "y", Condition::Absent, value("3")),
        objects.delete("a", "x", Condition::Version(2)),
    ];
    objects.restore(Duration::from_millis(40));
    assert_eq!((created, since), (Ok(1), [Ok(2), Ok(3), Ok(4)]));
    let texts = objects.list("a").objects.into_iter();
    let texts: Vec<String> = texts
        .map(|object| format!("{} {} {}", object.name, object.version, object.value))
        .collect();
    assert_eq!(texts, ["x 1 1"]);
    assert_eq!((objects.revision(), objects.era()), (1, 2));
    assert_eq!(
        objects.changes_after("a", 3).map(|_| ()),
        Err(Refusal::Compacted)
    );
    let again = objects.write("a", "y", Condition::Absent, value("4"));
    assert_eq!(again, Ok(2));
}

//! The operators' commands as processes, against a platform that races and loses replies.

#[path = "common/store.rs"]
mod store;

use std::{
    path::PathBuf,
    process::Command, //
};

use store::{
    Fault,
    Store, //
};

/// Runs the program against `store` and returns its exit code and what it printed.
fn run(store: &Store, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_tanageryoke"))
        .args(arguments)
        .args(["--platform", &store.address.to_string()])
        .env_remove("TANAGERYOKE_INSTANCE")
        .output()
        .expect("the program runs");
    let code = output.status.code().expect("an exit code");
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let complained = String::from_utf8_lossy(&output.stderr).into_owned();
    format!("exit {code}\n{printed}{complained}")
}

/// Writes a file for one test.
fn file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

const USE: &[&str] = &["preset", "use", "peak", "--wait", "0s"];

#[test]
fn presets_are_listed_shown_written_and_chosen() {
    let store = Store::start(Vec::new());
    let peak = file("peak.toml", "deadline_ms = 250\nhedge_budget = 0.05\n");
    let peak = peak.to_str().expect("a path");
    let told = [
        run(&store, &["preset", "list"]),
        run(&store, &["preset", "put", "ordinary", peak, "--wait", "0s"]),
        run(&store, &["preset", "put", "peak", peak, "--wait", "0s"]),
        run(&store, USE),
        run(&store, USE),
        run(&store, &["preset", "list"]),
        run(&store, &["preset", "list", "--json"]),
        run(&store, &["preset", "show", "peak"]),
        run(&store, &["preset", "show", "night"]),
        run(&store, &["preset", "use", "night"]),
        run(&store, &["preset", "use", "ordinary", "--if-version", "1"]),
    ];
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn bad_files_are_refused_before_anything_is_written() {
    let store = Store::start(Vec::new());
    let bad = file("bad.toml", "queue = 20\ndeadline_ms = 5\n");
    let bad = bad.to_str().expect("a path");
    let told = [
        run(&store, &["preset", "check", bad]),
        run(&store, &["preset", "put", "peak", bad]),
        run(&store, &["preset", "put", "a/b", bad]),
        run(&store, &["preset", "list"]),
    ];
    insta::assert_snapshot!(told.join("\n"));
    assert_eq!(store.writes(), 0);
}

/// Fills a store with two presets, then runs `preset use peak` under `faults`.
fn use_under(faults: Vec<Fault>) -> (String, Store) {
    let store = Store::start(faults);
    store.put("presets", PRESETS);
    let told = run(&store, USE);
    (told, store)
}

const PRESETS: &str =
    r#"{"in_force":"ordinary","presets":{"night":{},"ordinary":{},"peak":{"queue":10}}}"#;
const RIVAL: &str =
    r#"{"in_force":"night","presets":{"night":{},"ordinary":{"queue":9},"peak":{"queue":10}}}"#;

#[test]
fn the_loser_of_a_race_is_shown_what_changed() {
    let (told, store) = use_under(vec![Fault::Rival(RIVAL)]);
    insta::assert_snapshot!(told);
    assert_eq!(store.value("presets"), RIVAL);
}

#[test]
fn a_lost_reply_is_settled_by_reading() {
    let faults = [Fault::Lose, Fault::Late, Fault::Drop];
    for fault in faults {
        let (told, store) = use_under(vec![fault.clone()]);
        assert!(told.starts_with("exit 0\nversion"), "{fault:?}: {told}");
        assert!(store.value("presets").contains("\"in_force\":\"peak\""));
    }
}

#[test]
fn an_outcome_that_cannot_be_known_is_not_made_up() {
    let (told, _store) = use_under(vec![Fault::LoseThenRival(RIVAL)]);
    insta::assert_snapshot!(told);
}

#[test]
fn instances_that_lag_are_told() {
    let store = Store::start(Vec::new());
    let instance = store.address.to_string();
    let peak = file("lag.toml", "queue = 7\n");
    let peak = peak.to_str().expect("a path");
    let reach = ["--instance", &instance, "--wait", "0s"];
    let put = |name| [&["preset", "put", name, peak], &reach[..]].concat();
    let choose = |name| [&["preset", "use", name], &reach[..], &["--json"]].concat();
    let told = [
        run(&store, &put("ordinary")),
        run(&store, &put("ordinary")),
        run(&store, &put("peak")),
        run(&store, &choose("peak")),
    ];
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn a_refused_write_is_told() {
    let (told, store) = use_under(vec![Fault::Refuse]);
    assert!(told.starts_with("exit 1"), "{told}");
    assert!(told.contains("nothing was written"), "{told}");
    assert_eq!(store.value("presets"), PRESETS);
}

#[test]
fn instances_and_backend_servers_are_marked() {
    let store = Store::start(Vec::new());
    let catalog = r#"{"groups":{},"services":{"invoice-hall":{"servers":[{"name":"invoice-hall-a",
        "address":"127.0.0.1:9","zone":"east","slots":4,"connections":40}]}}}"#;
    store.put("catalog", catalog);
    let told = [
        run(&store, &["backend", "list"]),
        run(&store, &["backend", "leave", "invoice-hall-a"]),
        run(&store, &["backend", "leave", "invoice-hall-a"]),
        run(&store, &["backend", "list"]),
        run(&store, &["backend", "return", "invoice-hall-a"]),
        run(&store, &["backend", "leave", "invoice-hall-z"]),
        run(&store, &["instance", "leave", "one"]),
        run(&store, &["instance", "join", "two"]),
        run(&store, &["instance", "list"]),
        run(&store, &["instance", "list", "--json"]),
    ];
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn a_platform_has_to_be_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_tanageryoke"))
        .args(["preset", "list"])
        .env_remove("TANAGERYOKE_PLATFORM")
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
}

//! Tests for the operators' commands as processes, with a store where other writers interfere and replies are
//! lost.

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

/// Runs the program with `store` and returns its exit code, its output and its error output.
fn run(store: &Store, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_tanageryoke"))
        .args(arguments)
        .args(["--platform", &store.address.to_string()])
        .env_remove("TANAGERYOKE_INSTANCE")
        .output()
        .expect("the program runs");
    let code = output.status.code().expect("an exit code");
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    format!("exit {code}\n{stdout}{stderr}")
}

/// Writes a file for one test and returns its path.
fn file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

const USE_PEAK: &[&str] = &["preset", "use", "peak", "--wait", "0s"];

#[test]
fn presets_are_listed_shown_written_and_put_in_force() {
    let store = Store::start(Vec::new());
    let peak = file("peak.toml", "deadline_ms = 250\nhedge_budget = 0.05\n");
    let peak = peak.to_str().expect("a path");
    let outputs = [
        run(&store, &["preset", "list"]),
        run(&store, &["preset", "put", "ordinary", peak, "--wait", "0s"]),
        run(&store, &["preset", "put", "peak", peak, "--wait", "0s"]),
        run(&store, USE_PEAK),
        run(&store, USE_PEAK),
        run(&store, &["preset", "list"]),
        run(&store, &["preset", "list", "--json"]),
        run(&store, &["preset", "show", "peak"]),
        run(&store, &["preset", "show", "night"]),
        run(&store, &["preset", "use", "night"]),
        run(&store, &["preset", "use", "ordinary", "--if-version", "1"]),
    ];
    insta::assert_snapshot!(outputs.join("\n"));
}

#[test]
fn invalid_files_are_refused_before_anything_is_written() {
    let store = Store::start(Vec::new());
    let invalid = file("bad.toml", "queue = 20\ndeadline_ms = 5\n");
    let invalid = invalid.to_str().expect("a path");
    let outputs = [
        run(&store, &["preset", "check", invalid]),
        run(&store, &["preset", "put", "peak", invalid]),
        run(&store, &["preset", "put", "a/b", invalid]),
        run(&store, &["preset", "list"]),
    ];
    insta::assert_snapshot!(outputs.join("\n"));
    assert_eq!(store.writes(), 0);
}

/// Runs `preset use peak` with a store that holds [`PRESETS`] and injects `faults`.
fn use_peak_with(faults: Vec<Fault>) -> (String, Store) {
    let store = Store::start(faults);
    store.put("presets", PRESETS);
    let output = run(&store, USE_PEAK);
    (output, store)
}

const PRESETS: &str =
    r#"{"in_force":"ordinary","presets":{"night":{},"ordinary":{},"peak":{"queue":10}}}"#;
const RIVAL_PRESETS: &str =
    r#"{"in_force":"night","presets":{"night":{},"ordinary":{"queue":9},"peak":{"queue":10}}}"#;

#[test]
fn a_conflicting_change_is_shown() {
    let (output, store) = use_peak_with(vec![Fault::ConflictingWrite(RIVAL_PRESETS)]);
    insta::assert_snapshot!(output);
    assert_eq!(store.value("presets"), RIVAL_PRESETS);
}

#[test]
fn a_lost_reply_is_resolved_by_reading() {
    let faults = [Fault::LostReply, Fault::DelayedWrite, Fault::LostWrite];
    for fault in faults {
        let (output, store) = use_peak_with(vec![fault.clone()]);
        assert!(output.starts_with("exit 0\nversion"), "{fault:?}: {output}");
        assert!(store.value("presets").contains("\"in_force\":\"peak\""));
    }
}

#[test]
fn an_unknown_outcome_is_reported() {
    let (output, _store) = use_peak_with(vec![Fault::LostReplyThenWrite(RIVAL_PRESETS)]);
    insta::assert_snapshot!(output);
}

#[test]
fn instances_without_the_new_version_are_listed() {
    let store = Store::start(Vec::new());
    let instance = store.address.to_string();
    let peak = file("lag.toml", "queue = 7\n");
    let peak = peak.to_str().expect("a path");
    let options = ["--instance", &instance, "--wait", "0s"];
    let put = |name| [&["preset", "put", name, peak], &options[..]].concat();
    let activate = |name| [&["preset", "use", name], &options[..], &["--json"]].concat();
    let outputs = [
        run(&store, &put("ordinary")),
        run(&store, &put("ordinary")),
        run(&store, &put("peak")),
        run(&store, &activate("peak")),
    ];
    insta::assert_snapshot!(outputs.join("\n"));
}

#[test]
fn a_rejected_write_is_reported() {
    let (output, store) = use_peak_with(vec![Fault::Reject]);
    assert!(output.starts_with("exit 1"), "{output}");
    assert!(output.contains("nothing was written"), "{output}");
    assert_eq!(store.value("presets"), PRESETS);
}

#[test]
fn instances_and_backend_servers_are_marked() {
    let store = Store::start(Vec::new());
    let catalog = r#"{"groups":{},"services":{"invoice-hall":{"servers":[{"name":"invoice-hall-a",
        "address":"127.0.0.1:9","zone":"east","slots":4,"connections":40}]}}}"#;
    store.put("catalog", catalog);
    let outputs = [
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
    insta::assert_snapshot!(outputs.join("\n"));
}

#[test]
fn the_address_of_the_store_is_required() {
    let output = Command::new(env!("CARGO_BIN_EXE_tanageryoke"))
        .args(["preset", "list"])
        .env_remove("TANAGERYOKE_PLATFORM")
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
}

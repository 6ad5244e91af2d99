//! The promises, checked over real processes while a fault happens.
//!
//! Each run replays a trace through the balancer and has the verifier compare what callers were told
//! with what the backend servers did. The verdict is the verifier's alone: times are left to the
//! bench.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::Command,
    sync::{
        Mutex,
        PoisonError, //
    },
};

use serde_json::Value;

/// One fleet at a time, so that the fleets of several tests don't starve each other.
static TURN: Mutex<()> = Mutex::new(());

/// The daemon, beside the directory of the tests.
fn daemon() -> PathBuf {
    let bench = Path::new(env!("CARGO_BIN_EXE_bench"));
    bench.with_file_name("tanageryoke")
}

/// Runs a demo and returns the violations that it counted, by promise.
fn violations(user: &str, faults: &[&str]) -> Value {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut demo = Command::new(env!("CARGO_BIN_EXE_bench"));
    demo.args(["demo", "--user", user, "--seconds", "6", "--rate", "30"])
        .args(["--instances", "5", "--seed", "7", "--report", "json"])
        .arg("--binary")
        .arg(daemon());
    for fault in faults {
        demo.args(["--fault", fault]);
    }
    let output = demo.output().expect("the demo runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let report = text.lines().last().unwrap_or_default();
    let log = String::from_utf8_lossy(&output.stderr);
    let report: Value = serde_json::from_str(report).unwrap_or_else(|_| panic!("{log}"));
    let answered = report["answered"].as_u64().unwrap_or_default();
    assert!(answered > 0, "nothing was answered: {log}");
    report["violations"].clone()
}

/// The promises that don't depend on how fast this machine is.
const PROMISES: [&str; 7] = [
    "snapshot",
    "coverage",
    "whole",
    "refusal",
    "at_most_once",
    "recorded",
    "connections",
];

fn assert_kept(user: &str, faults: &[&str]) {
    let violations = violations(user, faults);
    for promise in PROMISES {
        assert_eq!(
            violations[promise], 0,
            "{promise}, {faults:?}: {violations}"
        );
    }
}

#[test]
fn promises_hold_while_an_instance_is_killed_and_replies_are_lost() {
    assert_kept("kestrel", &["kill-instance", "lost-replies"]);
}

#[test]
fn promises_hold_while_an_instance_is_frozen_and_the_platform_is_down() {
    assert_kept("prairie", &["freeze-instance", "platform-down"]);
}

#[test]
fn promises_hold_while_shards_are_repartitioned_and_replies_are_spoilt() {
    assert_kept("prairie", &["repartition", "garble"]);
}

#[test]
fn promises_hold_while_instances_are_replaced_in_turn() {
    assert_kept("kestrel", &["rolling-restart"]);
}

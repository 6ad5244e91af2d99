//! Checks the promises of the system on real processes while faults are injected.
//!
//! Each test replays a trace through the balancer. The verifier then compares the answers to callers with the logs
//! of the backend servers. Latency isn't checked here but by the benchmarks.

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

/// Held while a test runs its fleet, so that the fleets of several tests don't compete for CPU time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Returns the path of the daemon, which is in the same folder as the program `bench`.
fn daemon_path() -> PathBuf {
    let bench = Path::new(env!("CARGO_BIN_EXE_bench"));
    bench.with_file_name("tanageryoke")
}

/// Runs a demo, and returns its violation counts by promise.
fn run_demo(user: &str, faults: &[&str]) -> Value {
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut demo = Command::new(env!("CARGO_BIN_EXE_bench"));
    demo.args(["demo", "--user", user, "--seconds", "6", "--rate", "30"])
        .args(["--instances", "5", "--seed", "7", "--report", "json"])
        .arg("--binary")
        .arg(daemon_path());
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

/// Promises whose checks don't depend on the speed of the machine.
const PROMISES: [&str; 7] = [
    "snapshot",
    "coverage",
    "whole",
    "refusal",
    "at_most_once",
    "recorded",
    "connections",
];

fn assert_promises_hold(user: &str, faults: &[&str]) {
    let violations = run_demo(user, faults);
    for promise in PROMISES {
        assert_eq!(
            violations[promise], 0,
            "{promise}, {faults:?}: {violations}"
        );
    }
}

#[test]
fn promises_hold_while_an_instance_is_killed_and_replies_are_lost() {
    assert_promises_hold("kestrel", &["kill-instance", "lost-replies"]);
}

#[test]
fn promises_hold_while_an_instance_is_frozen_and_the_platform_is_down() {
    assert_promises_hold("prairie", &["freeze-instance", "platform-down"]);
}

#[test]
fn promises_hold_while_shards_are_repartitioned_and_replies_are_corrupted() {
    assert_promises_hold("prairie", &["repartition", "garble"]);
}

#[test]
fn promises_hold_during_a_rolling_restart() {
    assert_promises_hold("kestrel", &["rolling-restart"]);
}

//! Runs the demo as a process.

use std::{
    fs,
    process::Command, //
};

/// Environment variable that every process started by a test's demo inherits.
const MARKER_VARIABLE: &str = "BENCH_DEMO_TEST";

/// Returns whether a process is running whose environment has the marker variable set to `value`.
fn is_running(value: &str) -> bool {
    let assignment = format!("{MARKER_VARIABLE}={value}");
    let processes = fs::read_dir("/proc").expect("the list of processes");
    processes.flatten().any(|process| {
        let environment = fs::read(process.path().join("environ")).unwrap_or_default();
        environment
            .split(|byte| *byte == 0)
            .any(|variable| variable == assignment.as_bytes())
    })
}

#[test]
fn demo_fails_and_leaves_no_process_if_an_instance_exits() {
    let marker = std::process::id().to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_bench"))
        .args(["demo", "--instances", "2", "--seconds", "1"])
        .args(["--binary", "/bin/false"])
        .env(MARKER_VARIABLE, &marker)
        .output()
        .expect("the demo runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(
        log.contains("instance-0 ended before it was ready"),
        "{log}"
    );
    assert!(!is_running(&marker));
}

//! The demo as a process.

use std::{
    fs,
    process::Command, //
};

/// Variable that marks every process that a test's demo starts.
const MARK: &str = "BENCH_DEMO_TEST";

/// Returns whether a process with the mark `value` is running.
fn is_running(value: &str) -> bool {
    let mark = format!("{MARK}={value}");
    let processes = fs::read_dir("/proc").expect("the list of processes");
    processes.flatten().any(|process| {
        let environment = fs::read(process.path().join("environ")).unwrap_or_default();
        environment
            .split(|byte| *byte == 0)
            .any(|variable| variable == mark.as_bytes())
    })
}

#[test]
fn an_instance_that_ends_fails_the_demo_and_leaves_no_child() {
    let mark = std::process::id().to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_bench"))
        .args(["demo", "--instances", "2", "--seconds", "1"])
        .args(["--binary", "/bin/false"])
        .env(MARK, &mark)
        .output()
        .expect("the demo runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{log}");
    assert!(
        log.contains("instance-0 ended before it was ready"),
        "{log}"
    );
    assert!(!is_running(&mark));
}

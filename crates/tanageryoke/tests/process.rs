//! Tests for `tanageryoke serve` and `check` as processes: readiness, refusals, the I/O driver and shutdown.

#[path = "common/process.rs"]
mod process;

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use process::{
    free_address,
    send_request,
    send_signal,
    PROGRAM, //
};

/// Maximum number of attempts to reach a process that starts, 10 ms apart.
const MAX_ATTEMPTS: usize = 3_000;

fn start(listen: SocketAddr) -> Child {
    Command::new(PROGRAM)
        .args(["serve", "--name", "a", "--zone", "z"])
        .args(["--listen", &listen.to_string()])
        .args(["--peer-listen", &free_address().to_string()])
        .args(["--platform", &free_address().to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process")
}

fn wait_until_healthy(address: SocketAddr) {
    let request = "GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n";
    for _ in 0..MAX_ATTEMPTS {
        match send_request(address, request) {
            Some(_) => return,
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
    panic!("the instance doesn't answer");
}

fn open_descriptors(child: &Child) -> Vec<String> {
    std::fs::read_dir(format!("/proc/{}/fd", child.id()))
        .expect("descriptors")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|link| link.display().to_string())
        .collect()
}

#[test]
fn an_instance_without_configuration_refuses_queries_and_stops_cleanly() {
    let listen = free_address();
    let mut child = start(listen);
    wait_until_healthy(listen);
    let ready = send_request(listen, "GET /readyz HTTP/1.1\r\nconnection: close\r\n\r\n");
    let query =
        "POST /v1/g/query HTTP/1.1\r\nconnection: close\r\ncontent-length: 11\r\n\r\n{\"query\":1}";
    let refused = send_request(listen, query).expect("an answer");
    let descriptors = open_descriptors(&child);
    send_signal(&child, "-TERM");
    let code = child.wait().expect("an exit code");
    assert!(ready.expect("an answer").starts_with("HTTP/1.1 503"));
    assert!(refused.contains("\"run\":\"not_run\""), "{refused}");
    assert!(refused.contains("retry-after: 1"), "{refused}");
    assert!(
        descriptors.iter().any(|link| link.contains("eventpoll")),
        "{descriptors:?}"
    );
    assert!(
        !descriptors.iter().any(|link| link.contains("io_uring")),
        "{descriptors:?}"
    );
    assert_eq!(code.code(), Some(0));
}

#[test]
fn a_second_signal_ends_the_wait_for_the_balancer() {
    let listen = free_address();
    let mut child = start(listen);
    wait_until_healthy(listen);
    let log = child.stdout.take().expect("a log");
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    send_signal(&child, "-TERM");
    assert!(lines.any(|line| line.contains("serve: leaving.")));
    send_signal(&child, "-TERM");
    let rest: Vec<String> = lines.collect();
    let code = child.wait().expect("an exit code");
    assert!(
        rest.iter().any(|line| line.contains("second signal")),
        "{rest:?}"
    );
    assert!(
        rest.iter().any(|line| line.contains("serve: stopped.")),
        "{rest:?}"
    );
    assert_eq!(code.code(), Some(0));
}

#[test]
fn invalid_settings_give_exit_code_2() {
    let output = Command::new(PROGRAM)
        .args(["check", "--zone", "a zone"])
        .output()
        .expect("a process");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(text);
}

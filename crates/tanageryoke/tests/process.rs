//! The program as a process: readiness, refusals, the dump, descriptors and the stop.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tanageryoke");
/// Tries to reach a process that starts.
const TRIES: usize = 3_000;

/// An address that was free a moment ago.
fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    listener.local_addr().expect("an address")
}

fn start(listen: SocketAddr) -> Child {
    Command::new(PROGRAM)
        .args(["serve", "--name", "a", "--zone", "z"])
        .args(["--listen", &listen.to_string()])
        .args(["--peer-listen", &free().to_string()])
        .args(["--platform", &free().to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process")
}

fn terminate(child: &Child) {
    let kill = Command::new("kill").arg(child.id().to_string()).status();
    assert!(kill.expect("a signal").success());
}

fn ask(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn wait_for(address: SocketAddr) {
    let request = "GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n";
    for _ in 0..TRIES {
        match ask(address, request) {
            Some(_) => return,
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
    panic!("the instance doesn't answer");
}

fn links(child: &Child) -> Vec<String> {
    std::fs::read_dir(format!("/proc/{}/fd", child.id()))
        .expect("descriptors")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|link| link.display().to_string())
        .collect()
}

#[test]
fn an_instance_without_configuration_refuses_truly_and_stops_cleanly() {
    let listen = free();
    let mut child = start(listen);
    wait_for(listen);
    let ready = ask(listen, "GET /readyz HTTP/1.1\r\nconnection: close\r\n\r\n");
    let query =
        "POST /v1/g/query HTTP/1.1\r\nconnection: close\r\ncontent-length: 11\r\n\r\n{\"query\":1}";
    let refused = ask(listen, query).expect("an answer");
    let links = links(&child);
    terminate(&child);
    let code = child.wait().expect("an exit code");
    assert!(ready.expect("an answer").starts_with("HTTP/1.1 503"));
    assert!(refused.contains("\"run\":\"not_run\""), "{refused}");
    assert!(refused.contains("retry-after: 1"), "{refused}");
    assert!(
        links.iter().any(|link| link.contains("eventpoll")),
        "{links:?}"
    );
    assert!(
        !links.iter().any(|link| link.contains("io_uring")),
        "{links:?}"
    );
    assert_eq!(code.code(), Some(0));
}

#[test]
fn a_second_signal_ends_the_wait_for_the_balancer() {
    let listen = free();
    let mut child = start(listen);
    wait_for(listen);
    let log = child.stdout.take().expect("a log");
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    terminate(&child);
    assert!(lines.any(|line| line.contains("serve: leaving.")));
    terminate(&child);
    let rest: Vec<String> = lines.collect();
    let code = child.wait().expect("an exit code");
    assert!(
        rest.iter().any(|line| line.contains("told again")),
        "{rest:?}"
    );
    assert!(
        rest.iter().any(|line| line.contains("serve: stopped.")),
        "{rest:?}"
    );
    assert_eq!(code.code(), Some(0));
}

#[test]
fn faulty_settings_give_exit_code_2() {
    let output = Command::new(PROGRAM)
        .args(["check", "--zone", "a zone"])
        .output()
        .expect("a process");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(text);
}

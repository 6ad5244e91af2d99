//! Helpers for the tests that start processes.

use std::{
    io::{
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
        Command, //
    },
};

/// Path of the program.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_tanageryoke");

/// Returns an address whose port was free when it was checked.
pub(crate) fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    listener.local_addr().expect("an address")
}

/// Sends a signal, such as `-TERM`.
pub(crate) fn send_signal(child: &Child, signal: &str) {
    let id = child.id().to_string();
    let kill = Command::new("kill").args([signal, &id]).status();
    assert!(kill.expect("a signal").success());
}

/// Sends one request and reads until the connection is closed.
pub(crate) fn send_request(address: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

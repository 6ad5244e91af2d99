//! Access to the socket of a connection, for faults below HTTP.

use std::{
    io::Write,
    mem::ManuallyDrop,
    net::{
        Shutdown,
        TcpStream, //
    },
    os::fd::{
        AsRawFd,
        FromRawFd,
        RawFd, //
    },
    time::Duration,
};

/// The socket of a connection that is being served.
///
/// It doesn't own the descriptor, so it is valid only while the handler of that connection runs.
#[derive(Debug, Clone, Copy)]
pub struct Socket(RawFd);

impl Socket {
    /// Returns a reference to the socket of `stream`.
    pub fn new(stream: &monoio::net::TcpStream) -> Self {
        Self(stream.as_raw_fd())
    }

    fn stream(self) -> ManuallyDrop<TcpStream> {
        // SAFETY: The connection's task owns the descriptor and is awaiting the handler that holds
        // `self`, so it is open; `ManuallyDrop` keeps the borrowed stream from closing it.
        ManuallyDrop::new(unsafe { TcpStream::from_raw_fd(self.0) })
    }

    /// Writes raw bytes, bypassing the HTTP codec. Errors and bytes that don't fit in the socket buffer are
    /// ignored.
    pub fn write(self, bytes: &[u8]) {
        let _ = self.stream().write(bytes);
    }

    /// Shuts the connection down in both directions, so that no reply is sent.
    pub fn shutdown(self) {
        let _ = self.stream().shutdown(Shutdown::Both);
    }

    /// Makes closing the connection send a reset, by a linger time of zero.
    pub fn reset(self) {
        let linger = Some(Duration::ZERO);
        if let Err(error) = rustix::net::sockopt::set_socket_linger(&*self.stream(), linger) {
            tracing::warn!("socket: can't set a reset on close: {error}.");
        }
    }
}

//! Signals, as bytes of a socket that the runtime reads.

use std::os::unix::net::UnixStream as Socket;

use error_stack::{
    Report,
    ResultExt, //
};
use monoio::{
    io::AsyncReadRent,
    net::UnixStream, //
};
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    low_level::pipe,
};

use crate::commands::Error;

/// The signals that stop an instance.
#[derive(Debug)]
pub struct Signals {
    socket: UnixStream,
}

impl Signals {
    /// Starts to receive SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be made or the signals can't be registered.
    pub fn register() -> Result<Self, Report<Error>> {
        let (read, write) = Socket::pair().change_context(Error::Signals)?;
        let other = write.try_clone().change_context(Error::Signals)?;
        pipe::register(SIGTERM, write).change_context(Error::Signals)?;
        pipe::register(SIGINT, other).change_context(Error::Signals)?;
        read.set_nonblocking(true).change_context(Error::Signals)?;
        let socket = UnixStream::from_std(read).change_context(Error::Signals)?;
        Ok(Self { socket })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let (read, _) = self.socket.read(vec![0u8; 1]).await;
        if let Err(error) = read {
            tracing::warn!("serve: signals can't be read: {error}.");
            std::future::pending::<()>().await;
        }
    }
}

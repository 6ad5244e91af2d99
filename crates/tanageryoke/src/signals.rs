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
        SIGHUP,
        SIGINT,
        SIGTERM, //
    },
    low_level::pipe,
};

use crate::commands::Error;

/// Signals of one purpose.
#[derive(Debug)]
pub struct Signals {
    socket: UnixStream,
}

impl Signals {
    /// Starts to receive SIGTERM and SIGINT, which stop an instance.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be made or the signals can't be registered.
    pub fn stops() -> Result<Self, Report<Error>> {
        Self::register(&[SIGTERM, SIGINT])
    }

    /// Starts to receive SIGHUP, which tells that settings have changed.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be made or the signal can't be registered.
    pub fn reloads() -> Result<Self, Report<Error>> {
        Self::register(&[SIGHUP])
    }

    /// Starts to receive `signals`.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be made or the signals can't be registered.
    fn register(signals: &[i32]) -> Result<Self, Report<Error>> {
        let (read, write) = Socket::pair().change_context(Error::Signals)?;
        for signal in signals {
            let write = write.try_clone().change_context(Error::Signals)?;
            pipe::register(*signal, write).change_context(Error::Signals)?;
        }
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

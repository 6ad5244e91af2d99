//! Signals, delivered as bytes through a socket that the runtime reads.

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

/// Receiver of a set of signals.
#[derive(Debug)]
pub struct Signals {
    socket: UnixStream,
}

impl Signals {
    /// Starts to receive SIGTERM and SIGINT, which stop an instance.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be created or the signals can't be registered.
    pub fn shutdown() -> Result<Self, Report<Error>> {
        Self::register(&[SIGTERM, SIGINT])
    }

    /// Starts to receive SIGHUP, which asks to reload the settings.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be created or the signal can't be registered.
    pub fn reload() -> Result<Self, Report<Error>> {
        Self::register(&[SIGHUP])
    }

    /// Starts to receive `signals`.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be created or the signals can't be registered.
    fn register(signals: &[i32]) -> Result<Self, Report<Error>> {
        let (receiver, sender) = Socket::pair().change_context(Error::Signals)?;
        for signal in signals {
            let sender = sender.try_clone().change_context(Error::Signals)?;
            pipe::register(*signal, sender).change_context(Error::Signals)?;
        }
        receiver
            .set_nonblocking(true)
            .change_context(Error::Signals)?;
        let socket = UnixStream::from_std(receiver).change_context(Error::Signals)?;
        Ok(Self { socket })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let (result, _) = self.socket.read(vec![0u8; 1]).await;
        if let Err(error) = result {
            tracing::warn!("serve: signals can't be read: {error}.");
            std::future::pending::<()>().await;
        }
    }
}

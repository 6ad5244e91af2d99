//! Bounds on what a peer may send.

use std::time::Duration;

/// Bounds on one message and on the time to read or write it.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head: usize,
    /// Longest body, in bytes.
    pub body: usize,
    /// Longest time to read a whole message once its first byte has arrived.
    pub read: Duration,
    /// Longest time to write a whole message.
    pub write: Duration,
    /// Longest time that a connection may wait for its next request.
    pub idle: Duration,
    /// Longest time to connect.
    pub connect: Duration,
    /// Time between probes of a silent connection, if it's probed; two unanswered ones end it.
    pub probe: Option<Duration>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 1024 * 1024,
            read: Duration::from_secs(5),
            write: Duration::from_secs(5),
            idle: Duration::from_secs(60),
            connect: Duration::from_secs(1),
            probe: None,
        }
    }
}

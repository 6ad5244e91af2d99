//! Size limits and timeouts of messages and connections.

use std::time::Duration;

/// Size limits of a message, and timeouts for reading, writing and connecting.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a message's head, in bytes.
    pub head: usize,
    /// Maximum size of a message's body, in bytes.
    pub body: usize,
    /// Timeout for reading the body of a request once its head has arrived.
    pub read: Duration,
    /// Timeout for writing a response.
    pub write: Duration,
    /// Timeout for the head of the next request on a connection.
    pub idle: Duration,
    /// Timeout for connecting.
    pub connect: Duration,
    /// Interval of TCP keepalive probes on a silent connection, if any are sent; the connection is
    /// closed after two unanswered probes.
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

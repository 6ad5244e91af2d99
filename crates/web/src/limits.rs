//! Size limits and timeouts of messages and connections.

use std::time::Duration;

/// Size limits of a message, and timeouts for reading, writing and connecting.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a message's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a message's body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading the body of a request once its head has arrived.
    pub body_timeout: Duration,
    /// Timeout for writing a response.
    pub write_timeout: Duration,
    /// Timeout for the head of the next request on a connection.
    pub idle_timeout: Duration,
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Interval of TCP keepalive probes on a silent connection, if any are sent; the connection is
    /// closed after two unanswered probes.
    pub keepalive_interval: Option<Duration>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            connect_timeout: Duration::from_secs(1),
            keepalive_interval: None,
        }
    }
}

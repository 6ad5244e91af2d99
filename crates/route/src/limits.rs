//! What a caller may send, and how long it may take.

use std::time::Duration;

/// Bounds on a caller's request and connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub head: usize,
    /// Longest body of a request, in bytes.
    pub body: usize,
    /// Longest time that a head may take.
    pub head_time: Duration,
    /// Longest time that a connection may wait for its next request.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 256 * 1024,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

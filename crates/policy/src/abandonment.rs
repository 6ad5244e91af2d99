//! How long an exchange goes on that nobody waits for any more.
//!
//! Another replica has answered, or the query has ended. A server that is paused for a moment replies after its pause,
//! and its connection can be used again. One that hangs on a part of its requests never does: each of these holds one of
//! its few slots until the connection is closed, until no slot is left for the requests that it would serve.

use std::time::{
    Duration,
    Instant, //
};

/// Time for which an abandoned exchange continues, so that its connection can be reused.
///
/// This is longer than a typical pause of a server, and shorter than the time for which callers accept
/// that work continues after they have disconnected.
pub const LINGER: Duration = Duration::from_millis(300);
/// Time for which a server is taken to hang on requests after it has left one without a reply.
const MEMORY: Duration = Duration::from_secs(3);

/// Whether one server leaves requests without a reply.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tracker {
    hung_at: Option<Instant>,
}

impl Tracker {
    /// Records that an exchange ended after [`LINGER`] or more without a reply.
    pub fn record_silence(&mut self, now: Instant) {
        self.hung_at = Some(now);
    }

    /// Returns whether the server has left a request without a reply recently.
    pub fn is_hanging(&self, now: Instant) -> bool {
        let since = |at| now.saturating_duration_since(at);
        self.hung_at.is_some_and(|at| since(at) < MEMORY)
    }

    /// Returns how much longer an exchange continues that is abandoned now.
    pub fn linger(&self, now: Instant) -> Duration {
        match self.is_hanging(now) {
            true => Duration::ZERO,
            false => LINGER,
        }
    }
}

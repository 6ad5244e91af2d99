//! Guard of a request that was received and isn't answered yet.

use std::{
    rc::Rc,
    time::Instant, //
};

use tracing::info;

use crate::relay::Relay;

/// Counts a request as in flight from its arrival until this guard is dropped.
///
/// A guard that is dropped before [`InFlight::complete`] counts as a request whose caller disconnected.
#[derive(Debug)]
pub(crate) struct InFlight {
    relay: Rc<Relay>,
    request_id: String,
    arrived_at: Instant,
    is_answered: bool,
}

impl InFlight {
    /// Starts counting the request with the given id.
    pub(crate) fn new(relay: Rc<Relay>, request_id: String) -> Self {
        relay.request_started();
        Self {
            relay,
            request_id,
            arrived_at: Instant::now(),
            is_answered: false,
        }
    }

    /// Returns the request id.
    pub(crate) fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Marks the request as answered.
    pub(crate) fn complete(mut self) {
        self.is_answered = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.relay.request_ended();
        if !self.is_answered {
            self.relay.meter().abandoned.add(1);
            let ms = self.arrived_at.elapsed().as_millis() as u64;
            info!(request = %self.request_id, ms, "relay: caller disconnected before its answer.");
        }
    }
}

//! A request that was read and isn't answered yet.

use std::{
    rc::Rc,
    time::Instant, //
};

use tracing::info;

use crate::relay::Relay;

/// Counts a request from its arrival until it is dropped.
#[derive(Debug)]
pub(crate) struct Begun {
    relay: Rc<Relay>,
    request: String,
    arrived: Instant,
    answered: bool,
}

impl Begun {
    /// Begins with the request of that id.
    pub(crate) fn new(relay: Rc<Relay>, request: String) -> Self {
        relay.count_begun();
        Self {
            relay,
            request,
            arrived: Instant::now(),
            answered: false,
        }
    }

    /// Returns the id of the request.
    pub(crate) fn request(&self) -> &str {
        &self.request
    }

    /// Notes that the request is answered.
    pub(crate) fn end(mut self) {
        self.answered = true;
    }
}

impl Drop for Begun {
    fn drop(&mut self) {
        self.relay.count_ended();
        if !self.answered {
            self.relay.meter().abandoned.add(1);
            let ms = self.arrived.elapsed().as_millis() as u64;
            info!(request = %self.request, ms, "relay: caller left before its answer.");
        }
    }
}

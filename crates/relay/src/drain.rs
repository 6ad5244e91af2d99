//! Graceful shutdown: until when requests may be sent to servers, and when the last ones are answered.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::future::{
    select,
    Either, //
};
use monoio::time::sleep_until;
use web::Notification;

/// Time after the end of a drain for the answers to calls that end with it; then everything else is answered.
const LAST_ANSWERS: Duration = Duration::from_millis(50);

/// Shutdown of this instance, whose end limits the requests in flight.
#[derive(Debug, Default)]
pub struct Drain {
    ends_at: Cell<Option<Instant>>,
    started: Notification,
}

impl Drain {
    /// Starts the drain, or moves its end.
    pub(crate) fn start(&self, ends_at: Instant) {
        self.ends_at.set(Some(ends_at));
        self.started.send();
    }

    /// Returns whether the instance is shutting down.
    pub(crate) fn has_started(&self) -> bool {
        self.ends_at.get().is_some()
    }

    /// Waits for the next start, or change of the end.
    pub(crate) async fn changed(&self) {
        self.started.wait().await;
    }

    /// Returns `at`, or the end of the drain if it comes before.
    pub(crate) fn limit(&self, at: Instant) -> Instant {
        self.ends_at.get().map_or(at, |ends_at| ends_at.min(at))
    }

    /// Returns `at`, or the latest time from which `needed` passes before the end of the drain if it comes before.
    pub(crate) fn limit_start(&self, at: Instant, needed: Duration) -> Instant {
        let ends_at = self.ends_at.get();
        let latest = ends_at.and_then(|ends_at| ends_at.checked_sub(needed));
        latest.map_or(at, |latest| latest.min(at))
    }

    /// Waits until the drain has ended and its last answers have been sent.
    pub(crate) async fn ended(&self) {
        loop {
            let changed = std::pin::pin!(self.started.wait());
            let Some(ends_at) = self.ends_at.get() else {
                changed.await;
                continue;
            };
            let timer = std::pin::pin!(sleep_until((ends_at + LAST_ANSWERS).into()));
            if let Either::Left(_) = select(timer, changed).await {
                return;
            }
        }
    }
}

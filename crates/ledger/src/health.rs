//! The platform's availability, as seen by all partitions of one instance together.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time after a failed read or write during which claims are refused without a request to the
/// platform.
const REFUSE_FOR: Duration = Duration::from_millis(200);

/// Pending requests to the platform, the last failure and the last success.
#[derive(Debug, Default)]
pub(crate) struct Health {
    next_id: Cell<u64>,
    pending: RefCell<BTreeMap<u64, Instant>>,
    failed_at: Cell<Option<Instant>>,
    /// Latest start of a request that succeeded.
    last_success_started_at: Cell<Option<Instant>>,
}

/// A request to the platform that is pending until this is dropped.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    health: Rc<Health>,
    id: u64,
    started_at: Instant,
}

impl PendingRequest {
    /// Records that the request succeeded.
    pub(crate) fn succeed(self) {
        let health = &self.health;
        health.last_success_started_at.set(
            health
                .last_success_started_at
                .get()
                .max(Some(self.started_at)),
        );
        health.failed_at.set(None);
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.health.pending.borrow_mut().remove(&self.id);
    }
}

impl Health {
    /// Records that a request starts.
    pub(crate) fn start_request(self: &Rc<Self>, now: Instant) -> PendingRequest {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.pending.borrow_mut().insert(id, now);
        PendingRequest {
            health: self.clone(),
            id,
            started_at: now,
        }
    }

    /// Records that a request failed.
    pub(crate) fn record_failure(&self, now: Instant) {
        self.failed_at.set(Some(now));
    }

    /// Returns whether a claim is unlikely to be confirmed by `deadline`: a request failed within
    /// [`REFUSE_FOR`], or a request has been pending for longer than the time until `deadline` and
    /// no later one has succeeded.
    pub(crate) fn should_refuse(&self, now: Instant, deadline: Instant) -> bool {
        let failed_at = self.failed_at.get();
        let has_failed = failed_at.is_some_and(|failed_at| now < failed_at + REFUSE_FOR);
        let remaining = deadline.saturating_duration_since(now);
        let pending = self.pending.borrow();
        let mut start_times = pending.values().copied();
        let oldest_started_at =
            start_times.find(|started_at| Some(*started_at) > self.last_success_started_at.get());
        has_failed
            || oldest_started_at.is_some_and(|oldest_started_at| {
                now.saturating_duration_since(oldest_started_at) > remaining
            })
    }
}

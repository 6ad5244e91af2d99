//! What the partitions of one instance know together about the platform.

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

/// Time for which claims are refused without asking after a failed read or write.
const REFUSE_FOR: Duration = Duration::from_millis(200);

/// Requests under way and the last failure.
#[derive(Debug, Default)]
pub(crate) struct Health {
    next: Cell<u64>,
    started: RefCell<BTreeMap<u64, Instant>>,
    failed: Cell<Option<Instant>>,
}

/// A request to the platform that is under way until this is dropped.
#[derive(Debug)]
pub(crate) struct Trip {
    health: Rc<Health>,
    number: u64,
}

impl Drop for Trip {
    fn drop(&mut self) {
        self.health.started.borrow_mut().remove(&self.number);
    }
}

impl Health {
    /// Notes that a request starts.
    pub(crate) fn start(self: &Rc<Self>, now: Instant) -> Trip {
        let number = self.next.get();
        self.next.set(number + 1);
        self.started.borrow_mut().insert(number, now);
        Trip {
            health: self.clone(),
            number,
        }
    }

    /// Notes that a request failed.
    pub(crate) fn fail(&self, now: Instant) {
        self.failed.set(Some(now));
    }

    /// Notes that a request went well.
    pub(crate) fn recover(&self) {
        self.failed.set(None);
    }

    /// Returns whether a claim would come too late: the platform failed just now, or some request
    /// has been under way for longer than the claim has.
    pub(crate) fn is_hopeless(&self, now: Instant, deadline: Instant) -> bool {
        let failed = self.failed.get();
        let has_failed = failed.is_some_and(|failed| now < failed + REFUSE_FOR);
        let left = deadline.saturating_duration_since(now);
        let started = self.started.borrow();
        let oldest = started.first_key_value().map(|(_, started)| *started);
        has_failed || oldest.is_some_and(|oldest| now.saturating_duration_since(oldest) > left)
    }
}

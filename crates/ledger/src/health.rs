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
    /// Start of the latest request that went well.
    alive: Cell<Option<Instant>>,
}

/// A request to the platform that is under way until this is dropped.
#[derive(Debug)]
pub(crate) struct Trip {
    health: Rc<Health>,
    number: u64,
    start: Instant,
}

impl Trip {
    /// Notes that the request went well.
    pub(crate) fn close(self) {
        let health = &self.health;
        health.alive.set(health.alive.get().max(Some(self.start)));
        health.failed.set(None);
    }
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
            start: now,
        }
    }

    /// Notes that a request failed.
    pub(crate) fn fail(&self, now: Instant) {
        self.failed.set(Some(now));
    }

    /// Returns whether a claim would come too late: the platform failed just now, or some request
    /// has been under way for longer than the claim has and no later one went well.
    pub(crate) fn is_hopeless(&self, now: Instant, deadline: Instant) -> bool {
        let failed = self.failed.get();
        let has_failed = failed.is_some_and(|failed| now < failed + REFUSE_FOR);
        let left = deadline.saturating_duration_since(now);
        let started = self.started.borrow();
        let mut waiting = started.values().copied();
        let oldest = waiting.find(|started| Some(*started) > self.alive.get());
        has_failed || oldest.is_some_and(|oldest| now.saturating_duration_since(oldest) > left)
    }
}

//! Tickets: one part or call each, from its submission to its outcome.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use backend::{
    Outcome,
    Stamp, //
};
use bytes::Bytes;
use config::preset::Class;
use futures_channel::mpsc::UnboundedSender;
use policy::queue::{
    Key,
    Rank, //
};
use uuid::Uuid;
use wire::Reason;

/// Numbers reserved for the sub-requests of one attempt of the request, so that they stay unique
/// over all attempts.
const NUMBERS_PER_ATTEMPT: u32 = 64;

/// Why a sub-request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The initial one of its part or call.
    Initial,
    /// A duplicate of one that is slow.
    Hedge,
    /// A new one after one that failed.
    Retry,
}

/// What is run.
#[derive(Debug)]
pub(crate) enum Work {
    /// A part of a query.
    Part {
        index: u32,
        shard: Arc<str>,
        snapshot: u64,
    },
    /// A call; the key is empty for an idempotent one.
    Call { key: String },
}

/// What the task that awaits a ticket is notified of.
#[derive(Debug)]
pub(crate) enum Event {
    /// Its next sub-request was assigned to a backend server.
    Assigned,
    /// A sub-request ended.
    Ended {
        server: Arc<str>,
        kind: Kind,
        outcome: Outcome,
    },
    /// It was removed from the queue, or couldn't be queued again.
    Refused {
        reason: Reason,
        retry_after: Duration,
    },
    /// It was cancelled.
    Cancelled,
}

/// A sub-request that is assigned to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct SubRequest {
    pub(crate) server: Arc<str>,
    pub(crate) attempt: u32,
    pub(crate) started_at: Instant,
}

/// Sub-requests sent, by kind.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SentCounts {
    pub(crate) initial: u32,
    pub(crate) hedges: u32,
    pub(crate) retries: u32,
}

/// One part or call.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) request: Uuid,
    /// Attempt number of the request, from 1.
    pub(crate) attempt: u32,
    pub(crate) class: Class,
    pub(crate) deadline: Instant,
    pub(crate) body: Bytes,
    pub(crate) work: Work,
    /// Why the next sub-request is sent.
    pub(crate) next_kind: Cell<Kind>,
    /// Whether the outcome is still awaited.
    pub(crate) awaited: Cell<bool>,
    /// Key in the queue, `None` if it isn't queued.
    pub(crate) queue_key: Cell<Option<Key>>,
    /// Sub-requests sent, by kind.
    pub(crate) sent: Cell<SentCounts>,
    /// Sub-requests assigned to a server.
    pub(crate) assigned: Cell<u32>,
    /// Those of `assigned` that are known not to have run.
    pub(crate) not_run: Cell<u32>,
    /// Servers that get no further sub-request.
    pub(crate) excluded: RefCell<Vec<Arc<str>>>,
    /// Sub-requests that are assigned to a server and not abandoned.
    pub(crate) running: RefCell<Vec<SubRequest>>,
    pub(crate) events: UnboundedSender<Event>,
}

impl Ticket {
    /// Returns whether it has an idempotency key, so that it must run at most once.
    pub(crate) fn has_key(&self) -> bool {
        matches!(&self.work, Work::Call { key } if !key.is_empty())
    }

    /// Returns its rank for shedding, which is the same at every service.
    pub(crate) fn rank(&self) -> Rank {
        Rank::new(self.request.as_u128())
    }

    /// Returns whether it is certain that no sub-request ran.
    pub(crate) fn is_not_run(&self) -> bool {
        self.assigned.get() == self.not_run.get()
    }

    /// Returns whether `server` may get a sub-request.
    pub(crate) fn may_use(&self, server: &str) -> bool {
        !self.excluded.borrow().iter().any(|name| &**name == server) && !self.is_running_on(server)
    }

    fn is_running_on(&self, server: &str) -> bool {
        self.running
            .borrow()
            .iter()
            .any(|sub_request| &*sub_request.server == server)
    }

    /// Excludes `server` from further sub-requests.
    pub(crate) fn exclude(&self, server: Arc<str>) {
        self.excluded.borrow_mut().push(server);
    }

    /// Records a sub-request to `server`; returns its number, unique over all attempts.
    pub(crate) fn start(&self, server: Arc<str>, now: Instant) -> u32 {
        let assigned = self.assigned.get() + 1;
        self.assigned.set(assigned);
        let attempt = self
            .attempt
            .saturating_sub(1)
            .saturating_mul(NUMBERS_PER_ATTEMPT)
            + assigned;
        self.running.borrow_mut().push(SubRequest {
            server,
            attempt,
            started_at: now,
        });
        attempt
    }

    /// Counts a sub-request that is about to be sent.
    pub(crate) fn count_sent(&self, kind: Kind) {
        let mut sent = self.sent.get();
        match kind {
            Kind::Initial => sent.initial += 1,
            Kind::Hedge => sent.hedges += 1,
            Kind::Retry => sent.retries += 1,
        }
        self.sent.set(sent);
    }

    /// Records that a sub-request ended; returns it unless it was abandoned.
    pub(crate) fn finish(&self, attempt: u32) -> Option<SubRequest> {
        let mut running = self.running.borrow_mut();
        let position = running
            .iter()
            .position(|sub_request| sub_request.attempt == attempt)?;
        Some(running.swap_remove(position))
    }

    /// Notifies the task that awaits the outcome, if there is one.
    pub(crate) fn notify(&self, event: Event) {
        let _ = self.events.unbounded_send(event);
    }

    /// Returns the stamp of the sub-request `attempt`.
    pub(crate) fn stamp(&self, attempt: u32) -> Stamp {
        match self.work {
            Work::Part { index, .. } => Stamp::part(self.request, index, attempt),
            Work::Call { .. } => Stamp::call(self.request, attempt),
        }
    }
}

/// A command to a connection.
#[derive(Debug)]
pub(crate) enum Command {
    /// Run a sub-request.
    Run {
        ticket: Rc<Ticket>,
        kind: Kind,
        attempt: u32,
    },
    /// Cancel a sub-request that runs on another connection.
    Cancel(Stamp),
    /// Check whether the connection is still open.
    Check,
}

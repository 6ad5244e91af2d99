//! One piece of work on its way through a pool.

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

/// Numbers that the sub-requests of one attempt may take.
const NUMBERS: u32 = 64;

/// Why a sub-request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The first of its part.
    First,
    /// A duplicate of one that takes long.
    Hedge,
    /// Another try after one that failed.
    Retry,
}

/// What is to be run.
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

/// What the waiting side is told.
#[derive(Debug)]
pub(crate) enum Event {
    /// It left the queue for a backend server.
    Started,
    /// A sub-request ended.
    Ended {
        server: Arc<str>,
        kind: Kind,
        outcome: Outcome,
    },
    /// It was taken from the queue unsent.
    Refused {
        reason: Reason,
        retry_after: Duration,
    },
    /// The caller gave up.
    Cancelled,
}

/// A sub-request that runs on a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) server: Arc<str>,
    pub(crate) attempt: u32,
    pub(crate) started: Instant,
}

/// Sub-requests sent, by kind.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sent {
    pub(crate) first: u32,
    pub(crate) hedges: u32,
    pub(crate) retries: u32,
}

/// One piece of work.
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
    pub(crate) kind: Cell<Kind>,
    /// Whether somebody waits for the outcome.
    pub(crate) open: Cell<bool>,
    /// Place in the queue.
    pub(crate) queued: Cell<Option<Key>>,
    /// Sub-requests sent, by kind.
    pub(crate) sent: Cell<Sent>,
    /// Sub-requests given to a connection, and those of them known not to have run.
    pub(crate) sends: Cell<u32>,
    pub(crate) not_run: Cell<u32>,
    /// Servers that get no further sub-request.
    pub(crate) avoid: RefCell<Vec<Arc<str>>>,
    pub(crate) running: RefCell<Vec<Run>>,
    pub(crate) events: UnboundedSender<Event>,
}

impl Ticket {
    /// Returns whether it must run at most once.
    pub(crate) fn is_keyed(&self) -> bool {
        matches!(&self.work, Work::Call { key } if !key.is_empty())
    }

    /// Returns the order in which it is shed, the same at every service.
    pub(crate) fn rank(&self) -> Rank {
        Rank::new(self.request.as_u128())
    }

    /// Returns whether no sub-request can have run.
    pub(crate) fn is_not_run(&self) -> bool {
        self.sends.get() == self.not_run.get()
    }

    /// Returns whether `server` may get a sub-request.
    pub(crate) fn may_use(&self, server: &str) -> bool {
        !self.avoid.borrow().iter().any(|name| &**name == server) && !self.is_running_on(server)
    }

    fn is_running_on(&self, server: &str) -> bool {
        self.running
            .borrow()
            .iter()
            .any(|run| &*run.server == server)
    }

    /// Gives `server` no further sub-request.
    pub(crate) fn shun(&self, server: Arc<str>) {
        self.avoid.borrow_mut().push(server);
    }

    /// Notes that a sub-request goes to `server`; returns its number, counted over all attempts.
    pub(crate) fn start(&self, server: Arc<str>, now: Instant) -> u32 {
        let sends = self.sends.get() + 1;
        self.sends.set(sends);
        let attempt = self.attempt.saturating_sub(1).saturating_mul(NUMBERS) + sends;
        self.running.borrow_mut().push(Run {
            server,
            attempt,
            started: now,
        });
        attempt
    }

    /// Counts a sub-request of which a byte is about to leave.
    pub(crate) fn count(&self, kind: Kind) {
        let mut sent = self.sent.get();
        match kind {
            Kind::First => sent.first += 1,
            Kind::Hedge => sent.hedges += 1,
            Kind::Retry => sent.retries += 1,
        }
        self.sent.set(sent);
    }

    /// Notes that a sub-request ended; returns it unless it was abandoned.
    pub(crate) fn end(&self, attempt: u32) -> Option<Run> {
        let mut running = self.running.borrow_mut();
        let place = running.iter().position(|run| run.attempt == attempt)?;
        Some(running.swap_remove(place))
    }

    /// Tells the waiting side, if there is one.
    pub(crate) fn tell(&self, event: Event) {
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

/// What a connection is asked to do.
#[derive(Debug)]
pub(crate) enum Order {
    /// Run a sub-request.
    Run {
        ticket: Rc<Ticket>,
        kind: Kind,
        attempt: u32,
    },
    /// Cancel a sub-request that runs on another connection.
    Cancel(Stamp),
    /// See whether the connection is still open.
    Check,
}

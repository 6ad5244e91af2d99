//! Admission of work: what a service accepts, queues, sheds and refuses.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use backend::Dial;
use policy::{
    admission,
    queue::Push, //
};
use wire::Reason;

use crate::{
    service::Service,
    ticket::{
        Event,
        Kind,
        Ticket, //
    },
};

/// Why work is refused, and when it may be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) reason: Reason,
    pub(crate) retry_after: Duration,
}

impl Refused {
    pub(crate) fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }

    pub(crate) fn event(self) -> Event {
        Event::Refused {
            reason: self.reason,
            retry_after: self.retry_after,
        }
    }
}

impl<D: Dial> Service<D> {
    /// Queues new work and dispatches what can run now.
    ///
    /// # Errors
    ///
    /// Fails if the work can't be run, or not before its deadline.
    pub(crate) fn submit(self: &Rc<Self>, ticket: &Rc<Ticket>) -> Result<(), Refused> {
        let now = Instant::now();
        self.check_feasible(ticket, now)?;
        self.enqueue(ticket)?;
        self.dispatch();
        Ok(())
    }

    fn check_feasible(&self, ticket: &Ticket, now: Instant) -> Result<(), Refused> {
        if now >= ticket.deadline {
            return Err(Refused::new(Reason::Deadline, Duration::ZERO));
        }
        if self.is_unavailable(now) {
            return Err(Refused::new(Reason::Unreachable, self.backoff_left(now)));
        }
        let ahead = self.queue.borrow().ahead(ticket.class, ticket.deadline);
        if ahead == 0 {
            return Ok(());
        }
        let estimate = admission::estimate_wait(ahead, self.usable(now), self.median());
        let left = ticket.deadline.saturating_duration_since(now);
        match admission::is_feasible(estimate, left) {
            true => Ok(()),
            false => self.make_room(ticket, estimate),
        }
    }

    /// Sheds queued work that ranks after `ticket`.
    ///
    /// # Errors
    ///
    /// Fails if there is none, in which case `ticket` itself is refused.
    fn make_room(&self, ticket: &Ticket, wait: Duration) -> Result<(), Refused> {
        let refused = Refused::new(Reason::QueueFull, wait);
        let shed = self.queue.borrow_mut().shed(ticket.class, ticket.rank());
        let Some(shed) = shed else {
            return Err(refused);
        };
        self.refuse(&shed, refused);
        Ok(())
    }

    fn refuse(&self, ticket: &Ticket, refused: Refused) {
        ticket.queue_key.set(None);
        ticket.notify(refused.event());
    }

    fn enqueue(&self, ticket: &Rc<Ticket>) -> Result<(), Refused> {
        let pushed = self.queue.borrow_mut().push(
            ticket.class,
            ticket.deadline,
            ticket.rank(),
            ticket.clone(),
        );
        match pushed {
            Push::Queued(key) => ticket.queue_key.set(Some(key)),
            Push::Displaced(key, last) => {
                ticket.queue_key.set(Some(key));
                self.refuse(&last, self.queue_full());
            }
            Push::Full(_) => return Err(self.queue_full()),
        }
        Ok(())
    }

    /// Queues work again whose next sub-request is of `kind`.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full of more urgent work.
    pub(crate) fn resubmit(
        self: &Rc<Self>,
        ticket: &Rc<Ticket>,
        kind: Kind,
    ) -> Result<(), Refused> {
        ticket.next_kind.set(kind);
        self.enqueue(ticket)?;
        self.dispatch();
        Ok(())
    }

    /// Refuses work at the head of the queue that can no longer meet its deadline.
    pub(crate) fn refuse_late(&self, now: Instant) {
        let median = self.median();
        loop {
            let late = match self.queue.borrow().iter().next() {
                Some((key, ticket)) if now + median > ticket.deadline => *key,
                _ => return,
            };
            let Some(ticket) = self.queue.borrow_mut().remove(&late) else {
                return;
            };
            self.refuse(&ticket, Refused::new(Reason::Deadline, median));
        }
    }

    /// Refuses all queued work.
    pub(crate) fn refuse_all(&self, reason: Reason, retry_after: Duration) {
        loop {
            let Some(ticket) = self.queue.borrow_mut().pop() else {
                return;
            };
            ticket.queue_key.set(None);
            ticket.notify(Refused::new(reason, retry_after).event());
        }
    }

    /// Returns whether every server is unavailable and none is due for a probe.
    pub(crate) fn is_unavailable(&self, now: Instant) -> bool {
        let servers = self.servers.borrow();
        servers
            .iter()
            .all(|server| server.is_unavailable() && !server.is_probe_due(now))
    }

    /// Returns the shortest remaining backoff among serving servers.
    pub(crate) fn backoff_left(&self, now: Instant) -> Duration {
        let servers = self.servers.borrow();
        let serving = servers.iter().filter(|server| server.is_serving());
        serving
            .map(|server| server.backoff_left(now))
            .min()
            .unwrap_or_default()
    }

    fn queue_full(&self) -> Refused {
        let ahead = self.queue.borrow().len();
        let wait = admission::estimate_wait(ahead, self.usable(Instant::now()), self.median());
        Refused::new(Reason::QueueFull, wait)
    }
}

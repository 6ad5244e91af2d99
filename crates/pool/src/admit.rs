//! What a service takes on, what waits, and what is refused.

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

/// Work that isn't taken on.
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
    /// Takes on new work.
    ///
    /// # Errors
    ///
    /// Fails if it can't be run in time or at all.
    pub(crate) fn submit(self: &Rc<Self>, ticket: &Rc<Ticket>) -> Result<(), Refused> {
        let now = Instant::now();
        self.check(ticket, now)?;
        self.enqueue(ticket)?;
        self.dispatch();
        Ok(())
    }

    fn check(&self, ticket: &Ticket, now: Instant) -> Result<(), Refused> {
        if now >= ticket.deadline {
            return Err(Refused::new(Reason::Deadline, Duration::ZERO));
        }
        if self.is_out(now) {
            return Err(Refused::new(Reason::Unreachable, self.rest(now)));
        }
        let ahead = self.queue.borrow().ahead(ticket.class, ticket.deadline);
        if ahead == 0 {
            return Ok(());
        }
        let estimate = admission::estimate(ahead, self.usable(now), self.usual());
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
    /// Fails if there is none; then `ticket` is what is shed.
    fn make_room(&self, ticket: &Ticket, wait: Duration) -> Result<(), Refused> {
        let refused = Refused::new(Reason::QueueFull, wait);
        let shed = self.queue.borrow_mut().shed(ticket.class, ticket.rank());
        let Some(shed) = shed else {
            return Err(refused);
        };
        self.drop_shed(&shed, refused);
        Ok(())
    }

    fn drop_shed(&self, ticket: &Ticket, refused: Refused) {
        ticket.queued.set(None);
        ticket.tell(refused.event());
    }

    fn enqueue(&self, ticket: &Rc<Ticket>) -> Result<(), Refused> {
        let pushed = self.queue.borrow_mut().push(
            ticket.class,
            ticket.deadline,
            ticket.rank(),
            ticket.clone(),
        );
        match pushed {
            Push::Queued(key) => ticket.queued.set(Some(key)),
            Push::Displaced(key, last) => {
                ticket.queued.set(Some(key));
                self.drop_shed(&last, self.full());
            }
            Push::Full(_) => return Err(self.full()),
        }
        Ok(())
    }

    /// Puts work back that has to be sent to a server again.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full of more urgent work.
    pub(crate) fn resubmit(
        self: &Rc<Self>,
        ticket: &Rc<Ticket>,
        kind: Kind,
    ) -> Result<(), Refused> {
        ticket.kind.set(kind);
        self.enqueue(ticket)?;
        self.dispatch();
        Ok(())
    }

    /// Refuses what can't make its deadline any more, from the head of the queue.
    pub(crate) fn drop_late(&self, now: Instant) {
        let usual = self.usual();
        loop {
            let late = match self.queue.borrow().iter().next() {
                Some((key, ticket)) if now + usual > ticket.deadline => *key,
                _ => return,
            };
            let Some(ticket) = self.queue.borrow_mut().remove(&late) else {
                return;
            };
            self.drop_shed(&ticket, Refused::new(Reason::Deadline, usual));
        }
    }

    /// Takes everything from the queue unsent.
    pub(crate) fn refuse_all(&self, reason: Reason, retry_after: Duration) {
        loop {
            let Some(ticket) = self.queue.borrow_mut().pop() else {
                return;
            };
            ticket.queued.set(None);
            ticket.tell(Refused::new(reason, retry_after).event());
        }
    }

    /// Returns whether no server can be expected to answer.
    pub(crate) fn is_out(&self, now: Instant) -> bool {
        let servers = self.servers.borrow();
        servers
            .iter()
            .all(|server| server.is_out() && !server.is_probe_due(now))
    }

    pub(crate) fn rest(&self, now: Instant) -> Duration {
        let servers = self.servers.borrow();
        let serving = servers.iter().filter(|server| server.is_serving());
        serving
            .map(|server| server.rest(now))
            .min()
            .unwrap_or_default()
    }

    fn full(&self) -> Refused {
        let ahead = self.queue.borrow().len();
        let wait = admission::estimate(ahead, self.usable(Instant::now()), self.usual());
        Refused::new(Reason::QueueFull, wait)
    }
}

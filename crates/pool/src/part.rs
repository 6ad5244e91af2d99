//! Follows one piece of work from its arrival to its one outcome.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use backend::{
    Dial,
    Outcome,
    Refusal,
    Reply, //
};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
    StreamExt, //
};
use policy::hedge::Lateness;
use wire::{
    Failure,
    Reason, //
};

use crate::{
    admit::Refused,
    service::Service,
    ticket::{
        Event,
        Kind,
        Ticket, //
    },
};

/// Snapshots that a failure names at most.
const HELD_MAX: usize = 16;
/// Share of the wait before a hedge after which one that couldn't be sent is tried again.
const HEDGE_AGAIN: f64 = 0.5;
/// Shortest time between two tries to send a hedge.
const HEDGE_AGAIN_MIN: Duration = Duration::from_millis(1);

/// An answered piece of work.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) server: Arc<str>,
    pub(crate) reply: Reply,
}

/// Work that somebody waits for; what is left of it is dropped with the guard.
pub(crate) struct Guard<D: Dial> {
    service: Rc<Service<D>>,
    ticket: Rc<Ticket>,
}

impl<D: Dial> Drop for Guard<D> {
    fn drop(&mut self) {
        self.service.forget(&self.ticket);
    }
}

impl<D: Dial> Guard<D> {
    pub(crate) fn new(service: Rc<Service<D>>, ticket: Rc<Ticket>) -> Self {
        Self { service, ticket }
    }

    /// Runs the work; returns by its deadline.
    pub(crate) async fn run(
        &self,
        mut events: UnboundedReceiver<Event>,
    ) -> Result<Answer, Failure> {
        let mut state = State {
            held: Vec::new(),
            hedge_at: None,
            hedged: false,
            lateness: Lateness::Slow,
        };
        self.service
            .submit(&self.ticket)
            .map_err(|refused| self.refused(refused, &state))?;
        loop {
            let until = state
                .hedge_at
                .map_or(self.ticket.deadline, |at| at.min(self.ticket.deadline));
            let event = {
                let timer = monoio::time::sleep_until(until.into());
                let next = events.next();
                pin_mut!(timer, next);
                match select(next, timer).await {
                    Either::Left((event, _)) => event,
                    Either::Right(_) => None,
                }
            };
            match event {
                Some(event) => {
                    if let Some(answer) = self.take(event, &mut state)? {
                        return Ok(answer);
                    }
                }
                None if Instant::now() >= self.ticket.deadline => {
                    return Err(self.failure(Reason::Deadline, Duration::ZERO, &state));
                }
                None => self.hedge(&mut state),
            }
        }
    }

    fn take(&self, event: Event, state: &mut State) -> Result<Option<Answer>, Failure> {
        match event {
            Event::Started => {
                self.plan_hedge(state);
                Ok(None)
            }
            Event::Ended {
                server,
                kind,
                outcome: Outcome::Done(reply),
            } => {
                if kind == Kind::Hedge {
                    self.service.shared.counters.borrow_mut().hedges_won += 1;
                }
                Ok(Some(Answer { server, reply }))
            }
            Event::Ended {
                server, outcome, ..
            } => self.ended(server, outcome, state).map(|()| None),
            Event::Refused {
                reason,
                retry_after,
            } => Err(self.refused(Refused::new(reason, retry_after), state)),
            Event::Cancelled => Err(self.failure(Reason::Cancelled, Duration::ZERO, state)),
        }
    }

    /// Decides what follows a sub-request that failed.
    fn ended(&self, server: Arc<str>, outcome: Outcome, state: &mut State) -> Result<(), Failure> {
        let Verdict {
            reason,
            free,
            retry_after,
        } = state.judge(outcome);
        self.ticket.shun(server);
        if !self.ticket.running.borrow().is_empty() {
            return Ok(());
        }
        let fail = |reason| Err(self.failure(reason, retry_after, state));
        match reason {
            Reason::Deadline => fail(Reason::Deadline),
            // It was written once; whatever came of it, it isn't written again.
            reason if self.ticket.is_keyed() => fail(reason),
            reason if !self.service.has_other(&self.ticket) => fail(reason),
            // Another snapshot may be read at once; a server that is out of order may take long.
            Reason::SnapshotGone if !self.service.has_other_in_order(&self.ticket) => {
                fail(Reason::SnapshotGone)
            }
            _ if !free && !self.service.retries.borrow_mut().take() => fail(Reason::Budget),
            _ => {
                state.hedge_at = None;
                self.service
                    .resubmit(&self.ticket, Kind::Retry)
                    .map_err(|refused| self.refused(refused, state))
            }
        }
    }

    fn plan_hedge(&self, state: &mut State) {
        if state.hedged || self.ticket.is_keyed() {
            return;
        }
        state.hedge_at = self.service.hedge_wait().map(|wait| Instant::now() + wait);
    }

    fn hedge(&self, state: &mut State) {
        if self.service.hedge(&self.ticket, state.lateness) {
            state.hedged = true;
            state.hedge_at = None;
            return;
        }
        state.lateness = Lateness::Straggling;
        let again = self.service.hedge_wait().unwrap_or(HEDGE_AGAIN_MIN);
        let again = again.mul_f64(HEDGE_AGAIN).max(HEDGE_AGAIN_MIN);
        state.hedge_at = Some(Instant::now() + again);
    }

    fn refused(&self, refused: Refused, state: &State) -> Failure {
        self.failure(refused.reason, refused.retry_after, state)
    }

    fn failure(&self, reason: Reason, retry_after: Duration, state: &State) -> Failure {
        self.service
            .shared
            .counters
            .borrow_mut()
            .refused
            .count(reason);
        Failure {
            reason: reason.into(),
            not_run: self.ticket.is_not_run(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            held: state.held.clone(),
        }
    }
}

struct State {
    /// Snapshots that servers said they hold.
    held: Vec<u64>,
    hedge_at: Option<Instant>,
    hedged: bool,
    lateness: Lateness,
}

/// What a failed sub-request means for its part.
struct Verdict {
    reason: Reason,
    /// Whether another try needs no budget, as a server that refuses at once does no work.
    free: bool,
    retry_after: Duration,
}

impl State {
    fn judge(&mut self, outcome: Outcome) -> Verdict {
        let (reason, free, retry_after) = match outcome {
            Outcome::Refused(refusal) => self.judge_refusal(refusal),
            Outcome::BadReply(_) => (Reason::BadReply, false, None),
            Outcome::Failed(failure) if failure.timeout => (Reason::Deadline, false, None),
            Outcome::Failed(_) | Outcome::Cancelled | Outcome::Done(_) => {
                (Reason::Broken, false, None)
            }
        };
        Verdict {
            reason,
            free,
            retry_after: retry_after.unwrap_or_default(),
        }
    }

    fn judge_refusal(&mut self, refusal: Refusal) -> (Reason, bool, Option<Duration>) {
        let reason = match refusal.reason {
            backend::Reason::Snapshot | backend::Reason::Shard => Reason::SnapshotGone,
            backend::Reason::Shed => Reason::Shed,
            backend::Reason::Draining => Reason::Unreachable,
            backend::Reason::Deadline => Reason::Deadline,
        };
        for held in refusal.held {
            if self.held.len() < HELD_MAX && !self.held.contains(&held) {
                self.held.push(held);
            }
        }
        let free = matches!(reason, Reason::SnapshotGone | Reason::Unreachable);
        (reason, free, refusal.retry_after)
    }
}

//! Runs one part or call: submits, hedges and retries it until it has exactly one outcome.

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

/// Number of held snapshots that a failure lists.
const MAX_HELD_SNAPSHOTS: usize = 16;
/// Delay before a hedge that couldn't be sent is tried again, as a share of the hedge delay.
const HEDGE_RETRY_RATIO: f64 = 0.5;
/// Shortest delay between two attempts to send a hedge.
const MIN_HEDGE_RETRY_DELAY: Duration = Duration::from_millis(1);

/// The reply that is used, and the backend server that sent it.
#[derive(Debug)]
pub(crate) struct Success {
    pub(crate) server: Arc<str>,
    pub(crate) reply: Reply,
}

/// A ticket whose outcome is awaited; dropping it abandons the ticket and cancels its sub-requests.
pub(crate) struct Execution<D: Dial> {
    service: Rc<Service<D>>,
    ticket: Rc<Ticket>,
}

impl<D: Dial> Drop for Execution<D> {
    fn drop(&mut self) {
        self.service.abandon(&self.ticket);
    }
}

impl<D: Dial> Execution<D> {
    pub(crate) fn new(service: Rc<Service<D>>, ticket: Rc<Ticket>) -> Self {
        Self { service, ticket }
    }

    /// Runs the ticket; returns by its deadline.
    pub(crate) async fn run(
        &self,
        mut events: UnboundedReceiver<Event>,
    ) -> Result<Success, Failure> {
        let mut progress = Progress {
            held: Vec::new(),
            hedge_at: None,
            hedged: false,
            lateness: Lateness::Slow,
        };
        self.service
            .submit(&self.ticket)
            .map_err(|refused| self.refused(refused, &progress))?;
        loop {
            let wake_at = progress
                .hedge_at
                .map_or(self.ticket.deadline, |at| at.min(self.ticket.deadline));
            let event = {
                let timer = monoio::time::sleep_until(wake_at.into());
                let next = events.next();
                pin_mut!(timer, next);
                match select(next, timer).await {
                    Either::Left((event, _)) => event,
                    Either::Right(_) => None,
                }
            };
            match event {
                Some(event) => {
                    if let Some(success) = self.handle(event, &mut progress)? {
                        return Ok(success);
                    }
                }
                None if Instant::now() >= self.ticket.deadline => {
                    return Err(self.failure(Reason::Deadline, Duration::ZERO, &progress));
                }
                None => self.hedge(&mut progress),
            }
        }
    }

    fn handle(&self, event: Event, progress: &mut Progress) -> Result<Option<Success>, Failure> {
        match event {
            Event::Assigned => {
                self.schedule_hedge(progress);
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
                Ok(Some(Success { server, reply }))
            }
            Event::Ended {
                server, outcome, ..
            } => self
                .handle_failure(server, outcome, progress)
                .map(|()| None),
            Event::Refused {
                reason,
                retry_after,
            } => Err(self.refused(Refused::new(reason, retry_after), progress)),
            Event::Cancelled => Err(self.failure(Reason::Cancelled, Duration::ZERO, progress)),
        }
    }

    /// Retries or fails after a sub-request that failed.
    fn handle_failure(
        &self,
        server: Arc<str>,
        outcome: Outcome,
        progress: &mut Progress,
    ) -> Result<(), Failure> {
        let FailureClass {
            reason,
            retry_is_free,
            retry_after,
        } = progress.classify(outcome);
        self.ticket.exclude(server);
        if !self.ticket.running.borrow().is_empty() {
            return Ok(());
        }
        let fail = |reason| Err(self.failure(reason, retry_after, progress));
        match reason {
            Reason::Deadline => fail(Reason::Deadline),
            // A call with an idempotency key is sent at most once, whatever the outcome.
            reason if self.ticket.has_key() => fail(reason),
            reason if !self.service.has_alternative(&self.ticket) => fail(reason),
            // The query can be run again on another snapshot at once, while an unavailable server
            // may take long.
            Reason::SnapshotGone if !self.service.has_available_alternative(&self.ticket) => {
                fail(Reason::SnapshotGone)
            }
            _ if !retry_is_free && !self.service.retry_budget.borrow_mut().take() => {
                fail(Reason::Budget)
            }
            _ => {
                progress.hedge_at = None;
                self.service
                    .resubmit(&self.ticket, Kind::Retry)
                    .map_err(|refused| self.refused(refused, progress))
            }
        }
    }

    fn schedule_hedge(&self, progress: &mut Progress) {
        if progress.hedged || self.ticket.has_key() {
            return;
        }
        progress.hedge_at = self
            .service
            .hedge_delay()
            .map(|delay| Instant::now() + delay);
    }

    fn hedge(&self, progress: &mut Progress) {
        if self.service.hedge(&self.ticket, progress.lateness) {
            progress.hedged = true;
            progress.hedge_at = None;
            return;
        }
        progress.lateness = Lateness::Straggling;
        let retry_delay = self.service.hedge_delay().unwrap_or(MIN_HEDGE_RETRY_DELAY);
        let retry_delay = retry_delay
            .mul_f64(HEDGE_RETRY_RATIO)
            .max(MIN_HEDGE_RETRY_DELAY);
        progress.hedge_at = Some(Instant::now() + retry_delay);
    }

    fn refused(&self, refused: Refused, progress: &Progress) -> Failure {
        self.failure(refused.reason, refused.retry_after, progress)
    }

    fn failure(&self, reason: Reason, retry_after: Duration, progress: &Progress) -> Failure {
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
            held: progress.held.clone(),
        }
    }
}

struct Progress {
    /// Snapshots that servers reported as held.
    held: Vec<u64>,
    /// When the next attempt to hedge is due.
    hedge_at: Option<Instant>,
    hedged: bool,
    lateness: Lateness,
}

/// How a failed sub-request is handled.
struct FailureClass {
    reason: Reason,
    /// Whether a retry needs no budget, because the server refused at once and did no work.
    retry_is_free: bool,
    retry_after: Duration,
}

impl Progress {
    fn classify(&mut self, outcome: Outcome) -> FailureClass {
        let (reason, retry_is_free, retry_after) = match outcome {
            Outcome::Refused(refusal) => self.classify_refusal(refusal),
            Outcome::BadReply(_) => (Reason::BadReply, false, None),
            Outcome::Failed(failure) if failure.timeout => (Reason::Deadline, false, None),
            Outcome::Failed(_) | Outcome::Cancelled | Outcome::Done(_) => {
                (Reason::Broken, false, None)
            }
        };
        FailureClass {
            reason,
            retry_is_free,
            retry_after: retry_after.unwrap_or_default(),
        }
    }

    fn classify_refusal(&mut self, refusal: Refusal) -> (Reason, bool, Option<Duration>) {
        let reason = match refusal.reason {
            backend::Reason::Snapshot | backend::Reason::Shard => Reason::SnapshotGone,
            backend::Reason::Shed => Reason::Shed,
            backend::Reason::Draining => Reason::Unreachable,
            backend::Reason::Deadline => Reason::Deadline,
        };
        for held in refusal.held {
            if self.held.len() < MAX_HELD_SNAPSHOTS && !self.held.contains(&held) {
                self.held.push(held);
            }
        }
        let retry_is_free = matches!(reason, Reason::SnapshotGone | Reason::Unreachable);
        (reason, retry_is_free, refusal.retry_after)
    }
}

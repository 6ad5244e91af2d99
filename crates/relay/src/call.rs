//! One call to a service: the initial sub-request with its hedges and retries.
//!
//! `policy` decides which server to use, when to hedge and what the retry budget allows; this module
//! carries the decisions out.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use futures_channel::oneshot;
use futures_util::{
    future::{
        select,
        Either, //
    },
    stream::FuturesUnordered,
    FutureExt,
    StreamExt, //
};
use http::StatusCode;
use monoio::time::sleep_until;
use policy::{
    health::Transition,
    hedge,
    quarantine::Turn,
    retry_budget::Purpose, //
};
use route::Kind;
use tracing::info;

use crate::{
    connection::{
        self,
        Failure,
        Reply, //
    },
    headers::HeaderNames,
    latency::Statistics,
    meter::Meter,
    quarantine::{
        LostExchange,
        Tracker,
        Witness, //
    },
    reply::{
        classify,
        denies_run,
        Fault,
        Verdict, //
    },
    request::CallerRequest,
    server::{
        Exchange,
        Server, //
    },
    service::{
        Refusal,
        Scheduling,
        Service, //
    },
};

/// Delay before a hedge that couldn't be sent is tried again, and before a server that shed a sub-request gets it
/// again: about the time until a slot is free.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(6);
/// Number of shed sub-requests of a call from which on the servers that shed them get no further one.
const MAX_SHED: usize = 5;

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No server could be chosen.
    Refused(Refusal),
    /// The last server that was tried stated that it didn't run the request.
    Shed,
    /// The exchange with a server failed.
    Broken(connection::FailureKind),
    /// A server's reply was invalid or belonged to another request.
    Wrong(Fault),
    /// A server replied with a status by which a caller would take a request that may have run for one that hasn't.
    Unstated(StatusCode),
    /// No reply arrived before the deadline.
    Late,
}

/// Result of a call.
#[derive(Debug)]
pub enum Outcome {
    /// A server served it.
    Served(Reply),
    /// A server replied with an error.
    Failed(Reply),
    /// No server has run it, and none will.
    NotRun(Cause),
    /// A server may have run it.
    MayHaveRun(Cause),
}

/// Result of a call, with the number of its sub-requests.
#[derive(Debug)]
pub struct Report {
    /// Result.
    pub outcome: Outcome,
    /// Number of sub-requests that were sent.
    pub attempts: usize,
    /// Whether a hedge was sent.
    pub hedged: bool,
    /// Server of the last sub-request.
    pub server: Option<Arc<str>>,
}

/// A call to one service.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// The request.
    pub caller_request: &'a CallerRequest,
    /// The service.
    pub service: Rc<Service>,
    /// Whether the request may run more than once.
    pub kind: Kind,
    /// Maximum number of sub-requests.
    pub max_attempts: usize,
    /// Queue order, deadlines and baseline latency.
    pub scheduling: Scheduling,
    /// Crashes under the caller's attempt.
    pub(crate) crashes: &'a Rc<Tracker>,
    /// Latency statistics of the route.
    pub route_latency: &'a Statistics,
    /// Header names.
    pub names: &'a HeaderNames,
    /// Counters.
    pub meter: &'a Meter,
}

impl Call<'_> {
    /// Runs the call until it succeeds, no attempt is left, or its deadline passes.
    pub async fn run(self) -> Report {
        let mut execution = Execution {
            attempts: 0,
            last_server: None,
            tried: Vec::new(),
            shedding: Vec::new(),
            shed_count: 0,
            used_connections: Vec::new(),
            running: FuturesUnordered::new(),
            pending_failure: None,
            may_have_run: false,
            hedged: false,
            has_hedge: false,
            hedge_not_before: None,
            unconfirmed: Vec::new(),
            crashed: 0,
            unsent: 0,
            call: self,
        };
        let outcome = execution.run_attempts().await;
        Report {
            outcome,
            attempts: execution.attempts,
            hedged: execution.hedged,
            server: execution
                .last_server
                .as_ref()
                .map(|server| server.id().clone()),
        }
    }

    /// Returns when a sub-request that was sent at `sent_at` takes so long that another one may be sent.
    fn due_at(&self, sent_at: Instant) -> Instant {
        hedge::due_at(
            sent_at,
            self.route_latency.hedge_delay(),
            self.scheduling.baseline,
            self.scheduling.answer_by,
        )
    }
}

/// Failure to report if no attempt succeeds.
enum PendingFailure {
    Reply(Reply),
    Cause(Cause),
}

struct Execution<'a> {
    call: Call<'a>,
    /// Number of sub-requests that were sent.
    attempts: usize,
    /// Server of the last sub-request.
    last_server: Option<Rc<Server>>,
    /// Servers that must not get another sub-request of this call.
    tried: Vec<Rc<Server>>,
    /// Servers that shed a sub-request and may get another one; none of them is among `tried`.
    shedding: Vec<Rc<Server>>,
    shed_count: usize,
    /// Connections that have carried a sub-request of this call.
    used_connections: Vec<connection::Id>,
    running: FuturesUnordered<Attempt>,
    pending_failure: Option<PendingFailure>,
    may_have_run: bool,
    /// Whether any hedge was sent.
    hedged: bool,
    /// Whether a hedge was sent that wasn't shed.
    has_hedge: bool,
    /// Earliest time of the next hedge, after one that couldn't be sent.
    hedge_not_before: Option<Instant>,
    /// Exchanges that ended without a reply, of which it isn't known whether the server has crashed.
    unconfirmed: Vec<LostExchange>,
    /// Servers that crashed under this call.
    crashed: usize,
    /// Sub-requests of which no byte was sent, as the server couldn't be reached.
    unsent: usize,
}

enum Event {
    AttemptEnded(Box<EndedAttempt>),
    HedgeDue,
    /// The instance has started to shut down, which may end before the deadline.
    DrainChanged,
    /// A server has served a part of the query, so that hedges may be sent.
    Proven,
    ReplyOverdue,
    DeadlinePassed,
}

impl Execution<'_> {
    async fn run_attempts(&mut self) -> Outcome {
        let now = Instant::now();
        self.call.service.count_initial(now);
        if let Err(refusal) = self.start_attempt(None).await {
            return Outcome::NotRun(Cause::Refused(refusal));
        }
        loop {
            match self.next_event().await {
                Event::DeadlinePassed => return self.late_outcome(),
                Event::Proven | Event::DrainChanged => {}
                Event::HedgeDue => self.send_hedge(),
                Event::ReplyOverdue => self.record_overdue(),
                Event::AttemptEnded(ended) => match self.handle_ended(*ended) {
                    Some(reply) => {
                        self.unconfirmed.clear();
                        return Outcome::Served(reply);
                    }
                    None if !self.running.is_empty() => {}
                    None => {
                        self.confirm_crashes().await;
                        if self.start_attempt(Some(Purpose::Retry)).await.is_err() {
                            return self.failed_outcome();
                        }
                    }
                },
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let deadline = self.deadline();
        let hedge_at = self.hedge_at();
        let overdue_at = self.overdue_at().filter(|at| *at < deadline);
        let until = hedge_at.into_iter().chain(overdue_at).min();
        let timer = std::pin::pin!(sleep_until(until.unwrap_or(deadline).into()));
        let proof = std::pin::pin!(self.call.crashes.prove_for_hedge());
        let drain = std::pin::pin!(self.call.service.drain().changed());
        let changes = std::pin::pin!(select(proof, drain));
        let waits = std::pin::pin!(select(timer, changes));
        match select(self.running.next(), waits).await {
            Either::Left((Some(ended), _)) => Event::AttemptEnded(Box::new(ended)),
            Either::Right((Either::Right((Either::Left(_), _)), _)) => Event::Proven,
            Either::Right((Either::Right((Either::Right(_), _)), _)) => Event::DrainChanged,
            Either::Right(_) if until.is_some() && until == hedge_at => Event::HedgeDue,
            Either::Right(_) if until.is_some() => Event::ReplyOverdue,
            _ => Event::DeadlinePassed,
        }
    }

    /// Returns when the call ends without a reply: at its deadline, or with the shutdown of the instance.
    fn deadline(&self) -> Instant {
        let deadline = self.call.scheduling.deadline;
        self.call.service.drain().limit(deadline)
    }

    /// Returns when the reply of a sub-request is overdue whose server isn't recorded as silent yet.
    fn overdue_at(&self) -> Option<Instant> {
        let waiting = self.running.iter().filter(|attempt| !attempt.is_overdue);
        waiting
            .map(|attempt| self.call.due_at(attempt.sent_at))
            .min()
    }

    /// Records the servers whose reply is overdue as silent.
    fn record_overdue(&mut self) {
        let now = Instant::now();
        for attempt in self.running.iter_mut() {
            if !attempt.is_overdue && self.call.due_at(attempt.sent_at) <= now {
                attempt.is_overdue = true;
                attempt.server.record_silence();
            }
        }
    }

    /// Returns when to send a hedge; none if there is to be none.
    fn hedge_at(&self) -> Option<Instant> {
        let may_hedge = self.call.kind == Kind::Idempotent
            && !self.has_hedge
            && self.has_attempts_left()
            && self.call.crashes.may_hedge();
        let initial = self.running.iter().next().filter(|_| may_hedge)?;
        let at = self.call.due_at(initial.sent_at);
        let at = self
            .hedge_not_before
            .map_or(at, |earliest| earliest.max(at));
        (at < self.deadline()).then_some(at)
    }

    fn has_attempts_left(&self) -> bool {
        !self.shedding.is_empty() || self.may_use_further_server()
    }

    /// Returns whether a server that hasn't had this call yet may get it.
    fn may_use_further_server(&self) -> bool {
        let used = self.tried.len() - self.unsent + self.shedding.len();
        used < self.call.max_attempts.max(1)
    }

    /// Returns the servers of the service that must not get the next sub-request.
    fn excluded(&self) -> Vec<Rc<Server>> {
        if self.may_use_further_server() {
            return self.tried.clone();
        }
        let mut excluded = self.call.service.servers();
        excluded.retain(|server| !server.is_among(&self.shedding));
        excluded
    }

    /// Waits a moment if only servers that have shed sub-requests of this call are free.
    async fn wait_after_shed(&self) {
        if self.shedding.is_empty() {
            return;
        }
        let mut excluded = self.excluded();
        excluded.extend(self.shedding.iter().cloned());
        let service = &self.call.service;
        let baseline = self.call.scheduling.baseline;
        if service.try_choose(baseline, &excluded).is_none() {
            sleep_until((Instant::now() + HEDGE_RETRY_DELAY).into()).await;
        }
    }

    /// Sends the initial sub-request (no purpose) or a retry, once a server is free.
    ///
    /// # Errors
    ///
    /// Fails if no server is available, the attempts or the retry budget are used up, the request must not run
    /// again, or it may be what crashes servers.
    async fn start_attempt(&mut self, purpose: Option<Purpose>) -> Result<(), Refusal> {
        let now = Instant::now();
        let Some(purpose) = purpose else {
            let service = self.call.service.clone();
            let server = service
                .choose_or_wait(self.call.scheduling, &self.tried)
                .await?;
            self.send(server, false);
            return Ok(());
        };
        let is_repeatable = self.call.kind == Kind::Idempotent || !self.may_have_run;
        let may_rerun = is_repeatable && self.call.crashes.may_retry(self.crashed).await;
        let service = self.call.service.clone();
        // The first sub-request that reaches a server is no repetition.
        let needs_budget = self.unsent < self.attempts;
        let is_allowed = may_rerun && self.has_attempts_left();
        if !is_allowed || (needs_budget && !service.take_budget(now, purpose)) {
            return Err(Refusal::Busy);
        }
        self.wait_after_shed().await;
        match service
            .choose_or_wait(self.call.scheduling, &self.excluded())
            .await
        {
            Ok(server) => {
                self.call.meter.retries.add(1);
                self.send(server, needs_budget);
                Ok(())
            }
            Err(refusal) => {
                if needs_budget {
                    service.refund_budget(Instant::now());
                }
                Err(refusal)
            }
        }
    }

    fn send_hedge(&mut self) {
        let now = Instant::now();
        self.hedge_not_before = Some(now + HEDGE_RETRY_DELAY);
        let service = &self.call.service;
        let Some(server) = service.try_choose(self.call.scheduling.baseline, &self.excluded())
        else {
            return;
        };
        match service.take_budget(now, Purpose::Hedge) {
            true => {
                self.hedged = true;
                self.has_hedge = true;
                self.call.meter.hedges.add(1);
                self.send(server, true);
            }
            false => self.call.meter.unhedged.add(1),
        }
    }

    /// Sends a sub-request; `has_budget` tells that it was counted in the retry budget.
    fn send(&mut self, server: Rc<Server>, has_budget: bool) {
        let now = Instant::now();
        let deadline = self.deadline();
        let time_left = deadline.saturating_duration_since(now);
        let caller_request = self.call.caller_request;
        let request = caller_request.outgoing(self.call.names, server.target(), time_left);
        let number = self.call.service.next_exchange();
        let baseline = self.call.scheduling.baseline;
        let turn = self.call.crashes.turn();
        let sent = server.send(Exchange {
            request,
            id: (self.call.names.request.clone(), caller_request.id.clone()),
            number,
            deadline,
            baseline,
            is_at_most_once: self.call.kind == Kind::AtMostOnce,
            witness: Some(Witness {
                crashes: self.call.crashes.clone(),
                turn,
            }),
            used: &self.used_connections,
            // It shows that the server is up after the crashes that are known.
            needs_new_connection: turn > Turn::default(),
        });
        self.used_connections.push(sent.connection);
        self.call.meter.exchanges.add(1);
        self.attempts += 1;
        self.last_server = Some(server.clone());
        self.shedding.retain(|one| !Rc::ptr_eq(one, &server));
        self.tried.push(server.clone());
        self.running.push(Attempt {
            server,
            turn,
            number,
            has_budget,
            sent_at: now,
            baseline,
            is_overdue: false,
            has_ended: false,
            receiver: sent.receiver,
        });
    }

    /// Handles the end of an attempt; returns the reply if it succeeded.
    fn handle_ended(&mut self, ended: EndedAttempt) -> Option<Reply> {
        let now = Instant::now();
        let EndedAttempt {
            server,
            turn,
            has_budget,
            sent_at,
            result,
        } = ended;
        let latency = now.saturating_duration_since(sent_at);
        let reply = match result {
            Ok(reply) => reply,
            Err(failure) => {
                if !failure.sent {
                    self.unsent += 1;
                    if has_budget {
                        self.call.service.refund_budget(now);
                    }
                }
                self.handle_failed_exchange(&server, turn, failure, now);
                return None;
            }
        };
        match classify(&reply, &self.call.caller_request.id, self.call.names) {
            Verdict::Served => {
                self.call.crashes.record_served();
                server.record_success(now);
                server.record_latency(
                    now,
                    latency_multiple(latency, self.call.scheduling.baseline),
                );
                let Scheduling {
                    baseline,
                    objective,
                    ..
                } = self.call.scheduling;
                server.adapt_window(now, baseline, objective);
                self.call.route_latency.record(now, latency);
                return Some(reply);
            }
            Verdict::NotRun => {
                self.call.meter.shed.add(1);
                server.record_shed();
                self.keep_failure(PendingFailure::Cause(Cause::Shed));
                self.allow_repeat(server, now);
            }
            Verdict::Misplaced => {
                self.call.meter.misplaced.add(1);
                info!(server = %server.id(), "call: another server listens at the address.");
                server.mark_misplaced();
                self.keep_failure(PendingFailure::Cause(Cause::Shed));
            }
            Verdict::Failed => {
                self.call.crashes.record_served();
                self.call.meter.failed.add(1);
                self.may_have_run = true;
                self.record_server_failure(&server, now);
                self.keep_failure(self.failure_to_report(reply));
            }
            Verdict::Wrong(fault) => {
                self.call.meter.wrong.add(1);
                self.may_have_run = true;
                self.record_server_failure(&server, now);
                self.keep_failure(PendingFailure::Cause(Cause::Wrong(fault)));
            }
        }
        None
    }

    /// Allows another sub-request to a server that shed one, unless it sheds everything.
    fn allow_repeat(&mut self, server: Rc<Server>, now: Instant) {
        self.shed_count += 1;
        if self.shed_count >= MAX_SHED || !server.has_served_recently(now) {
            return;
        }
        self.has_hedge = false;
        self.hedge_not_before = Some(now + HEDGE_RETRY_DELAY);
        self.tried.retain(|one| !Rc::ptr_eq(one, &server));
        self.shedding.push(server);
    }

    fn handle_failed_exchange(
        &mut self,
        server: &Rc<Server>,
        turn: Turn,
        failure: Failure,
        now: Instant,
    ) {
        self.call.meter.broken.add(1);
        self.may_have_run |= failure.sent;
        match failure.kind {
            // The connection has already recorded the timeout.
            connection::FailureKind::Timeout => {}
            // A server at its connection limit still serves its open connections, so it isn't unhealthy.
            connection::FailureKind::Refused => {}
            _ => self.record_server_failure(server, now),
        }
        if failure.is_without_reply() {
            self.unconfirmed.push(LostExchange {
                server: server.clone(),
                turn,
                cause: failure.kind,
            });
        }
        let cause = match failure.kind {
            connection::FailureKind::Timeout => Cause::Late,
            kind => Cause::Broken(kind),
        };
        self.keep_failure(PendingFailure::Cause(cause));
    }

    /// Finds out which servers have crashed, of those whose exchange ended without a reply.
    async fn confirm_crashes(&mut self) {
        for lost in std::mem::take(&mut self.unconfirmed) {
            self.crashed += usize::from(self.call.crashes.confirm(lost).await);
        }
    }

    fn record_server_failure(&self, server: &Rc<Server>, now: Instant) {
        // A server that asks for a pause is overloaded, not faulty.
        if server.pause_left(now).is_some() {
            return;
        }
        if let Transition::Ejected(until) = server.record_failure(now) {
            let ms = until.saturating_duration_since(now).as_millis();
            let service = self.call.service.name();
            info!(server = %server.id(), %service, out_ms = ms as u64, "call: server ejected after failures.");
        }
    }

    /// Returns the failure that a server's error reply is reported as.
    ///
    /// The caller of a request that must run at most once repeats it after a status that denies the run.
    fn failure_to_report(&self, reply: Reply) -> PendingFailure {
        let status = reply.status();
        match self.call.kind {
            Kind::AtMostOnce if denies_run(status) => {
                PendingFailure::Cause(Cause::Unstated(status))
            }
            _ => PendingFailure::Reply(reply),
        }
    }

    /// Keeps a failure to report. A server's error reply is kept over any later failure, as it is the
    /// most informative one for the caller.
    fn keep_failure(&mut self, failure: PendingFailure) {
        if !matches!(self.pending_failure, Some(PendingFailure::Reply(_))) {
            self.pending_failure = Some(failure);
        }
    }

    fn failed_outcome(&mut self) -> Outcome {
        match self.pending_failure.take() {
            Some(PendingFailure::Reply(reply)) => Outcome::Failed(reply),
            Some(PendingFailure::Cause(cause)) if self.may_have_run => Outcome::MayHaveRun(cause),
            Some(PendingFailure::Cause(cause)) => Outcome::NotRun(cause),
            None => Outcome::MayHaveRun(Cause::Late),
        }
    }

    fn late_outcome(&mut self) -> Outcome {
        // An attempt that is still running may have run the request, whatever earlier replies stated.
        Outcome::MayHaveRun(Cause::Late)
    }
}

impl Drop for Execution<'_> {
    /// Finds out about the remaining servers after the call has ended: its deadline has passed, or its caller has left.
    fn drop(&mut self) {
        for lost in std::mem::take(&mut self.unconfirmed) {
            let crashes = self.call.crashes.clone();
            monoio::spawn(async move { crashes.confirm(lost).await });
        }
    }
}

/// Returns a latency as a multiple of the baseline.
pub(crate) fn latency_multiple(latency: Duration, baseline: Duration) -> f64 {
    latency.as_secs_f64() / baseline.as_secs_f64().max(1e-6)
}

/// A sub-request whose reply a call waits for.
#[derive(Debug)]
struct Attempt {
    server: Rc<Server>,
    turn: Turn,
    number: u64,
    has_budget: bool,
    sent_at: Instant,
    baseline: Duration,
    is_overdue: bool,
    has_ended: bool,
    receiver: oneshot::Receiver<Result<Reply, Failure>>,
}

/// A sub-request that ended.
#[derive(Debug)]
struct EndedAttempt {
    server: Rc<Server>,
    turn: Turn,
    has_budget: bool,
    sent_at: Instant,
    result: Result<Reply, Failure>,
}

impl Future for Attempt {
    type Output = EndedAttempt;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let result = match self.receiver.poll_unpin(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(result)) => result,
            // The connection's task ended without a result, so the request may have been sent.
            Poll::Ready(Err(_)) => Err(Failure {
                kind: connection::FailureKind::Closed,
                sent: true,
            }),
        };
        self.has_ended = true;
        Poll::Ready(EndedAttempt {
            server: self.server.clone(),
            turn: self.turn,
            has_budget: self.has_budget,
            sent_at: self.sent_at,
            result,
        })
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.server.remove_pending(self.number);
        let now = Instant::now();
        let elapsed_multiple =
            latency_multiple(now.saturating_duration_since(self.sent_at), self.baseline);
        // Replies that are no longer waited for aren't recorded. Without this sample, a slow server that is
        // always hedged would keep its old slowness.
        if !self.has_ended && elapsed_multiple > 1.0 {
            self.server.record_latency(now, elapsed_multiple);
        }
    }
}

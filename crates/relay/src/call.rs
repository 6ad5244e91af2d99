//! One request to one service: the attempts that it takes.
//!
//! Which server is asked, when a second one is asked as well, and whether a failure may be followed
//! by another attempt is decided in `policy`; here the decisions are carried out.

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
use monoio::time::sleep_until;
use policy::{
    extra::Purpose,
    health::Change,
    hedge, //
};
use route::Kind;
use tracing::info;

use crate::{
    headers::Headers,
    link::{
        self,
        Failure,
        Reply, //
    },
    meter::Meter,
    pace::Pace,
    reply::{
        judge,
        Fault,
        Verdict, //
    },
    request::Asked,
    server::Server,
    service::{
        Place,
        Refusal,
        Service, //
    },
};

/// Pause before a hedge that wasn't possible is tried again: about what a free slot takes to come.
const HEDGE_AGAIN: Duration = Duration::from_millis(6);

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No server could be asked.
    Refused(Refusal),
    /// Every server that was asked stated that it didn't run the request.
    Shed,
    /// A server was asked and the exchange failed.
    Broken(link::Kind),
    /// What a server answered wasn't an answer to the request.
    Wrong(Fault),
    /// No answer came in time.
    Late,
}

/// How a call ended.
#[derive(Debug)]
pub enum Outcome {
    /// A server served it.
    Served(Reply),
    /// A server answered that it failed.
    Failed(Reply),
    /// No server has run it, and none will.
    NotRun(Cause),
    /// A server may have run it.
    MayHaveRun(Cause),
}

/// How a call ended, and what it took.
#[derive(Debug)]
pub struct Report {
    /// How it ended.
    pub outcome: Outcome,
    /// Exchanges that were started.
    pub attempts: usize,
    /// Whether a second server was asked because the first was slow.
    pub hedged: bool,
    /// The server that was asked last.
    pub server: Option<Arc<str>>,
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// The request.
    pub asked: &'a Asked,
    /// The service.
    pub service: Rc<Service>,
    /// Whether it may run more than once.
    pub kind: Kind,
    /// Servers that may be asked.
    pub attempts: usize,
    /// Place among those that wait for a server.
    pub place: Place,
    /// Latencies of the route.
    pub pace: &'a Pace,
    /// Header names.
    pub names: &'a Headers,
    /// Counters.
    pub meter: &'a Meter,
}

impl Call<'_> {
    /// Runs the call until it is answered, can't be, or its deadline passes.
    pub async fn run(self) -> Report {
        let mut run = Run {
            tried: Vec::new(),
            running: FuturesUnordered::new(),
            worst: None,
            may_have_run: false,
            hedged: false,
            hedge_from: None,
            call: self,
        };
        let outcome = run.attempts().await;
        Report {
            outcome,
            attempts: run.tried.len(),
            hedged: run.hedged,
            server: run.tried.last().map(|server| server.id().clone()),
        }
    }
}

/// A failure to report if nothing better comes.
enum Worst {
    Reply(Reply),
    Cause(Cause),
}

struct Run<'a> {
    call: Call<'a>,
    tried: Vec<Rc<Server>>,
    running: FuturesUnordered<Attempt>,
    worst: Option<Worst>,
    may_have_run: bool,
    hedged: bool,
    /// When a hedge that found no free server is tried again.
    hedge_from: Option<Instant>,
}

enum Event {
    Answer(Box<Ended>),
    Slow,
    Late,
}

impl Run<'_> {
    async fn attempts(&mut self) -> Outcome {
        let now = Instant::now();
        self.call.service.count_first(now);
        if let Err(refusal) = self.start(None).await {
            return Outcome::NotRun(Cause::Refused(refusal));
        }
        loop {
            match self.next().await {
                Event::Late => return self.late(),
                Event::Slow => self.hedge(),
                Event::Answer(ended) => match self.take(*ended) {
                    Some(reply) => return Outcome::Served(reply),
                    None if !self.running.is_empty() => {}
                    None if self.start(Some(Purpose::Retry)).await.is_ok() => {}
                    None => return self.failed(),
                },
            }
        }
    }

    async fn next(&mut self) -> Event {
        let hedge = self.hedge_at();
        let until = hedge.unwrap_or(self.call.place.deadline);
        let timer = std::pin::pin!(sleep_until(until.into()));
        match select(self.running.next(), timer).await {
            Either::Left((Some(ended), _)) => Event::Answer(Box::new(ended)),
            Either::Right(_) if hedge.is_some() => Event::Slow,
            _ => Event::Late,
        }
    }

    /// Returns when a second server is asked because the first is slow.
    fn hedge_at(&self) -> Option<Instant> {
        let may = self.call.kind == Kind::Idempotent && !self.hedged && self.has_attempts();
        let first = self.running.iter().next().filter(|_| may)?;
        let place = &self.call.place;
        let slow = self.call.pace.hedge();
        let at = hedge::at(first.sent, slow, place.usual, place.answer_by);
        let at = self.hedge_from.map_or(at, |from| from.max(at));
        (at < self.call.place.deadline).then_some(at)
    }

    fn has_attempts(&self) -> bool {
        self.tried.len() < self.call.attempts.max(1)
    }

    /// Asks one more server, waiting for a free one where it is the first.
    async fn start(&mut self, purpose: Option<Purpose>) -> Result<(), Refusal> {
        let now = Instant::now();
        let Some(purpose) = purpose else {
            let service = self.call.service.clone();
            let server = service.choose_soon(self.call.place, &self.tried).await?;
            self.send(server);
            return Ok(());
        };
        let again = self.call.kind == Kind::Idempotent || !self.may_have_run;
        if !again || !self.has_attempts() || !self.call.service.take_extra(now, purpose) {
            return Err(Refusal::Busy);
        }
        let service = self.call.service.clone();
        match service.choose_soon(self.call.place, &self.tried).await {
            Ok(server) => {
                self.call.meter.retries.add(1);
                self.send(server);
                Ok(())
            }
            Err(refusal) => {
                service.refund_extra(Instant::now());
                Err(refusal)
            }
        }
    }

    fn hedge(&mut self) {
        let now = Instant::now();
        self.hedge_from = Some(now + HEDGE_AGAIN);
        let service = &self.call.service;
        let Some(server) = service.choose_now(self.call.place.usual, &self.tried) else {
            return;
        };
        match service.take_extra(now, Purpose::Hedge) {
            true => {
                self.hedged = true;
                self.call.meter.hedges.add(1);
                self.send(server);
            }
            false => self.call.meter.unhedged.add(1),
        }
    }

    fn send(&mut self, server: Rc<Server>) {
        let now = Instant::now();
        let left = self.call.place.deadline.saturating_duration_since(now);
        let asked = self.call.asked;
        let request = asked.outgoing(self.call.names, server.target(), left);
        let number = self.call.service.next_exchange();
        let usual = self.call.place.usual;
        let receiver = server.send(
            request,
            number,
            self.call.place.deadline,
            usual,
            self.call.kind == Kind::Once,
        );
        self.call.meter.exchanges.add(1);
        self.tried.push(server.clone());
        self.running.push(Attempt {
            server,
            number,
            sent: now,
            usual,
            is_done: false,
            receiver,
        });
    }

    /// Takes in one answer; returns it if it serves the call.
    fn take(&mut self, ended: Ended) -> Option<Reply> {
        let now = Instant::now();
        let Ended {
            server,
            sent,
            result,
        } = ended;
        let latency = now.saturating_duration_since(sent);
        let reply = match result {
            Ok(reply) => reply,
            Err(failure) => {
                self.broke(&server, failure, now);
                return None;
            }
        };
        match judge(&reply, &self.call.asked.id, self.call.names) {
            Verdict::Served => {
                server.served();
                server.record(now, multiple(latency, self.call.place.usual));
                self.call.pace.record(now, latency);
                return Some(reply);
            }
            Verdict::NotRun => {
                self.call.meter.shed.add(1);
                self.fail(&server, now);
                self.note(Worst::Cause(Cause::Shed));
            }
            Verdict::Misplaced => {
                self.call.meter.misplaced.add(1);
                info!(server = %server.id(), "call: another server has the address.");
                server.set_misplaced();
                self.note(Worst::Cause(Cause::Shed));
            }
            Verdict::Failed => {
                self.call.meter.failed.add(1);
                self.may_have_run = true;
                self.fail(&server, now);
                self.note(Worst::Reply(reply));
            }
            Verdict::Wrong(fault) => {
                self.call.meter.wrong.add(1);
                self.may_have_run = true;
                self.fail(&server, now);
                self.note(Worst::Cause(Cause::Wrong(fault)));
            }
        }
        None
    }

    fn broke(&mut self, server: &Rc<Server>, failure: Failure, now: Instant) {
        self.call.meter.broken.add(1);
        self.may_have_run |= failure.sent;
        match failure.kind {
            // The link has counted a silent server already.
            link::Kind::Timeout => {}
            // A server that accepts no more connections does serve those that it has.
            link::Kind::Refused => {}
            _ => self.fail(server, now),
        }
        self.note(Worst::Cause(Cause::Broken(failure.kind)));
    }

    fn fail(&self, server: &Rc<Server>, now: Instant) {
        if let Change::Out(until) = server.failed(now) {
            let ms = until.saturating_duration_since(now).as_millis();
            let service = self.call.service.name();
            info!(server = %server.id(), %service, out_ms = ms as u64, "call: server taken out after failures.");
        }
    }

    /// Keeps the failure that tells the caller most: a server's own answer.
    fn note(&mut self, failure: Worst) {
        if !matches!(self.worst, Some(Worst::Reply(_))) {
            self.worst = Some(failure);
        }
    }

    fn failed(&mut self) -> Outcome {
        match self.worst.take() {
            Some(Worst::Reply(reply)) => Outcome::Failed(reply),
            Some(Worst::Cause(cause)) if self.may_have_run => Outcome::MayHaveRun(cause),
            Some(Worst::Cause(cause)) => Outcome::NotRun(cause),
            None => Outcome::MayHaveRun(Cause::Late),
        }
    }

    fn late(&mut self) -> Outcome {
        // What still runs may have run, whatever those before it said.
        Outcome::MayHaveRun(Cause::Late)
    }
}

/// Returns a latency as a multiple of the usual one.
pub(crate) fn multiple(latency: Duration, usual: Duration) -> f64 {
    latency.as_secs_f64() / usual.as_secs_f64().max(1e-6)
}

/// One exchange that a call waits for.
#[derive(Debug)]
struct Attempt {
    server: Rc<Server>,
    number: u64,
    sent: Instant,
    usual: Duration,
    is_done: bool,
    receiver: oneshot::Receiver<Result<Reply, Failure>>,
}

/// An exchange that ended.
#[derive(Debug)]
struct Ended {
    server: Rc<Server>,
    sent: Instant,
    result: Result<Reply, Failure>,
}

impl Future for Attempt {
    type Output = Ended;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let result = match self.receiver.poll_unpin(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(result)) => result,
            // The link's task has ended without a word; what it had sent isn't known.
            Poll::Ready(Err(_)) => Err(Failure {
                kind: link::Kind::Closed,
                sent: true,
            }),
        };
        self.is_done = true;
        Poll::Ready(Ended {
            server: self.server.clone(),
            sent: self.sent,
            result,
        })
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.server.forget(self.number);
        let now = Instant::now();
        let waited = multiple(now.saturating_duration_since(self.sent), self.usual);
        // Answers that nobody waits for any more would leave a slow server as fast as it was.
        if !self.is_done && waited > 1.0 {
            self.server.record(now, waited);
        }
    }
}

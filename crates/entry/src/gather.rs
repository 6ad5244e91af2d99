//! Gathers the partials of a query, and moves parts away from unresponsive instances.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    time::Instant, //
};

use fleet::Member;
use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
    stream::FuturesUnordered,
    StreamExt, //
};
use platform::Store;
use wire::{
    client::Error,
    CancelRequest,
    Partial, //
};

use crate::{
    collector::{
        is_instance_refusal,
        Collector, //
    },
    probe_delay::ProbeDelay,
    router::Router,
    scatter::{
        scatter,
        Batch,
        Plan, //
    },
};

/// Maximum number of instances that a part is sent to in one run.
pub const MAX_ATTEMPTS: u32 = 3;

/// The outcomes of a query's parts.
#[derive(Debug)]
pub struct Gathered {
    /// A partial for each shard that has one, by position in the snapshot.
    pub partials: Vec<Option<Partial>>,
    /// Whether a part may have run although `partials` has no outcome that says so.
    pub may_have_run: bool,
}

/// A batch that was sent to its instance.
struct Running {
    batch: Batch,
    started_at: Instant,
    /// When the instance is probed next.
    probe_at: Instant,
}

/// An event of the batch with this index in [`Gathering::running`].
enum Event {
    /// The batch is complete or has failed.
    Ended(usize, Result<(), Error>),
    /// Whether the instance of the batch replied to a probe.
    Probed(usize, bool),
}

/// Runs the parts of `plan` at their owners and returns a partial for each shard that has one.
///
/// Always returns by the plan's deadline. Parts of an instance that can't be reached, or that is
/// overdue and doesn't reply to a probe, are sent to the next owner.
pub async fn gather<S: Store>(
    router: &Router<S>,
    probe_delay: &ProbeDelay,
    plan: &Plan,
) -> Gathered {
    let collector = Collector::new(plan);
    let mut gathering = Gathering {
        router,
        probe_delay,
        plan,
        collector: &collector,
        running: Vec::new(),
        futures: FuturesUnordered::new(),
    };
    gathering.start();
    gathering.run().await;
    gathering.cancel();
    drop(gathering);
    Gathered {
        may_have_run: collector.may_have_run.get(),
        partials: collector.partials.into_inner(),
    }
}

struct Gathering<'a, S> {
    router: &'a Router<S>,
    probe_delay: &'a ProbeDelay,
    plan: &'a Plan,
    collector: &'a Collector<'a>,
    /// Batches by index, `None` once a batch has ended.
    running: Vec<Option<Running>>,
    futures: FuturesUnordered<Pin<Box<dyn Future<Output = Event> + 'a>>>,
}

impl<'a, S: Store> Gathering<'a, S> {
    fn start(&mut self) {
        let all: Vec<u32> = (0..self.plan.snapshot.shards.len() as u32).collect();
        self.router.earn_moves(all.len());
        self.send(&all, self.plan.first_attempt);
    }

    /// Returns the number of the run's last attempt.
    fn last_attempt(&self) -> u32 {
        self.plan.first_attempt + MAX_ATTEMPTS - 1
    }

    /// Sends each of `parts` to its owner of the rank that `attempt` has in the run: the first attempt
    /// to the first owner, the next to the second.
    fn send(&mut self, parts: &[u32], attempt: u32) {
        let targets = parts
            .iter()
            .filter_map(|index| Some((*index, self.target(*index, attempt)?)));
        let targets: Vec<_> = targets.collect();
        self.send_batches(targets, attempt);
    }

    /// Sends each part to its instance, with the parts of an instance in one batch.
    fn send_batches(&mut self, parts: Vec<(u32, Rc<Member>)>, attempt: u32) {
        let mut batches: Vec<Batch> = Vec::new();
        for (index, member) in parts {
            match batches
                .iter_mut()
                .find(|batch| batch.member.name == member.name)
            {
                Some(batch) => batch.parts.push(index),
                None => batches.push(Batch {
                    member,
                    attempt,
                    parts: vec![index],
                }),
            }
        }
        batches.into_iter().for_each(|batch| self.launch(batch));
    }

    fn target(&self, index: u32, attempt: u32) -> Option<Rc<Member>> {
        let service = &self.plan.snapshot.shards[index as usize].service;
        self.router
            .target(service, (attempt - self.plan.first_attempt) as usize)
    }

    fn launch(&mut self, batch: Batch) {
        let id = self.running.len();
        let now = Instant::now();
        self.running.push(Some(Running {
            batch: batch.clone(),
            started_at: now,
            probe_at: now + self.probe_delay.get(&self.plan.group),
        }));
        let (router, plan, collector) = (self.router, self.plan, self.collector);
        self.futures.push(Box::pin(async move {
            let accept = |partial| collector.accept(&batch, partial);
            Event::Ended(id, scatter(router, plan, &batch, accept).await)
        }));
    }

    async fn run(&mut self) {
        while !self.futures.is_empty() {
            match self.next().await {
                Step::Event(Event::Ended(id, result)) => self.finish(id, result),
                Step::Event(Event::Probed(id, false)) => self.abandon(id),
                Step::Event(Event::Probed(_, true)) => {}
                Step::Done if self.collector.is_coverage_unreachable() => return,
                Step::Done if self.retry_refused() => {}
                Step::Done => return,
                Step::Timer if Instant::now() >= self.plan.deadline => return,
                Step::Timer => self.probe_overdue(),
            }
        }
    }

    async fn next(&mut self) -> Step {
        let wake = self.next_probe_at().min(self.plan.deadline);
        let done = self.collector.done.borrow().wait();
        let timer = monoio::time::sleep_until(wake.into());
        let next = select(done, self.futures.next());
        pin_mut!(next, timer);
        match select(next, timer).await {
            Either::Left((Either::Left(_), _)) => Step::Done,
            Either::Left((Either::Right((Some(event), _)), _)) => Step::Event(event),
            Either::Left((Either::Right((None, _)), _)) => Step::Done,
            Either::Right(_) => Step::Timer,
        }
    }

    fn next_probe_at(&self) -> Instant {
        self.running
            .iter()
            .flatten()
            .map(|running| running.probe_at)
            .min()
            .unwrap_or(self.plan.deadline)
    }

    fn finish(&mut self, id: usize, result: Result<(), Error>) {
        let Some(running) = self.running[id].take() else {
            return;
        };
        match result {
            Ok(()) => {
                let elapsed = running.started_at.elapsed();
                self.probe_delay.observe(&self.plan.group, elapsed);
            }
            Err(error) => {
                let name = &running.batch.member.name;
                tracing::info!("entry: batch of a query failed at instance {name}: {error}.");
                self.router.report_unresponsive(&running.batch.member);
                self.fail_over(&running.batch, error == Error::Unreachable);
            }
        }
    }

    /// Sends the pending parts of a failed batch to other instances.
    ///
    /// A part that may have run already needs a token of the budget for moves, as backend servers may
    /// run it twice.
    fn fail_over(&mut self, batch: &Batch, not_sent: bool) {
        if !not_sent {
            self.collector.may_have_run.set(true);
        }
        let mut pending = self.collector.pending(batch);
        pending.retain(|_| not_sent || self.router.take_move());
        if batch.attempt < self.last_attempt() {
            self.send_elsewhere(&pending, batch);
        }
    }

    /// Sends each of `parts` to its first owner other than the instance of `batch`.
    fn send_elsewhere(&mut self, parts: &[u32], batch: &Batch) {
        let first_other = |targets: Vec<Rc<Member>>| {
            let mut others = targets.into_iter();
            others.find(|member| member.name != batch.member.name)
        };
        let targets = parts.iter().filter_map(|index| {
            let service = &self.plan.snapshot.shards[*index as usize].service;
            Some((*index, first_other(self.router.targets(service))?))
        });
        let targets: Vec<_> = targets.collect();
        self.send_batches(targets, batch.attempt + 1);
    }

    /// Sends parts that an instance refused to the next owner; returns whether there were any.
    fn retry_refused(&mut self) -> bool {
        let refused: Vec<(u32, u32)> = self
            .collector
            .partials
            .borrow()
            .iter()
            .flatten()
            .filter(|partial| {
                is_refused_by_instance(partial) && partial.attempt < self.last_attempt()
            })
            .map(|partial| (partial.index, partial.attempt + 1))
            .filter(|(index, attempt)| self.target(*index, *attempt).is_some())
            .collect();
        for (index, attempt) in &refused {
            self.collector.reopen(*index);
            self.send(&[*index], *attempt);
        }
        !refused.is_empty()
    }

    /// Probes the instances whose batches are overdue.
    fn probe_overdue(&mut self) {
        let now = Instant::now();
        let router = self.router;
        for (id, running) in self.running.iter_mut().enumerate() {
            let Some(running) = running.as_mut().filter(|running| running.probe_at <= now) else {
                continue;
            };
            running.probe_at = now + self.probe_delay.get(&self.plan.group);
            let member = running.batch.member.clone();
            if !router.fleet.is_local(&member) {
                self.futures.push(Box::pin(async move {
                    Event::Probed(id, router.is_alive(&member).await)
                }));
            }
        }
    }

    /// Gives up a batch whose instance didn't reply to a probe, and sends its parts elsewhere.
    fn abandon(&mut self, id: usize) {
        if let Some(running) = self.running[id].take() {
            tracing::info!(
                "entry: instance {} didn't reply to a probe during a query.",
                running.batch.member.name
            );
            self.fail_over(&running.batch, false);
        }
    }

    /// Cancels the pending parts at the instances that run them.
    fn cancel(&mut self) {
        for running in self.running.iter().flatten() {
            let parts = self.collector.pending(&running.batch);
            if parts.is_empty() {
                continue;
            }
            let request = CancelRequest {
                request: self.plan.request.clone(),
                attempt: running.batch.attempt,
                parts,
            };
            if self.router.fleet.is_local(&running.batch.member) {
                self.router.pool.cancel(&request);
                continue;
            }
            let peers = self.router.peers.clone();
            let address = running.batch.member.address;
            monoio::spawn(async move { peers.cancel(address, request).await });
        }
    }
}

/// What [`Gathering::run`] does next.
enum Step {
    /// Handle the event of a batch.
    Event(Event),
    /// Stop, unless refused parts can be sent to other instances.
    Done,
    /// Probe overdue instances, or stop if the deadline has passed.
    Timer,
}

fn is_refused_by_instance(partial: &Partial) -> bool {
    partial.failure.as_ref().is_some_and(is_instance_refusal)
}

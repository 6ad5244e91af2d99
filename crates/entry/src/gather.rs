//! Gathers the partials of a query, and moves parts away from instances that went silent.

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
        is_of_instance,
        Collector, //
    },
    patience::Patience,
    router::Router,
    scatter::{
        scatter,
        Batch,
        Plan, //
    },
};

/// Instances that a part is sent to at most in one run.
pub const ATTEMPTS: u32 = 3;

/// What a query's parts came to.
#[derive(Debug)]
pub struct Gathered {
    /// A partial for each shard that has one, by position in the snapshot.
    pub partials: Vec<Option<Partial>>,
    /// Whether a part may have run at an instance that was lost.
    pub may_have_run: bool,
}

struct Running {
    batch: Batch,
    started: Instant,
    check: Instant,
}

/// What happened to the batch of a number.
enum Event {
    Ended(usize, Result<(), Error>),
    Probed(usize, bool),
}

/// Runs the parts of `plan` at their owners and returns a partial for each shard that has one.
///
/// Always returns by the plan's deadline. Parts of an instance that can't be reached, or that stays
/// silent and doesn't answer a probe, go to the next owner.
pub async fn gather<S: Store>(router: &Router<S>, patience: &Patience, plan: &Plan) -> Gathered {
    let collector = Collector::new(plan);
    let mut gathering = Gathering {
        router,
        patience,
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
    patience: &'a Patience,
    plan: &'a Plan,
    collector: &'a Collector<'a>,
    running: Vec<Option<Running>>,
    futures: FuturesUnordered<Pin<Box<dyn Future<Output = Event> + 'a>>>,
}

impl<'a, S: Store> Gathering<'a, S> {
    fn start(&mut self) {
        let all: Vec<u32> = (0..self.plan.snapshot.shards.len() as u32).collect();
        self.router.earn(all.len());
        self.send(&all, self.plan.first);
    }

    /// Returns the number of the run's last attempt.
    fn last(&self) -> u32 {
        self.plan.first + ATTEMPTS - 1
    }

    /// Sends `parts` to the instances of the rank that `attempt` has in the run.
    fn send(&mut self, parts: &[u32], attempt: u32) {
        let targets = parts
            .iter()
            .filter_map(|index| Some((*index, self.target(*index, attempt)?)));
        let targets: Vec<_> = targets.collect();
        self.place(targets, attempt);
    }

    /// Sends each part to its instance, those of the same instance together.
    fn place(&mut self, parts: Vec<(u32, Rc<Member>)>, attempt: u32) {
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
            .target(service, (attempt - self.plan.first) as usize)
    }

    fn launch(&mut self, batch: Batch) {
        let id = self.running.len();
        let now = Instant::now();
        self.running.push(Some(Running {
            batch: batch.clone(),
            started: now,
            check: now + self.patience.wait(&self.plan.group),
        }));
        let (router, plan, collector) = (self.router, self.plan, self.collector);
        self.futures.push(Box::pin(async move {
            let take = |partial| collector.take(&batch, partial);
            Event::Ended(id, scatter(router, plan, &batch, take).await)
        }));
    }

    async fn run(&mut self) {
        while !self.futures.is_empty() {
            match self.next().await {
                Step::Event(Event::Ended(id, result)) => self.end(id, result),
                Step::Event(Event::Probed(id, false)) => self.lose(id),
                Step::Event(Event::Probed(_, true)) => {}
                Step::Done if self.collector.is_hopeless() => return,
                Step::Done if self.retry_refused() => {}
                Step::Done => return,
                Step::Timer if Instant::now() >= self.plan.deadline => return,
                Step::Timer => self.check(),
            }
        }
    }

    async fn next(&mut self) -> Step {
        let wake = self.next_check().min(self.plan.deadline);
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

    fn next_check(&self) -> Instant {
        self.running
            .iter()
            .flatten()
            .map(|running| running.check)
            .min()
            .unwrap_or(self.plan.deadline)
    }

    fn end(&mut self, id: usize, result: Result<(), Error>) {
        let Some(running) = self.running[id].take() else {
            return;
        };
        match result {
            Ok(()) => {
                let elapsed = running.started.elapsed();
                self.patience.observe(&self.plan.group, elapsed);
            }
            Err(error) => {
                let name = &running.batch.member.name;
                tracing::info!("entry: instance {name} lost during a query: {error}.");
                self.router.lost(&running.batch.member);
                self.move_on(&running.batch, error == Error::Unreachable);
            }
        }
    }

    /// Sends the open parts of a lost batch to the next instance.
    ///
    /// Parts that may have run already draw on the budget, as they may be served twice.
    fn move_on(&mut self, batch: &Batch, unsent: bool) {
        if !unsent {
            self.collector.may_have_run.set(true);
        }
        let mut open = self.collector.open(batch);
        open.retain(|_| unsent || self.router.may_move());
        if batch.attempt < self.last() {
            self.send_past(&open, batch);
        }
    }

    /// Sends `parts` to the first instances that aren't the one of `batch`.
    fn send_past(&mut self, parts: &[u32], batch: &Batch) {
        let past = |targets: Vec<Rc<Member>>| {
            let mut others = targets.into_iter();
            others.find(|member| member.name != batch.member.name)
        };
        let placed = parts.iter().filter_map(|index| {
            let service = &self.plan.snapshot.shards[*index as usize].service;
            Some((*index, past(self.router.targets(service))?))
        });
        let placed: Vec<_> = placed.collect();
        self.place(placed, batch.attempt + 1);
    }

    /// Sends parts that an instance refused to take on to the next owner; returns whether any went.
    fn retry_refused(&mut self) -> bool {
        let refused: Vec<(u32, u32)> = self
            .collector
            .partials
            .borrow()
            .iter()
            .flatten()
            .filter(|partial| is_refused_by_instance(partial) && partial.attempt < self.last())
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
    fn check(&mut self) {
        let now = Instant::now();
        let router = self.router;
        for (id, running) in self.running.iter_mut().enumerate() {
            let Some(running) = running.as_mut().filter(|running| running.check <= now) else {
                continue;
            };
            running.check = now + self.patience.wait(&self.plan.group);
            let member = running.batch.member.clone();
            if !router.fleet.is_local(&member) {
                self.futures.push(Box::pin(async move {
                    Event::Probed(id, router.is_alive(&member).await)
                }));
            }
        }
    }

    /// Gives up the batch of an instance that doesn't answer a probe.
    fn lose(&mut self, id: usize) {
        if let Some(running) = self.running[id].take() {
            tracing::info!("entry: instance {} is silent.", running.batch.member.name);
            self.move_on(&running.batch, false);
        }
    }

    /// Abandons the parts that nobody waits for any more.
    fn cancel(&mut self) {
        for running in self.running.iter().flatten() {
            let parts = self.collector.open(&running.batch);
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

enum Step {
    Event(Event),
    Done,
    Timer,
}

fn is_refused_by_instance(partial: &Partial) -> bool {
    partial.failure.as_ref().is_some_and(is_of_instance)
}

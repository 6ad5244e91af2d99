//! Replays a load pattern against the policies, event by event, without any I/O.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        VecDeque, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use policy::{
    admission, choice,
    choice::Candidate,
    completion,
    completion::{
        Deadlines,
        Progress,
        Step, //
    },
    hedge, refusal,
    retry_budget::{
        Bound,
        Budget,
        Purpose, //
    },
};
use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use relay::latency::Statistics;

use super::{
    load::{
        Load,
        CONNECTIONS,
        DEADLINE,
        INSTANCES,
        LENGTH,
        MIN_SHARE,
        OBJECTIVE,
        QUEUE,
        REPLICAS,
        SHARDS,
        SLOTS,
        WORK, //
    },
    outcome::{
        End,
        Outcome, //
    },
    state::{
        Member,
        Part,
        Query,
        Server,
        View, //
    },
};

/// Time taken off the objective for the way to the caller.
const MARGIN: Duration = Duration::from_millis(12);
/// Times that a refused caller comes back.
const RETURNS: u32 = 1;
/// Pause of an impatient caller.
const IMPATIENT: Duration = Duration::from_millis(5);

/// A policy that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    /// None is.
    Nothing,
    /// No query is refused before it is sent.
    Admission,
    /// The estimate of a wait leaves the service itself out.
    Service,
    /// No second server is asked.
    Hedge,
    /// Answers wait for all shards until the deadline.
    Patience,
}

impl Without {
    /// Every variant.
    pub const ALL: [Self; 5] = [
        Self::Nothing,
        Self::Admission,
        Self::Service,
        Self::Hedge,
        Self::Patience,
    ];
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { returns: u32 },
    Done { server: usize, part: usize },
    Hedge { part: usize },
    Look { query: usize },
}

struct Engine {
    load: Load,
    without: Without,
    base: Instant,
    now: Duration,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    servers: Vec<Server>,
    members: Vec<Member>,
    queries: Vec<Query>,
    parts: Vec<Part>,
    outcome: Outcome,
}

/// Replays a load.
pub fn run(load: Load, without: Without, seed: u64) -> Outcome {
    let base = Instant::now();
    let long_ago = base.checked_sub(Duration::from_secs(60)).unwrap_or(base);
    let member = || Member {
        views: vec![View::default(); SHARDS * REPLICAS],
        queues: vec![VecDeque::new(); SHARDS],
        budgets: vec![Budget::new(Bound::default(), INSTANCES, long_ago); SHARDS],
        latency: Statistics::new(OBJECTIVE),
    };
    let mut engine = Engine {
        load,
        without,
        base,
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        number: 0,
        servers: (0..SHARDS * REPLICAS).map(|_| Server::default()).collect(),
        members: (0..INSTANCES).map(|_| member()).collect(),
        queries: Vec::new(),
        parts: Vec::new(),
        outcome: Outcome::default(),
    };
    engine.arrivals();
    while let Some(Reverse((at, _, event))) = engine.events.pop() {
        engine.now = at;
        engine.take(event);
    }
    engine.outcome
}

impl Engine {
    fn at(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn arrivals(&mut self) {
        let mut at = Duration::ZERO;
        while at < LENGTH {
            self.at(at, Event::Arrive { returns: 0 });
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-draw.ln() / self.load.rate(at));
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive { returns } => self.arrive(returns),
            Event::Done { server, part } => self.done(server, part),
            Event::Hedge { part } => self.hedge(part),
            Event::Look { query } => self.look(query),
        }
    }

    fn arrive(&mut self, returns: u32) {
        let instance = self.rng.random_range(..INSTANCES);
        let now = self.instant();
        let objective = completion::answer_by(now, Duration::ZERO, OBJECTIVE, MARGIN);
        let least = (MIN_SHARE * SHARDS as f64).ceil() as usize;
        let left = objective - now;
        let waits: Vec<Duration> = (0..SHARDS)
            .map(|shard| self.wait(instance, shard))
            .collect();
        let admitted = admission::admit_query(waits.into_iter(), left, least);
        if let (Err(room), true) = (admitted, self.without != Without::Admission) {
            return self.refuse(room, returns);
        }
        let query = self.queries.len();
        self.queries.push(Query {
            instance,
            deadlines: Deadlines {
                objective,
                deadline: now + DEADLINE,
            },
            progress: Progress {
                answered: 0,
                failed: 0,
                total: SHARDS,
                min_shards: if self.without == Without::Patience {
                    SHARDS
                } else {
                    least
                },
            },
            is_over: false,
            arrived: self.now,
        });
        for shard in 0..SHARDS {
            let part = self.parts.len();
            self.parts.push(Part {
                query,
                shard,
                sent: self.now,
                servers: Vec::new(),
                is_done: false,
            });
            self.start(part);
        }
        self.look(query);
    }

    fn refuse(&mut self, room: Duration, returns: u32) {
        if returns >= RETURNS {
            return self.outcome.add(self.now, End::Refused);
        }
        let wait = match self.load.is_impatient() {
            true => IMPATIENT,
            false => refusal::retry_after(room, DEADLINE, self.rng.random()),
        };
        let event = Event::Arrive {
            returns: returns + 1,
        };
        self.at(self.now + wait, event);
    }

    fn candidates(&self, instance: usize, shard: usize) -> Vec<(usize, Candidate)> {
        let member = &self.members[instance];
        let all = (0..REPLICAS).filter(|replica| self.load.has(shard, *replica, self.now));
        let candidate = |replica: usize| {
            let server = shard * REPLICAS + replica;
            let view = &member.views[server];
            let candidate = Candidate {
                in_flight: view.in_flight,
                usable: CONNECTIONS,
                latency_us: view.slowness.current(self.instant()).max(0.1) * 1_000.0,
                slow_start_share: 1.0,
                failures: 0,
                same_zone: true,
                last_assigned: view.last,
            };
            (server, candidate)
        };
        all.map(candidate).collect()
    }

    /// Returns how long a request would wait until it is served, nothing where a server is free.
    fn wait(&self, instance: usize, shard: usize) -> Duration {
        let candidates = self.candidates(instance, shard);
        match candidates.iter().any(|(_, candidate)| candidate.is_free()) {
            true => Duration::ZERO,
            false => self.estimate(instance, shard, &candidates),
        }
    }

    fn estimate(
        &self,
        instance: usize,
        shard: usize,
        candidates: &[(usize, Candidate)],
    ) -> Duration {
        let member = &self.members[instance];
        let baseline = member.latency.baseline().as_secs_f64().max(1e-6);
        let rate = |candidate: &Candidate| {
            candidate.usable as f64 / (candidate.latency_us / 1_000.0 * baseline)
        };
        let rates = candidates.iter().map(|(_, candidate)| rate(candidate));
        let at_once = match self.without {
            Without::Service => 0,
            _ => candidates
                .iter()
                .map(|(_, candidate)| candidate.usable)
                .sum(),
        };
        admission::estimate_wait_at_rate(member.queues[shard].len(), at_once, rates.sum())
    }

    /// Sends a part, or lets it wait for a server.
    fn start(&mut self, part: usize) {
        let Part { query, shard, .. } = self.parts[part];
        let instance = self.queries[query].instance;
        let candidates = self.candidates(instance, shard);
        if let Some(server) = choice::best(candidates.iter().copied()) {
            let now = self.instant();
            self.members[instance].budgets[shard].count_initial(now);
            return self.send(part, server);
        }
        let left = self.queries[query]
            .deadlines
            .objective
            .saturating_duration_since(self.instant());
        match self.estimate(instance, shard, &candidates) > left {
            true => self.fail(part),
            false => self.members[instance].queues[shard].push_back(part),
        }
    }

    fn send(&mut self, part: usize, server: usize) {
        let Part { query, .. } = self.parts[part];
        let instance = self.queries[query].instance;
        self.outcome.sent += 1;
        self.number += 1;
        let view = &mut self.members[instance].views[server];
        view.in_flight += 1;
        view.last = self.number;
        let is_first = self.parts[part].servers.is_empty();
        self.parts[part].servers.push(server);
        if is_first {
            self.parts[part].sent = self.now;
            self.plan_hedge(part);
        }
        match () {
            () if self.servers[server].running < SLOTS => self.work(server, part),
            () if self.servers[server].queue.len() < QUEUE => {
                self.servers[server].queue.push_back(part)
            }
            () => self.shed(server, part),
        }
    }

    fn work(&mut self, server: usize, part: usize) {
        self.servers[server].running += 1;
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let at = self.load.finish(self.now, WORK.mul_f64(-draw.ln()));
        self.at(at, Event::Done { server, part });
    }

    fn shed(&mut self, server: usize, part: usize) {
        let Part { query, shard, .. } = self.parts[part];
        let instance = self.queries[query].instance;
        self.members[instance].views[server].in_flight -= 1;
        let now = self.instant();
        let others = self.candidates(instance, shard);
        let others = others.into_iter().filter(|(other, _)| *other != server);
        let may = self.parts[part].servers.len() < REPLICAS;
        match choice::best(others) {
            Some(other)
                if may && self.members[instance].budgets[shard].take(now, Purpose::Retry) =>
            {
                self.send(part, other);
            }
            _ if self.parts[part].servers.len() < REPLICAS => self.fail(part),
            _ => {}
        }
    }

    fn plan_hedge(&mut self, part: usize) {
        let Part { query, .. } = self.parts[part];
        let Query {
            instance,
            deadlines,
            ..
        } = self.queries[query];
        let latency = &self.members[instance].latency;
        let at = hedge::due_at(
            self.instant(),
            latency.hedge_delay(),
            latency.baseline(),
            deadlines.objective,
        );
        if self.without != Without::Hedge {
            self.at(at - self.base, Event::Hedge { part });
        }
    }

    fn hedge(&mut self, part: usize) {
        let Part {
            query,
            shard,
            is_done,
            ..
        } = self.parts[part];
        let Query {
            instance, is_over, ..
        } = self.queries[query];
        let now = self.instant();
        let tried = self.parts[part].servers.clone();
        let others = self.candidates(instance, shard);
        let others = others
            .into_iter()
            .filter(|(server, _)| !tried.contains(server));
        if is_done || is_over || tried.len() >= REPLICAS {
            return;
        }
        match choice::best(others) {
            Some(server) if self.members[instance].budgets[shard].take(now, Purpose::Hedge) => {
                self.send(part, server);
            }
            _ => {}
        }
    }

    fn done(&mut self, server: usize, part: usize) {
        self.servers[server].running -= 1;
        self.next_of(server);
        let Part {
            query,
            shard,
            sent,
            is_done,
            ..
        } = self.parts[part];
        let instance = self.queries[query].instance;
        let now = self.instant();
        let latency = self.now - sent;
        let member = &mut self.members[instance];
        let baseline = member.latency.baseline().as_secs_f64().max(1e-6);
        member.views[server].in_flight -= 1;
        member.views[server]
            .slowness
            .record(now, latency.as_secs_f64() / baseline);
        if !is_done {
            member.latency.record(now, latency);
            self.parts[part].is_done = true;
            self.queries[query].progress.answered += 1;
            self.look(query);
        }
        self.next_waiting(instance, shard);
    }

    /// Lets a server go on with what waits there and isn't too late.
    fn next_of(&mut self, server: usize) {
        while let Some(part) = self.servers[server].queue.pop_front() {
            let query = self.parts[part].query;
            if self.instant() < self.queries[query].deadlines.deadline {
                return self.work(server, part);
            }
            let instance = self.queries[query].instance;
            self.members[instance].views[server].in_flight -= 1;
        }
    }

    fn next_waiting(&mut self, instance: usize, shard: usize) {
        while let Some(part) = self.members[instance].queues[shard].pop_front() {
            if !self.queries[self.parts[part].query].is_over {
                return self.start(part);
            }
        }
    }

    fn fail(&mut self, part: usize) {
        let query = self.parts[part].query;
        self.parts[part].is_done = true;
        self.queries[query].progress.failed += 1;
        self.at(self.now, Event::Look { query });
    }

    /// Decides whether a query goes on.
    fn look(&mut self, query: usize) {
        let now = self.instant();
        let Query {
            deadlines,
            progress,
            is_over,
            arrived,
            ..
        } = self.queries[query];
        if is_over {
            return;
        }
        let end = match completion::next_step(now, deadlines, progress) {
            Step::Wait(until) => return self.at(until - self.base, Event::Look { query }),
            Step::GiveUp => End::Failed,
            Step::Answer => End::Answered {
                in_time: self.now - arrived <= OBJECTIVE,
                share: progress.answered as f64 / SHARDS as f64,
            },
        };
        self.queries[query].is_over = true;
        self.outcome.add(arrived, end);
    }
}

//! Discrete-event simulation of a load pattern against the policies, without I/O.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{
        Duration,
        Instant, //
    },
};

use policy::{
    admission::{
        self,
        Throughput, //
    },
    choice,
    choice::Candidate,
    completion,
    completion::{
        Deadlines,
        Progress,
        Step, //
    },
    concurrency, hedge, refusal,
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
        DURATION,
        INSTANCES,
        MEAN_SERVICE_TIME, //
        MIN_COVERAGE,
        OBJECTIVE,
        QUEUE_CAPACITY,
        REPLICAS,
        SHARDS,
        SLOTS,
    },
    outcome::{
        End,
        Outcome, //
    },
    state::{
        Instance,
        Part,
        Query,
        Queue,
        Server,
        View, //
    },
};

/// Time reserved out of the objective for the network delay to the caller.
const NETWORK_MARGIN: Duration = Duration::from_millis(12);
/// Retries of a refused caller.
const MAX_CALLER_RETRIES: u32 = 1;
/// Retry delay of a caller that ignores the suggested delay.
const IMMEDIATE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The policy that is left out of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Without {
    /// No policy is left out.
    Nothing,
    /// No query is refused before it is sent.
    Admission,
    /// The estimated wait excludes the service time of the request itself.
    Service,
    /// No sub-request is hedged.
    Hedge,
    /// A query waits for all shards until its deadline.
    Patience,
    /// Sub-requests are sent to a server on each connection, however long its replies take.
    Window,
}

impl Without {
    /// Every variant.
    pub const ALL: [Self; 6] = [
        Self::Nothing,
        Self::Admission,
        Self::Service,
        Self::Hedge,
        Self::Patience,
        Self::Window,
    ];
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { retries: u32 },
    Done { server: usize, part: usize },
    Hedge { part: usize },
    Check { query: usize },
}

struct Engine {
    load: Load,
    without: Without,
    started_at: Instant,
    now: Duration,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    servers: Vec<Server>,
    instances: Vec<Instance>,
    queries: Vec<Query>,
    parts: Vec<Part>,
    outcome: Outcome,
}

/// Replays a load pattern; the same seed gives the same outcome.
pub fn run(load: Load, without: Without, seed: u64) -> Outcome {
    let started_at = Instant::now();
    // Long enough ago that the whole retry budget is available from the start.
    let budget_started_at = started_at
        .checked_sub(Duration::from_secs(60))
        .unwrap_or(started_at);
    let new_instance = || Instance {
        views: vec![View::default(); SHARDS * REPLICAS],
        queues: vec![Queue::default(); SHARDS],
        retry_budgets: vec![Budget::new(Bound::default(), INSTANCES, budget_started_at); SHARDS],
        latencies: Statistics::new(OBJECTIVE),
    };
    let mut engine = Engine {
        load,
        without,
        started_at,
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        sequence: 0,
        servers: (0..SHARDS * REPLICAS).map(|_| Server::default()).collect(),
        instances: (0..INSTANCES).map(|_| new_instance()).collect(),
        queries: Vec::new(),
        parts: Vec::new(),
        outcome: Outcome::default(),
    };
    engine.schedule_arrivals();
    while let Some(Reverse((at, _, event))) = engine.events.pop() {
        engine.now = at;
        engine.handle(event);
    }
    engine.outcome
}

impl Engine {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn instant(&self) -> Instant {
        self.started_at + self.now
    }

    fn schedule_arrivals(&mut self) {
        let mut at = Duration::ZERO;
        while at < DURATION {
            self.schedule(at, Event::Arrive { retries: 0 });
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-draw.ln() / self.load.rate(at));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { retries } => self.on_arrival(retries),
            Event::Done { server, part } => self.on_completion(server, part),
            Event::Hedge { part } => self.send_hedge(part),
            Event::Check { query } => self.check(query),
        }
    }

    fn on_arrival(&mut self, retries: u32) {
        let instance = self.rng.random_range(..INSTANCES);
        let now = self.instant();
        let objective = completion::answer_by(now, Duration::ZERO, OBJECTIVE, NETWORK_MARGIN);
        let min_shards = (MIN_COVERAGE * SHARDS as f64).ceil() as usize;
        let remaining = objective - now;
        let delays: Vec<Duration> = (0..SHARDS)
            .map(|shard| self.service_delay(instance, shard))
            .collect();
        let admitted = admission::admit_query(delays.into_iter(), remaining, min_shards);
        if let (Err(time_to_capacity), true) = (admitted, self.without != Without::Admission) {
            return self.refuse(time_to_capacity, retries);
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
                    min_shards
                },
            },
            is_over: false,
            arrived_at: self.now,
        });
        for shard in 0..SHARDS {
            let part = self.parts.len();
            self.parts.push(Part {
                query,
                shard,
                sent_at: self.now,
                servers: Vec::new(),
                is_done: false,
            });
            self.dispatch(part);
        }
        self.check(query);
    }

    fn refuse(&mut self, time_to_capacity: Duration, retries: u32) {
        if retries >= MAX_CALLER_RETRIES {
            return self.outcome.record(self.now, End::Refused);
        }
        let wait = match self.load.retries_immediately() {
            true => IMMEDIATE_RETRY_DELAY,
            false => refusal::retry_after(time_to_capacity, DEADLINE, self.rng.random()),
        };
        let event = Event::Arrive {
            retries: retries + 1,
        };
        self.schedule(self.now + wait, event);
    }

    fn candidates(&self, instance: usize, shard: usize) -> Vec<(usize, Candidate)> {
        let state = &self.instances[instance];
        let available =
            (0..REPLICAS).filter(|replica| self.load.is_available(shard, *replica, self.now));
        let candidate = |replica: usize| {
            let server = shard * REPLICAS + replica;
            let view = &state.views[server];
            let candidate = Candidate {
                in_flight: view.in_flight,
                usable: match self.without {
                    Without::Window => CONNECTIONS,
                    _ => view.window.usable(CONNECTIONS),
                },
                latency_us: view.slowness.current(self.instant()).max(0.1) * 1_000.0,
                slow_start_share: 1.0,
                failures: 0,
                zone_cost: 0.0,
                last_assigned: view.last_sequence,
            };
            (server, candidate)
        };
        available.map(candidate).collect()
    }

    /// Returns the estimated time until a request has been served, zero if a server is free.
    fn service_delay(&self, instance: usize, shard: usize) -> Duration {
        let candidates = self.candidates(instance, shard);
        match candidates.iter().any(|(_, candidate)| candidate.is_free()) {
            true => Duration::ZERO,
            false => self.estimate_service_delay(instance, shard, &candidates),
        }
    }

    fn estimate_service_delay(
        &self,
        instance: usize,
        shard: usize,
        candidates: &[(usize, Candidate)],
    ) -> Duration {
        let state = &self.instances[instance];
        let baseline = state.latencies.baseline().as_secs_f64().max(1e-6);
        let rate = |candidate: &Candidate| {
            candidate.usable as f64 / (candidate.latency_us / 1_000.0 * baseline)
        };
        let rates = candidates.iter().map(|(_, candidate)| rate(candidate));
        let concurrency = match self.without {
            Without::Service => 0,
            _ => candidates
                .iter()
                .map(|(_, candidate)| candidate.usable)
                .sum(),
        };
        let per_s = rates.sum();
        let throughput = Throughput {
            slots: concurrency,
            by_slots_per_s: per_s,
            allowed_per_s: per_s,
        };
        admission::estimate_wait_at_rate(state.queues[shard].in_time(), throughput)
    }

    /// Sends a part to a free server. If none is free, queues it, behind all others if it would miss the objective.
    fn dispatch(&mut self, part: usize) {
        let Part { query, shard, .. } = self.parts[part];
        let instance = self.queries[query].instance;
        let candidates = self.candidates(instance, shard);
        if let Some(server) = choice::best(candidates.iter().copied()) {
            let now = self.instant();
            self.instances[instance].retry_budgets[shard].count_initial(now);
            return self.send(part, server);
        }
        let remaining = self.queries[query]
            .deadlines
            .objective
            .saturating_duration_since(self.instant());
        let is_late = self.estimate_service_delay(instance, shard, &candidates) > remaining;
        self.instances[instance].queues[shard].push(part, is_late);
    }

    fn send(&mut self, part: usize, server: usize) {
        let Part { query, .. } = self.parts[part];
        let instance = self.queries[query].instance;
        self.outcome.subrequests += 1;
        self.sequence += 1;
        let view = &mut self.instances[instance].views[server];
        view.in_flight += 1;
        view.last_sequence = self.sequence;
        let is_initial = self.parts[part].servers.is_empty();
        self.parts[part].servers.push(server);
        if is_initial {
            self.parts[part].sent_at = self.now;
            self.schedule_hedge(part);
        }
        match () {
            () if self.servers[server].running < SLOTS => self.run_part(server, part),
            () if self.servers[server].queue.len() < QUEUE_CAPACITY => {
                self.servers[server].queue.push_back(part)
            }
            () => self.on_shed(server, part),
        }
    }

    fn run_part(&mut self, server: usize, part: usize) {
        self.servers[server].running += 1;
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let completed_at = self
            .load
            .completed_at(self.now, MEAN_SERVICE_TIME.mul_f64(-draw.ln()));
        self.schedule(completed_at, Event::Done { server, part });
    }

    fn on_shed(&mut self, server: usize, part: usize) {
        let Part { query, shard, .. } = self.parts[part];
        let instance = self.queries[query].instance;
        self.instances[instance].views[server].in_flight -= 1;
        let now = self.instant();
        let others = self.candidates(instance, shard);
        let others = others.into_iter().filter(|(other, _)| *other != server);
        let has_untried_server = self.parts[part].servers.len() < REPLICAS;
        match choice::best(others) {
            Some(other)
                if has_untried_server
                    && self.instances[instance].retry_budgets[shard].take(now, Purpose::Retry) =>
            {
                self.send(part, other);
            }
            _ if self.parts[part].servers.len() < REPLICAS => self.fail_part(part),
            _ => {}
        }
    }

    fn schedule_hedge(&mut self, part: usize) {
        let Part { query, .. } = self.parts[part];
        let Query {
            instance,
            deadlines,
            ..
        } = self.queries[query];
        let latencies = &self.instances[instance].latencies;
        let hedge_at = hedge::due_at(
            self.instant(),
            latencies.hedge_delay(),
            latencies.baseline(),
            deadlines.objective,
        );
        if self.without != Without::Hedge {
            self.schedule(hedge_at - self.started_at, Event::Hedge { part });
        }
    }

    fn send_hedge(&mut self, part: usize) {
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
            Some(server)
                if self.instances[instance].retry_budgets[shard].take(now, Purpose::Hedge) =>
            {
                self.send(part, server);
            }
            _ => {}
        }
    }

    fn on_completion(&mut self, server: usize, part: usize) {
        self.servers[server].running -= 1;
        self.run_next_queued(server);
        let Part {
            query,
            shard,
            sent_at,
            is_done,
            ..
        } = self.parts[part];
        let instance = self.queries[query].instance;
        let now = self.instant();
        let latency = self.now - sent_at;
        let state = &mut self.instances[instance];
        let baseline = state.latencies.baseline().as_secs_f64().max(1e-6);
        let view = &mut state.views[server];
        let was_full = view.in_flight >= view.window.usable(CONNECTIONS);
        view.in_flight -= 1;
        view.slowness.record(now, latency.as_secs_f64() / baseline);
        match concurrency::is_late(latency, OBJECTIVE) {
            true => view.window.record_late(now, CONNECTIONS),
            false if was_full => view.window.record_in_time(CONNECTIONS),
            false => {}
        }
        if !is_done {
            state.latencies.record(now, latency);
            self.parts[part].is_done = true;
            self.queries[query].progress.answered += 1;
            self.check(query);
        }
        self.dispatch_next_queued(instance, shard);
    }

    /// Starts the next part in a server's queue, discarding those whose deadline has passed.
    fn run_next_queued(&mut self, server: usize) {
        while let Some(part) = self.servers[server].queue.pop_front() {
            let query = self.parts[part].query;
            if self.instant() < self.queries[query].deadlines.deadline {
                return self.run_part(server, part);
            }
            let instance = self.queries[query].instance;
            self.instances[instance].views[server].in_flight -= 1;
        }
    }

    fn dispatch_next_queued(&mut self, instance: usize, shard: usize) {
        while let Some(part) = self.instances[instance].queues[shard].pop() {
            if !self.queries[self.parts[part].query].is_over {
                return self.dispatch(part);
            }
        }
    }

    fn fail_part(&mut self, part: usize) {
        let query = self.parts[part].query;
        self.parts[part].is_done = true;
        self.queries[query].progress.failed += 1;
        self.schedule(self.now, Event::Check { query });
    }

    /// Ends a query, or schedules the next check.
    fn check(&mut self, query: usize) {
        let now = self.instant();
        let Query {
            deadlines,
            progress,
            is_over,
            arrived_at,
            ..
        } = self.queries[query];
        if is_over {
            return;
        }
        let end = match completion::next_step(now, deadlines, progress) {
            Step::Wait(until) => {
                return self.schedule(until - self.started_at, Event::Check { query })
            }
            Step::GiveUp => End::Failed,
            Step::Answer => End::Answered {
                in_time: self.now - arrived_at <= OBJECTIVE,
                coverage: progress.answered as f64 / SHARDS as f64,
            },
        };
        self.queries[query].is_over = true;
        self.outcome.record(arrived_at, end);
    }
}

//! The seeded generator of traces.

use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use rand_distr::{
    weighted::WeightedIndex,
    Distribution,
    Exp, //
};

use super::{
    profile::{
        Mix,
        Phase,
        Sort,
        User, //
    },
    Arrival,
    Header,
    Retry,
    Trace,
    FORMAT, //
};

/// Mean time between bursts, in seconds.
const CALM_SECONDS: f64 = 4.0;
/// Mean length of a burst, in seconds.
const BURST_SECONDS: f64 = 0.5;
/// Arrivals in a burst, relative to the time between bursts.
const BURST_FACTOR: f64 = 3.0;
/// Number of callers.
const CALLERS: u32 = 200;
/// Share of the requests with a key that are sent twice at once.
const RETRY_AT_ONCE: f64 = 0.05;
/// Share of the requests with a key that are sent again after a failure.
const RETRY_ON_FAILURE: f64 = 0.5;
/// Merged hits that a caller asks for.
const TOP: u32 = 10;

/// What to generate.
#[derive(Debug, Clone)]
pub struct Plan {
    /// User whose workload it is.
    pub user: User,
    /// Length, in seconds.
    pub seconds: u64,
    /// Mean arrivals a second in an ordinary phase.
    pub rate: f64,
    /// Seed; the same plan gives the same trace.
    pub seed: u64,
    /// Phases, in order of time.
    pub phases: Vec<Phase>,
}

impl Plan {
    /// Plans one ordinary phase.
    pub fn new(user: User, seconds: u64, rate: f64, seed: u64) -> Self {
        Self {
            user,
            seconds,
            rate,
            seed,
            phases: vec![Phase {
                mix: Mix::Ordinary,
                share: 1.0,
            }],
        }
    }
}

/// Generates a trace: Poisson arrivals with bursts, phase by phase.
pub fn run(plan: &Plan) -> Trace {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let whole: f64 = plan.phases.iter().map(|phase| phase.share).sum();
    let mut arrivals = Vec::new();
    let mut start = 0.0;
    for phase in &plan.phases {
        let end = start + plan.seconds as f64 * phase.share / whole;
        let times = times(&mut rng, plan.rate * phase.mix.factor(), start, end);
        fill(&mut rng, plan.user, phase.mix, &times, &mut arrivals);
        start = end;
    }
    Trace {
        header: header(plan),
        arrivals,
    }
}

fn header(plan: &Plan) -> Header {
    let phases: Vec<String> = plan.phases.iter().map(Phase::to_string).collect();
    Header {
        format: FORMAT,
        user: plan.user,
        seed: plan.seed,
        seconds: plan.seconds,
        rate: plan.rate,
        mix: phases.join(","),
    }
}

/// Draws times of arrival between `start` and `end`, in seconds.
fn times(rng: &mut StdRng, rate: f64, start: f64, end: f64) -> Vec<f64> {
    let mean = (CALM_SECONDS + BURST_SECONDS * BURST_FACTOR) / (CALM_SECONDS + BURST_SECONDS);
    let calm = rate / mean;
    let mut times = Vec::new();
    let mut at = start;
    let mut bursts = false;
    while at < end {
        let (length, rate) = match bursts {
            true => (BURST_SECONDS, calm * BURST_FACTOR),
            false => (CALM_SECONDS, calm),
        };
        let until = end.min(at + exponential(rng, 1.0 / length));
        poisson(rng, rate, at, until, &mut times);
        at = until;
        bursts = !bursts;
    }
    times
}

fn poisson(rng: &mut StdRng, rate: f64, start: f64, end: f64, times: &mut Vec<f64>) {
    let mut at = start + exponential(rng, rate);
    while at < end {
        times.push(at);
        at += exponential(rng, rate);
    }
}

fn exponential(rng: &mut StdRng, rate: f64) -> f64 {
    Exp::new(rate).map_or(f64::INFINITY, |law| law.sample(rng))
}

fn fill(rng: &mut StdRng, user: User, mix: Mix, times: &[f64], arrivals: &mut Vec<Arrival>) {
    let sorts = user.sorts();
    let weights = sorts.iter().map(|sort| sort.weight(mix));
    let law = WeightedIndex::new(weights).expect("weights are positive constants");
    for at in times {
        let sort = &sorts[law.sample(rng)];
        arrivals.push(arrival(rng, sort, *at));
    }
}

fn arrival(rng: &mut StdRng, sort: &Sort, at: f64) -> Arrival {
    Arrival {
        at_us: (at * 1e6) as u64,
        caller: rng.random_range(0..CALLERS),
        kind: sort.kind,
        target: sort.target.into(),
        class: sort.class,
        timeout_ms: sort.timeout_ms,
        idempotent: sort.idempotent,
        key: (!sort.idempotent).then(|| u64::from(rng.random::<u32>())),
        top: rng.random_bool(sort.merged).then_some(TOP),
        retry: retry(rng, sort.idempotent),
    }
}

fn retry(rng: &mut StdRng, idempotent: bool) -> Retry {
    match rng.random::<f64>() {
        _ if idempotent => Retry::Never,
        draw if draw < RETRY_AT_ONCE => Retry::AtOnce,
        draw if draw < RETRY_AT_ONCE + RETRY_ON_FAILURE => Retry::OnFailure,
        _ => Retry::Never,
    }
}

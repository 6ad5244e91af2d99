//! Generates traces from a seed.

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
        Template,
        User, //
    },
    Arrival,
    Header,
    Retry,
    Trace,
    FORMAT, //
};

/// Mean time between bursts, in seconds.
const MEAN_CALM_SECONDS: f64 = 4.0;
/// Mean length of a burst, in seconds.
const MEAN_BURST_SECONDS: f64 = 0.5;
/// Arrival rate in a burst, relative to the rate between bursts.
const BURST_RATE_FACTOR: f64 = 3.0;
/// Number of callers.
const CALLER_COUNT: u32 = 200;
/// Share of the requests with a key that are sent twice at the same time.
const IMMEDIATE_RETRY_SHARE: f64 = 0.05;
/// Share of the requests with a key that are sent again after a failure.
const FAILURE_RETRY_SHARE: f64 = 0.5;
/// Number of merged hits that a caller requests, if it requests merged hits.
const MERGED_HITS: u32 = 10;

/// What to generate.
#[derive(Debug, Clone)]
pub struct Plan {
    /// User whose workload it is.
    pub user: User,
    /// Length, in seconds.
    pub seconds: u64,
    /// Mean arrivals per second in an ordinary phase.
    pub rate: f64,
    /// Seed; the same plan gives the same trace.
    pub seed: u64,
    /// Phases, in order of time.
    pub phases: Vec<Phase>,
}

impl Plan {
    /// Plans a trace of one ordinary phase.
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
    let total_share: f64 = plan.phases.iter().map(|phase| phase.share).sum();
    let mut arrivals = Vec::new();
    let mut start = 0.0;
    for phase in &plan.phases {
        let end = start + plan.seconds as f64 * phase.share / total_share;
        let times = arrival_times(&mut rng, plan.rate * phase.mix.factor(), start, end);
        append_arrivals(&mut rng, plan.user, phase.mix, &times, &mut arrivals);
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

/// Draws arrival times between `start` and `end`, in seconds.
fn arrival_times(rng: &mut StdRng, rate: f64, start: f64, end: f64) -> Vec<f64> {
    let mean_factor = (MEAN_CALM_SECONDS + MEAN_BURST_SECONDS * BURST_RATE_FACTOR)
        / (MEAN_CALM_SECONDS + MEAN_BURST_SECONDS);
    let calm_rate = rate / mean_factor;
    let mut times = Vec::new();
    let mut at = start;
    let mut is_burst = false;
    while at < end {
        let (length, rate) = match is_burst {
            true => (MEAN_BURST_SECONDS, calm_rate * BURST_RATE_FACTOR),
            false => (MEAN_CALM_SECONDS, calm_rate),
        };
        let until = end.min(at + draw_exponential(rng, 1.0 / length));
        append_poisson(rng, rate, at, until, &mut times);
        at = until;
        is_burst = !is_burst;
    }
    times
}

fn append_poisson(rng: &mut StdRng, rate: f64, start: f64, end: f64, times: &mut Vec<f64>) {
    let mut at = start + draw_exponential(rng, rate);
    while at < end {
        times.push(at);
        at += draw_exponential(rng, rate);
    }
}

fn draw_exponential(rng: &mut StdRng, rate: f64) -> f64 {
    Exp::new(rate).map_or(f64::INFINITY, |distribution| distribution.sample(rng))
}

fn append_arrivals(
    rng: &mut StdRng,
    user: User,
    mix: Mix,
    times: &[f64],
    arrivals: &mut Vec<Arrival>,
) {
    let templates = user.templates();
    let weights = templates.iter().map(|template| template.weight(mix));
    let distribution = WeightedIndex::new(weights).expect("weights are positive constants");
    for at in times {
        let template = &templates[distribution.sample(rng)];
        arrivals.push(draw_arrival(rng, template, *at));
    }
}

fn draw_arrival(rng: &mut StdRng, template: &Template, at: f64) -> Arrival {
    Arrival {
        at_us: (at * 1e6) as u64,
        caller: rng.random_range(0..CALLER_COUNT),
        kind: template.kind,
        target: template.target.into(),
        class: template.class,
        timeout_ms: template.timeout_ms,
        idempotent: template.idempotent,
        key: (!template.idempotent).then(|| u64::from(rng.random::<u32>())),
        top: rng
            .random_bool(template.merged_share)
            .then_some(MERGED_HITS),
        retry: draw_retry(rng, template.idempotent),
    }
}

fn draw_retry(rng: &mut StdRng, idempotent: bool) -> Retry {
    match rng.random::<f64>() {
        _ if idempotent => Retry::Never,
        draw if draw < IMMEDIATE_RETRY_SHARE => Retry::AtOnce,
        draw if draw < IMMEDIATE_RETRY_SHARE + FAILURE_RETRY_SHARE => Retry::OnFailure,
        _ => Retry::Never,
    }
}

//! When a query ends, who gathers it, and when a refused one comes back.

use std::time::{
    Duration,
    Instant, //
};

use policy::{
    admission,
    delegate::{
        self,
        Plan, //
    },
    hedge,
    lag::Lag,
    patience::{
        self,
        Progress,
        Step,
        Times, //
    },
    refusal,
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

const OBJECTIVE: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(600);
const MARGIN: Duration = Duration::from_millis(12);
const SHARDS: usize = 20;
const LEAST: usize = 18;

fn times(arrived: Instant) -> Times {
    Times {
        objective: patience::leave_by(arrived, Duration::ZERO, OBJECTIVE, MARGIN),
        deadline: arrived + DEADLINE,
    }
}

fn progress(answered: usize, failed: usize) -> Progress {
    Progress {
        answered,
        failed,
        total: SHARDS,
        least: LEAST,
    }
}

/// Ends a query whose shards answer at the given times; returns when, and with how many shards.
fn play(arrived: Instant, mut answers: Vec<Duration>) -> (Duration, usize) {
    answers.sort();
    let mut now = arrived;
    loop {
        let answered = answers.iter().filter(|at| arrived + **at <= now).count();
        match patience::step(now, times(arrived), progress(answered, 0)) {
            Step::Answer => return (now - arrived, answered),
            Step::GiveUp => return (now - arrived, 0),
            Step::Wait(until) => {
                let next = answers.get(answered).map(|at| arrived + *at);
                now = next.map_or(until, |next| next.min(until)).max(now);
            }
        }
    }
}

/// Servers that pause for 120 ms in each 3 s, one of them for each shard.
fn paused_shards(random: &mut SmallRng) -> Vec<Duration> {
    let answer = |_| {
        let work = Duration::from_millis(random.random_range(6..20));
        match random.random_bool(0.04) {
            true => work + Duration::from_millis(random.random_range(0..120)),
            false => work,
        }
    };
    (0..SHARDS).map(answer).collect()
}

#[test]
fn pauses_cost_a_shard_and_not_the_objective() {
    let arrived = Instant::now();
    let mut random = SmallRng::seed_from_u64(7);
    let (mut in_time, mut shards) = (0, 0);
    const QUERIES: usize = 1_000;
    for _ in 0..QUERIES {
        let (took, answered) = play(arrived, paused_shards(&mut random));
        in_time += usize::from(took <= OBJECTIVE - MARGIN);
        shards += answered;
    }
    // Waiting for every shard misses the objective in a sixth of the queries.
    assert!(in_time >= QUERIES * 99 / 100, "{in_time}");
    assert!(shards >= QUERIES * SHARDS * 98 / 100, "{shards}");
}

#[test]
fn a_query_ends_as_soon_as_its_end_is_known() {
    let arrived = Instant::now();
    let early = arrived + Duration::from_millis(5);
    let step = |answered, failed| patience::step(early, times(arrived), progress(answered, failed));
    assert_eq!(step(20, 0), Step::Answer);
    assert_eq!(step(19, 1), Step::Answer);
    assert_eq!(step(2, 3), Step::GiveUp);
    assert!(matches!(step(17, 2), Step::Wait(_)));
}

#[test]
fn a_late_answer_leaves_as_soon_as_it_may_and_one_that_may_not_is_given_up_at_the_deadline() {
    let arrived = Instant::now();
    let late = arrived + OBJECTIVE * 2;
    let step = |now, answered| patience::step(now, times(arrived), progress(answered, 0));
    assert_eq!(step(late, LEAST), Step::Answer);
    assert_eq!(
        step(late, LEAST - 1),
        Step::Wait(arrived + DEADLINE),
        "late answers are of some use"
    );
    assert_eq!(step(arrived + DEADLINE, LEAST - 1), Step::GiveUp);
}

#[test]
fn the_margin_leaves_half_of_a_short_objective() {
    let arrived = Instant::now();
    let short = Duration::from_millis(10);
    assert_eq!(
        patience::leave_by(arrived, Duration::ZERO, short, MARGIN),
        arrived + short / 2
    );
}

fn fleet(large: usize, small: usize) -> Vec<f64> {
    let mut powers = vec![0.5; large];
    powers.extend(vec![0.12; small]);
    powers
}

#[test]
fn a_few_large_instances_gather_for_many_small_ones() {
    let plan = delegate::plan(&fleet(8, 59));
    assert!(plan.gathers(0.5) && !plan.gathers(0.12));
    insta::assert_debug_snapshot!([plan.part(0.5, 67), plan.part(0.12, 67)], @"
    [
        Part {
            share: 0.8,
            among: 8,
        },
        Part {
            share: 0.2,
            among: 59,
        },
    ]
    ");
}

#[test]
fn equal_instances_and_too_few_large_ones_gather_for_themselves() {
    assert_eq!(delegate::plan(&fleet(7, 0)), Plan::Everyone);
    assert_eq!(delegate::plan(&fleet(2, 40)), Plan::Everyone);
    assert_eq!(delegate::plan(&fleet(3, 300)), Plan::Everyone);
    assert_eq!(delegate::plan(&[]), Plan::Everyone);
}

#[test]
fn callers_refused_together_come_back_apart_and_never_at_once() {
    let room = Duration::from_secs(1);
    let left = Duration::from_secs(10);
    let wait = |spread| refusal::retry_after(room, left, spread);
    assert_eq!(wait(0.0), room);
    assert!(wait(0.5) > wait(0.0) && wait(1.0) > wait(0.5));
    assert!(refusal::retry_after(Duration::ZERO, left, 0.0) > Duration::ZERO);
}

#[test]
fn a_caller_is_told_a_wait_that_leaves_it_time_to_be_served() {
    let left = Duration::from_millis(300);
    let wait = refusal::retry_after(Duration::from_secs(5), left, 1.0);
    assert!(wait <= left / 3, "{wait:?}");
}

#[test]
fn a_short_query_behind_long_ones_is_hedged_while_that_is_of_use() {
    let sent = Instant::now();
    let ms = Duration::from_millis;
    let wait = |slow, usual, answer_by| {
        let at = hedge::at(sent, ms(slow), ms(usual), sent + ms(answer_by));
        (at - sent).as_millis()
    };
    // Alone, the slow latency decides.
    assert_eq!(wait(15, 7, 48), 15);
    // Behind long ones, the time left does.
    assert_eq!(wait(45, 10, 48), 28);
    // A server that is slow for everything isn't hedged before it is slow.
    assert_eq!(wait(90, 30, 48), 45);
    assert_eq!(wait(90, 30, 0), 45);
}

/// Twice the load that the shards take, for two seconds: shards serve `SLOTS` at a time, and each
/// query needs one answer of each of them within the objective.
///
/// Returns the queries answered in time, with and without the decision to refuse early.
fn crowd(refuses: bool) -> usize {
    const SLOTS: usize = 4;
    const WORK: Duration = Duration::from_millis(20);
    const LEFT: Duration = Duration::from_millis(90);
    let every = WORK / (2 * SLOTS as u32);
    let mut free = [[Duration::ZERO; SLOTS]; SHARDS];
    let mut in_time = 0;
    for number in 0..800_u32 {
        let now = every * number;
        let next = |slots: &[Duration; SLOTS]| slots.iter().min().copied().unwrap_or_default();
        let waits = free
            .iter()
            .map(|slots| next(slots).saturating_sub(now) + WORK);
        if refuses && admission::query(waits, LEFT, LEAST).is_err() {
            continue;
        }
        let mut answered = 0;
        for slots in &mut free {
            let slot = slots.iter_mut().min().expect("a slot");
            *slot = (*slot).max(now) + WORK;
            answered += usize::from(*slot <= now + LEFT);
        }
        in_time += usize::from(answered >= LEAST);
    }
    in_time
}

#[test]
fn at_twice_the_capacity_refusing_early_keeps_most_of_it() {
    let (with, without) = (crowd(true), crowd(false));
    // Half of 800 queries is what the shards can serve.
    assert!(with >= 360, "{with} in time");
    assert!(without < 100, "{without} in time");
}

#[test]
fn a_query_is_refused_until_enough_shards_have_room() {
    let ms = Duration::from_millis;
    let waits = || [0, 0, 5, 200].into_iter().map(ms);
    assert_eq!(admission::query(waits(), ms(90), 3), Ok(()));
    assert_eq!(admission::query(waits(), ms(90), 4), Err(ms(110)));
    assert_eq!(admission::query(waits(), ms(90), 5), Err(ms(90)));
}

#[test]
fn a_shard_that_has_lost_a_server_is_known_to_serve_half() {
    // Three go first, each takes 20 ms, and its own 20 ms come on top of the wait.
    let two = admission::until_served(3, 4, 4.0 / 0.020);
    let one = admission::until_served(3, 2, 2.0 / 0.020);
    assert_eq!((two.as_millis(), one.as_millis()), (40, 60));
    assert!(admission::until_served(0, 1, 0.0) > Duration::from_secs(60));
    assert!(admission::until_served(0, 1, f64::NAN) > Duration::from_secs(60));
}

/// Load pattern: an instance with a tenth of a core passes queries on; now and then its processor time is
/// used up, and what comes back waits for tens of milliseconds.
#[test]
fn the_lag_of_a_hop_covers_most_hops_and_follows_a_change() {
    let ms = Duration::from_millis;
    let mut lag = Lag::default();
    assert_eq!(lag.usual(), Duration::ZERO);
    let usual = |number: u32| {
        if number.is_multiple_of(20) {
            ms(30)
        } else {
            ms(2)
        }
    };
    let mut covered = 0;
    for number in 1..=200 {
        covered += u32::from(usual(number) <= lag.usual());
        lag.record(usual(number));
    }
    assert!(covered >= 180, "{covered} of 200");
    assert!(lag.usual() < ms(20), "{:?}", lag.usual());
    (0..40).for_each(|_| lag.record(ms(1)));
    assert!(lag.usual() < ms(3), "{:?}", lag.usual());
}

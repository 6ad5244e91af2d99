//! Tests of when a query ends, which instances gather it, and when a refused one is retried.

use std::time::{
    Duration,
    Instant, //
};

use policy::{
    admission::{
        self,
        Throughput, //
    },
    completion::{
        self,
        Deadlines,
        Progress,
        Step, //
    },
    delegation::{
        self,
        Plan, //
    },
    hedge,
    hop::Overhead,
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
const MIN_SHARDS: usize = 18;

fn deadlines(arrived: Instant) -> Deadlines {
    Deadlines {
        objective: completion::answer_by(arrived, Duration::ZERO, OBJECTIVE, MARGIN),
        deadline: arrived + DEADLINE,
    }
}

fn progress(answered: usize, failed: usize) -> Progress {
    Progress {
        answered,
        failed,
        total: SHARDS,
        min_shards: MIN_SHARDS,
    }
}

/// Runs a query whose shards reply after the given times; returns its duration and the number of shards.
fn run_query(arrived: Instant, mut replies: Vec<Duration>) -> (Duration, usize) {
    replies.sort();
    let mut now = arrived;
    loop {
        let answered = replies
            .iter()
            .filter(|after| arrived + **after <= now)
            .count();
        match completion::next_step(now, deadlines(arrived), progress(answered, 0)) {
            Step::Answer => return (now - arrived, answered),
            Step::GiveUp => return (now - arrived, 0),
            Step::Wait(until) => {
                let next = replies.get(answered).map(|after| arrived + *after);
                now = next.map_or(until, |next| next.min(until)).max(now);
            }
        }
    }
}

/// Returns the reply times of servers that pause for 120 ms in every 3 s, one server for each shard.
fn replies_with_pauses(random: &mut SmallRng) -> Vec<Duration> {
    let reply = |_| {
        let work = Duration::from_millis(random.random_range(6..20));
        match random.random_bool(0.04) {
            true => work + Duration::from_millis(random.random_range(0..120)),
            false => work,
        }
    };
    (0..SHARDS).map(reply).collect()
}

#[test]
fn pauses_lose_shards_but_keep_objective() {
    let arrived = Instant::now();
    let mut random = SmallRng::seed_from_u64(7);
    let (mut in_time, mut shards) = (0, 0);
    const QUERIES: usize = 1_000;
    for _ in 0..QUERIES {
        let (took, answered) = run_query(arrived, replies_with_pauses(&mut random));
        in_time += usize::from(took <= OBJECTIVE - MARGIN);
        shards += answered;
    }
    // Waiting for every shard misses the objective in a sixth of the queries.
    assert!(in_time >= QUERIES * 99 / 100, "{in_time}");
    assert!(shards >= QUERIES * SHARDS * 98 / 100, "{shards}");
}

#[test]
fn query_ends_once_outcome_is_certain() {
    let arrived = Instant::now();
    let early = arrived + Duration::from_millis(5);
    let step = |answered, failed| {
        completion::next_step(early, deadlines(arrived), progress(answered, failed))
    };
    assert_eq!(step(20, 0), Step::Answer);
    assert_eq!(step(19, 1), Step::Answer);
    assert_eq!(step(2, 3), Step::GiveUp);
    assert!(matches!(step(17, 2), Step::Wait(_)));
}

#[test]
fn late_query_answers_with_min_shards_or_gives_up_at_deadline() {
    let arrived = Instant::now();
    let late = arrived + OBJECTIVE * 2;
    let step =
        |now, answered| completion::next_step(now, deadlines(arrived), progress(answered, 0));
    assert_eq!(step(late, MIN_SHARDS), Step::Answer);
    assert_eq!(
        step(late, MIN_SHARDS - 1),
        Step::Wait(arrived + DEADLINE),
        "a late answer is of some use"
    );
    assert_eq!(step(arrived + DEADLINE, MIN_SHARDS - 1), Step::GiveUp);
}

#[test]
fn margin_takes_at_most_half_of_short_objective() {
    let arrived = Instant::now();
    let short = Duration::from_millis(10);
    assert_eq!(
        completion::answer_by(arrived, Duration::ZERO, short, MARGIN),
        arrived + short / 2
    );
}

fn fleet_cores(large: usize, small: usize) -> Vec<f64> {
    let mut cores = vec![0.5; large];
    cores.extend(vec![0.12; small]);
    cores
}

#[test]
fn few_large_instances_gather_for_many_small_ones() {
    let plan = delegation::plan(&fleet_cores(8, 59));
    assert!(plan.gathers(0.5) && !plan.gathers(0.12));
    insta::assert_debug_snapshot!([plan.part(0.5, 67), plan.part(0.12, 67)], @"
    [
        Capacity {
            share: 0.8,
            instances: 8,
        },
        Capacity {
            share: 0.2,
            instances: 59,
        },
    ]
    ");
}

/// Small instances join while queries are running, as many as there were and more.
#[test]
fn small_instances_that_join_do_not_change_who_gathers() {
    let before = delegation::plan(&fleet_cores(18, 277));
    assert!(before.gathers(0.5) && !before.gathers(0.12));
    for joined in [1, 43, 57, 277, 500] {
        let plan = delegation::plan(&fleet_cores(18, 277 + joined));
        assert_eq!(plan, before, "{joined} joined");
    }
}

/// Servers are in three of six zones: the large instances there gather, those in the caller's zone first, and the
/// others only if these have twice the load.
#[test]
fn instances_near_the_servers_gather() {
    let costs = [
        delegation::zone_cost(true, 1.0),
        delegation::zone_cost(false, 1.0),
        delegation::zone_cost(true, 0.0),
        delegation::zone_cost(false, 0.0),
    ];
    assert!(costs.is_sorted() && costs[0] == 0.0, "{costs:?}");
    assert!(1.0 + costs[2] > 1.5 * (1.0 + costs[1]), "{costs:?}");
}

#[test]
fn equal_instances_or_too_few_large_ones_gather_for_themselves() {
    assert_eq!(delegation::plan(&fleet_cores(7, 0)), Plan::Everyone);
    assert_eq!(delegation::plan(&fleet_cores(2, 40)), Plan::Everyone);
    assert_eq!(delegation::plan(&fleet_cores(3, 300)), Plan::Everyone);
    assert_eq!(delegation::plan(&[]), Plan::Everyone);
}

#[test]
fn retry_after_is_spread_and_never_zero() {
    let capacity_after = Duration::from_secs(1);
    let time_left = Duration::from_secs(10);
    let wait = |jitter| refusal::retry_after(capacity_after, time_left, jitter);
    assert_eq!(wait(0.0), capacity_after);
    assert!(wait(0.5) > wait(0.0) && wait(1.0) > wait(0.5));
    assert!(refusal::retry_after(Duration::ZERO, time_left, 0.0) > Duration::ZERO);
}

#[test]
fn retry_after_leaves_time_to_be_served() {
    let time_left = Duration::from_millis(300);
    let wait = refusal::retry_after(Duration::from_secs(5), time_left, 1.0);
    assert!(wait <= time_left / 3, "{wait:?}");
}

#[test]
fn short_query_behind_long_ones_is_hedged_in_time() {
    let sent_at = Instant::now();
    let ms = Duration::from_millis;
    let hedge_delay_ms = |high_quantile, median, answer_by| {
        let at = hedge::due_at(
            sent_at,
            ms(high_quantile),
            ms(median),
            sent_at + ms(answer_by),
        );
        (at - sent_at).as_millis()
    };
    // With time left, the high quantile is the hedge delay.
    assert_eq!(hedge_delay_ms(15, 7, 48), 15);
    // Behind long queries, the time left limits the hedge delay.
    assert_eq!(hedge_delay_ms(45, 10, 48), 28);
    // If every request is slow, the hedge delay stays at 1.5 times the median.
    assert_eq!(hedge_delay_ms(90, 30, 48), 45);
    assert_eq!(hedge_delay_ms(90, 30, 0), 45);
}

/// Simulates twice the load that the shards can serve, for two seconds: each shard serves `SLOTS` sub-requests
/// at a time, and a query needs a reply from at least `MIN_SHARDS` shards within the time left.
///
/// Returns the number of queries answered in time; `refuses_early` enables admission control.
fn overload(refuses_early: bool) -> usize {
    const SLOTS: usize = 4;
    const WORK: Duration = Duration::from_millis(20);
    const TIME_LEFT: Duration = Duration::from_millis(90);
    let interval = WORK / (2 * SLOTS as u32);
    let mut free_at = [[Duration::ZERO; SLOTS]; SHARDS];
    let mut in_time = 0;
    for number in 0..800_u32 {
        let now = interval * number;
        let next = |slots: &[Duration; SLOTS]| slots.iter().min().copied().unwrap_or_default();
        let waits = free_at
            .iter()
            .map(|slots| next(slots).saturating_sub(now) + WORK);
        if refuses_early && admission::admit_query(waits, TIME_LEFT, MIN_SHARDS).is_err() {
            continue;
        }
        let mut answered = 0;
        for slots in &mut free_at {
            let slot = slots.iter_mut().min().expect("a slot");
            *slot = (*slot).max(now) + WORK;
            answered += usize::from(*slot <= now + TIME_LEFT);
        }
        in_time += usize::from(answered >= MIN_SHARDS);
    }
    in_time
}

#[test]
fn early_refusal_keeps_goodput_at_double_load() {
    let (with, without) = (overload(true), overload(false));
    // The shards can serve half of the 800 queries.
    assert!(with >= 360, "{with} in time");
    assert!(without < 100, "{without} in time");
}

#[test]
fn query_is_refused_until_enough_shards_have_capacity() {
    let ms = Duration::from_millis;
    let shard_waits = || [0, 0, 5, 200].into_iter().map(ms);
    assert_eq!(admission::admit_query(shard_waits(), ms(90), 3), Ok(()));
    assert_eq!(
        admission::admit_query(shard_waits(), ms(90), 4),
        Err(ms(110))
    );
    assert_eq!(
        admission::admit_query(shard_waits(), ms(90), 5),
        Err(ms(90))
    );
}

#[test]
fn wait_estimate_accounts_for_lost_server() {
    let throughput = |slots: usize, per_s: f64| Throughput {
        slots,
        by_slots_per_s: per_s,
        allowed_per_s: per_s,
    };
    let estimate = admission::estimate_wait_at_rate;
    // Three items are served first, each takes 20 ms, and the item's own 20 ms are added to the wait.
    let two = estimate(3, throughput(4, 4.0 / 0.020));
    let one = estimate(3, throughput(2, 2.0 / 0.020));
    assert_eq!((two.as_millis(), one.as_millis()), (40, 60));
    assert!(estimate(0, throughput(1, 0.0)) > Duration::from_secs(60));
    assert!(estimate(0, throughput(1, f64::NAN)) > Duration::from_secs(60));
}

#[test]
fn wait_estimate_accounts_for_rate_limit() {
    let limited = Throughput {
        slots: 4,
        by_slots_per_s: 4.0 / 0.020,
        allowed_per_s: 10.0,
    };
    let wait = admission::estimate_wait_at_rate(0, limited);
    assert_eq!(wait.as_millis(), 120);
}

/// An instance with a tenth of a core passes queries on to peers; now and then its processor time is used up,
/// and replies wait for tens of milliseconds.
#[test]
fn hop_overhead_covers_most_hops_and_follows_changes() {
    let ms = Duration::from_millis;
    let mut overhead = Overhead::default();
    assert_eq!(overhead.estimate(), Duration::ZERO);
    let hop_overhead = |number: u32| {
        if number.is_multiple_of(20) {
            ms(30)
        } else {
            ms(2)
        }
    };
    let mut covered = 0;
    for number in 1..=200 {
        covered += u32::from(hop_overhead(number) <= overhead.estimate());
        overhead.record(hop_overhead(number));
    }
    assert!(covered >= 180, "{covered} of 200");
    assert!(overhead.estimate() < ms(20), "{:?}", overhead.estimate());
    (0..40).for_each(|_| overhead.record(ms(1)));
    assert!(overhead.estimate() < ms(3), "{:?}", overhead.estimate());
}

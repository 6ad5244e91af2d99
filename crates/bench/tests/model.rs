//! Tests that each policy helps against the load pattern that it was made for.

use bench::model::{
    engine::{
        self,
        Without, //
    },
    load::{
        Load,
        DISTURBANCE, //
        DURATION,
    },
    outcome::{
        Outcome,
        Second, //
    },
};

const SEEDS: std::ops::Range<u64> = 1..3;

fn during_disturbance(load: Load, without: Without, seed: u64) -> Second {
    let outcome = engine::run(load, without, seed);
    outcome.total(DISTURBANCE.start.as_secs()..DISTURBANCE.end.as_secs() + 2)
}

/// Asserts for each seed that more queries are answered in time with a policy than without it.
fn assert_policy_helps(load: Load, policy: Without) {
    for seed in SEEDS {
        let with = during_disturbance(load, Without::Nothing, seed);
        let without = during_disturbance(load, policy, seed);
        assert!(
            with.in_time > without.in_time,
            "{load:?} without {policy:?}, seed {seed}: {} of {}, {} of {}",
            with.in_time,
            with.queries,
            without.in_time,
            without.queries
        );
    }
}

#[test]
fn admission_puts_more_queries_in_time_under_overload() {
    assert_policy_helps(Load::Lost, Without::Service);
    assert_policy_helps(Load::Returning, Without::Admission);
    assert_policy_helps(Load::Returning, Without::Service);
}

#[test]
fn short_queues_at_servers_put_more_queries_in_time_under_overload() {
    assert_policy_helps(Load::Cold, Without::Window);
    assert_policy_helps(Load::Lost, Without::Window);
    assert_policy_helps(Load::Returning, Without::Window);
}

#[test]
fn partial_answers_put_more_queries_in_time() {
    assert_policy_helps(Load::Pauses, Without::Patience);
    assert_policy_helps(Load::Cold, Without::Patience);
    assert_policy_helps(Load::Lost, Without::Patience);
}

#[test]
fn admitted_queries_do_not_fail() {
    for (load, seed) in Load::ALL
        .into_iter()
        .flat_map(|load| SEEDS.map(move |seed| (load, seed)))
    {
        let second = during_disturbance(load, Without::Nothing, seed);
        assert_eq!(second.failed, 0, "{load:?}, seed {seed}");
    }
    for load in [Load::Lost, Load::Returning] {
        assert!(
            during_disturbance(load, Without::Admission, 1).failed > 0,
            "{load:?}"
        );
    }
}

#[test]
fn load_recovers_after_the_disturbance() {
    for load in Load::ALL {
        let outcome = engine::run(load, Without::Nothing, 1);
        let after = outcome.total(DISTURBANCE.end.as_secs() + 3..DURATION.as_secs());
        assert!(
            after.in_time * 100 >= after.queries * 95,
            "{load:?}: {after:?}"
        );
    }
}

#[test]
fn replay_is_deterministic_for_a_seed() {
    let text = |outcome: Outcome| format!("{outcome:?}");
    let run = |seed| text(engine::run(Load::Lost, Without::Nothing, seed));
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

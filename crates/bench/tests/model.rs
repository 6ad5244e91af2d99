//! Replays of the worst load patterns: what each policy is there for shows.

use bench::model::{
    engine::{
        self,
        Without, //
    },
    load::{
        Load,
        LENGTH,
        TROUBLE, //
    },
    outcome::{
        Outcome,
        Second, //
    },
};

const SEEDS: std::ops::Range<u64> = 1..3;

fn trouble(load: Load, without: Without, seed: u64) -> Second {
    let outcome = engine::run(load, without, seed);
    outcome.over(TROUBLE.start.as_secs()..TROUBLE.end.as_secs() + 2)
}

/// Checks that more queries are in time with a policy than without it, for each seed.
fn helps(load: Load, policy: Without) {
    for seed in SEEDS {
        let with = trouble(load, Without::Nothing, seed);
        let without = trouble(load, policy, seed);
        assert!(
            with.in_time > without.in_time,
            "{load:?} without {policy:?}, seed {seed}: {} of {}, {} of {}",
            with.in_time,
            with.asked,
            without.in_time,
            without.asked
        );
    }
}

#[test]
fn queries_that_would_be_late_are_refused_where_servers_are_lost_or_callers_return() {
    helps(Load::Lost, Without::Service);
    helps(Load::Returning, Without::Admission);
    helps(Load::Returning, Without::Service);
}

#[test]
fn answers_without_the_last_shards_are_in_time() {
    helps(Load::Pauses, Without::Patience);
    helps(Load::Cold, Without::Patience);
    helps(Load::Lost, Without::Patience);
}

#[test]
fn nothing_fails_after_servers_have_worked_on_it() {
    for (load, seed) in Load::ALL
        .into_iter()
        .flat_map(|load| SEEDS.map(move |seed| (load, seed)))
    {
        let second = trouble(load, Without::Nothing, seed);
        assert_eq!(second.failed, 0, "{load:?}, seed {seed}");
    }
    for load in [Load::Lost, Load::Returning] {
        assert!(trouble(load, Without::Admission, 1).failed > 0, "{load:?}");
    }
}

#[test]
fn the_trouble_ends_with_its_cause() {
    for load in Load::ALL {
        let outcome = engine::run(load, Without::Nothing, 1);
        let after = outcome.over(TROUBLE.end.as_secs() + 3..LENGTH.as_secs());
        assert!(
            after.in_time * 100 >= after.asked * 95,
            "{load:?}: {after:?}"
        );
    }
}

#[test]
fn a_seed_replays_the_same() {
    let text = |outcome: Outcome| format!("{outcome:?}");
    let run = |seed| text(engine::run(Load::Lost, Without::Nothing, seed));
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

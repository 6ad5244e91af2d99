//! Every schedule of a few callers of one key, with a few faults.

mod common;

use common::{
    explore::{
        explore,
        run,
        Act,
        Choose,
        Report,
        Scenario,
        KEY, //
    },
    node, request,
    step::{
        Faults,
        Step, //
    },
    tasks::Owner,
    world::World,
};
use wire::Reason;

/// Schedules after which an exploration is taken as too large to be whole.
const LIMIT: usize = 100_000;

const TWO: &[Act] = &[Act::Call(0), Act::Call(1)];
const SAME: &[Act] = &[Act::Call(0), Act::Call(0), Act::Call(1)];
const SETTLED: &[Act] = &[Act::Call(0), Act::Settle(1, 0)];
const RETRIED: &[Act] = &[Act::Call(0), Act::Settle(1, 0), Act::Later(1)];
const LATER: &[Act] = &[Act::Call(0), Act::Later(1)];
const PAUSED: &[Act] = &[Act::Later(0), Act::Settle(1, 0)];
const RELEASED: &[Act] = &[Act::Call(0), Act::Later(0), Act::Settle(1, 1)];
const SWEPT: &[Act] = &[Act::Call(0), Act::Call(1), Act::Other(0)];
const RESTARTED: &[Act] = &[Act::Call(0), Act::Later(2)];
const AGAIN: &[Act] = &[Act::Call(0), Act::Later(1), Act::Later(0)];

const NONE: Faults = Faults {
    pauses: 0,
    losses: 0,
    outages: 0,
    breaks: 0,
    refusals: 0,
    ticks: 0,
    jumps: 0,
    skips: 0,
    crashes: 0,
    cancels: 0,
};

fn explored(acts: &[Act], faults: Faults, unconditional: bool) -> Report {
    let scenario = Scenario {
        acts,
        faults,
        unconditional,
    };
    let report = explore(scenario, LIMIT);
    println!("{acts:?}, {faults:?}: {} schedules", report.runs);
    report
}

fn holds(acts: &[Act], faults: Faults) {
    let report = explored(acts, faults, false);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.runs < LIMIT, "too many schedules");
    assert!(report.executed > 0);
}

#[test]
fn claimants_without_faults() {
    holds(TWO, NONE);
    holds(SAME, NONE);
    holds(RETRIED, NONE);
    holds(AGAIN, NONE);
    holds(PAUSED, NONE);
}

#[test]
fn claimants_and_a_lost_reply() {
    let faults = Faults { losses: 1, ..NONE };
    holds(TWO, faults);
    holds(SETTLED, faults);
}

#[test]
fn claimants_and_a_pause_past_the_deadline() {
    let faults = Faults {
        pauses: 1,
        jumps: 1,
        ..NONE
    };
    holds(TWO, faults);
    holds(SETTLED, faults);
}

#[test]
fn claimants_and_a_skip_past_the_window() {
    let faults = Faults { skips: 1, ..NONE };
    holds(LATER, faults);
    holds(SWEPT, faults);
    holds(SETTLED, faults);
}

#[test]
fn claimants_a_lost_reply_and_a_pause() {
    let faults = Faults {
        losses: 1,
        pauses: 1,
        ..NONE
    };
    holds(TWO, faults);
    holds(SETTLED, faults);
}

#[test]
fn claimants_and_a_store_that_goes_down() {
    let faults = Faults {
        outages: 1,
        losses: 1,
        ..NONE
    };
    holds(TWO, faults);
    holds(SETTLED, faults);
}

#[test]
fn claimants_and_a_server_that_refuses_or_breaks() {
    let faults = Faults {
        breaks: 1,
        refusals: 1,
        ticks: 1,
        ..NONE
    };
    holds(AGAIN, faults);
    holds(SETTLED, faults);
    holds(RELEASED, faults);
    holds(PAUSED, faults);
}

#[test]
fn claimants_and_a_crash() {
    let faults = Faults { crashes: 1, ..NONE };
    holds(TWO, faults);
    holds(SETTLED, faults);
    holds(RESTARTED, faults);
}

#[test]
fn claimants_and_a_caller_who_goes_away() {
    let faults = Faults { cancels: 1, ..NONE };
    holds(LATER, faults);
    holds(AGAIN, faults);
    holds(SETTLED, faults);
}

#[test]
fn a_store_without_conditions_is_caught() {
    let report = explored(TWO, NONE, true);
    assert!(!report.violations.is_empty());
}

struct Bytes<'a>(&'a [u8]);

impl Choose for Bytes<'_> {
    fn choose(&mut self, count: usize) -> usize {
        let Some((first, rest)) = self.0.split_first() else {
            return 0;
        };
        self.0 = rest;
        usize::from(*first) % count
    }
}

#[test]
fn longer_random_schedules() {
    let faults = Faults {
        pauses: 3,
        losses: 3,
        outages: 2,
        breaks: 1,
        refusals: 2,
        ticks: 6,
        jumps: 1,
        cancels: 1,
        ..NONE
    };
    let acts = [
        Act::Call(0),
        Act::Call(1),
        Act::Settle(1, 0),
        Act::Later(0),
        Act::Settle(0, 1),
        Act::Later(1),
        Act::Other(0),
    ];
    let scenario = Scenario {
        acts: &acts,
        faults,
        unconditional: false,
    };
    bolero::check!().for_each(|bytes: &[u8]| {
        let report = run(scenario, &mut Bytes(bytes));
        assert_eq!(report.violations, Vec::<String>::new());
    });
}

#[test]
fn a_caller_who_goes_away_is_not_in_flight() {
    let faults = Faults { cancels: 1, ..NONE };
    let world = World::new(faults, false);
    let node = node(&world, 0, "a");
    let deadline = world.now() + common::explore::BUDGET;
    let caller = node.clone();
    let call = async move { drop(caller.call(request(0, KEY), deadline).await) };
    world.tasks.spawn(Owner::Caller(0), Box::pin(call));
    world.tasks.settle();
    assert_eq!(node.state()["in_flight"], 1);
    world.take(Step::Cancel);
    while let Some(step) = world.steps().first().copied() {
        world.take(step);
    }
    assert_eq!(node.state()["in_flight"], 0);
}

#[test]
fn a_malformed_object_is_left_as_it_is() {
    let world = World::new(NONE, false);
    let name = format!(
        "p{:02}",
        ledger::Ledger::<common::Side, common::Side>::partition(KEY)
    );
    world.put(&name, "{\"floor_ms\":\"none\"}");
    let node = node(&world, 0, "a");
    let told = std::rc::Rc::new(std::cell::RefCell::new(None));
    let deadline = world.now() + common::explore::BUDGET;
    let heard = told.clone();
    world.tasks.spawn(
        Owner::Caller(0),
        Box::pin(async move {
            *heard.borrow_mut() = Some(node.call(request(0, KEY), deadline).await);
        }),
    );
    world.tasks.settle();
    while let Some(step) = world.steps().first().copied() {
        world.take(step);
    }
    let reply = told.borrow_mut().take().expect("a reply");
    let failure = reply.failure.expect("a refusal");
    assert!(!failure.not_run, "the object may have held the key");
    assert_eq!(failure.reason(), Reason::Platform);
    assert!(world.executions.borrow().is_empty());
    assert_eq!(
        world.value(&name).as_deref(),
        Some("{\"floor_ms\":\"none\"}")
    );
}

//! Explores every schedule of a few callers of one key, with a few faults.

mod common;

use common::{
    explore::{
        explore,
        run,
        Action,
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

/// Number of schedules at which an exploration is considered too large to be complete.
const MAX_SCHEDULES: usize = 100_000;

const TWO_INSTANCES: &[Action] = &[Action::Call(0), Action::Call(1)];
const SAME_INSTANCE: &[Action] = &[Action::Call(0), Action::Call(0), Action::Call(1)];
const SETTLED: &[Action] = &[Action::Call(0), Action::Settle(1, 0)];
const RETRIED_AFTER_SETTLING: &[Action] =
    &[Action::Call(0), Action::Settle(1, 0), Action::LateCall(1)];
const LATE_CALL: &[Action] = &[Action::Call(0), Action::LateCall(1)];
const SETTLED_LATE_CALL: &[Action] = &[Action::LateCall(0), Action::Settle(1, 0)];
const SETTLED_SECOND_CALL: &[Action] =
    &[Action::Call(0), Action::LateCall(0), Action::Settle(1, 1)];
const WITH_OTHER_KEY: &[Action] = &[Action::Call(0), Action::Call(1), Action::OtherKey(0)];
const RESTARTED: &[Action] = &[Action::Call(0), Action::LateCall(2)];
const TWO_LATE_CALLS: &[Action] = &[Action::Call(0), Action::LateCall(1), Action::LateCall(0)];

const NO_FAULTS: Faults = Faults {
    pauses: 0,
    lost_replies: 0,
    outages: 0,
    lost_call_replies: 0,
    refusals: 0,
    early_timers: 0,
    deadline_jumps: 0,
    window_jumps: 0,
    crashes: 0,
    cancels: 0,
};

fn explore_and_print(actions: &[Action], faults: Faults, unconditional: bool) -> Report {
    let scenario = Scenario {
        actions,
        faults,
        unconditional,
    };
    let report = explore(scenario, MAX_SCHEDULES);
    println!("{actions:?}, {faults:?}: {} schedules", report.runs);
    report
}

fn assert_no_violations(actions: &[Action], faults: Faults) {
    let report = explore_and_print(actions, faults, false);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.runs < MAX_SCHEDULES, "too many schedules");
    assert!(report.executed > 0);
}

#[test]
fn claimants_without_faults() {
    assert_no_violations(TWO_INSTANCES, NO_FAULTS);
    assert_no_violations(SAME_INSTANCE, NO_FAULTS);
    assert_no_violations(RETRIED_AFTER_SETTLING, NO_FAULTS);
    assert_no_violations(TWO_LATE_CALLS, NO_FAULTS);
    assert_no_violations(SETTLED_LATE_CALL, NO_FAULTS);
}

#[test]
fn claimants_and_a_lost_reply() {
    let faults = Faults {
        lost_replies: 1,
        ..NO_FAULTS
    };
    assert_no_violations(TWO_INSTANCES, faults);
    assert_no_violations(SETTLED, faults);
}

#[test]
fn claimants_and_a_held_reply_past_the_deadline() {
    let faults = Faults {
        pauses: 1,
        deadline_jumps: 1,
        ..NO_FAULTS
    };
    assert_no_violations(TWO_INSTANCES, faults);
    assert_no_violations(SETTLED, faults);
}

#[test]
fn claimants_and_a_clock_jump_past_the_window() {
    let faults = Faults {
        window_jumps: 1,
        ..NO_FAULTS
    };
    assert_no_violations(LATE_CALL, faults);
    assert_no_violations(WITH_OTHER_KEY, faults);
    assert_no_violations(SETTLED, faults);
}

#[test]
fn claimants_and_a_lost_and_a_held_reply() {
    let faults = Faults {
        lost_replies: 1,
        pauses: 1,
        ..NO_FAULTS
    };
    assert_no_violations(TWO_INSTANCES, faults);
    assert_no_violations(SETTLED, faults);
}

#[test]
fn claimants_and_an_unavailable_store() {
    let faults = Faults {
        outages: 1,
        lost_replies: 1,
        ..NO_FAULTS
    };
    assert_no_violations(TWO_INSTANCES, faults);
    assert_no_violations(SETTLED, faults);
}

#[test]
fn claimants_and_a_server_that_refuses_or_loses_a_reply() {
    let faults = Faults {
        lost_call_replies: 1,
        refusals: 1,
        early_timers: 1,
        ..NO_FAULTS
    };
    assert_no_violations(TWO_LATE_CALLS, faults);
    assert_no_violations(SETTLED, faults);
    assert_no_violations(SETTLED_SECOND_CALL, faults);
    assert_no_violations(SETTLED_LATE_CALL, faults);
}

#[test]
fn claimants_and_a_crash() {
    let faults = Faults {
        crashes: 1,
        ..NO_FAULTS
    };
    assert_no_violations(TWO_INSTANCES, faults);
    assert_no_violations(SETTLED, faults);
    assert_no_violations(RESTARTED, faults);
}

#[test]
fn claimants_and_a_cancelled_call() {
    let faults = Faults {
        cancels: 1,
        ..NO_FAULTS
    };
    assert_no_violations(LATE_CALL, faults);
    assert_no_violations(TWO_LATE_CALLS, faults);
    assert_no_violations(SETTLED, faults);
}

#[test]
fn store_that_ignores_versions_is_detected() {
    let report = explore_and_print(TWO_INSTANCES, NO_FAULTS, true);
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
        lost_replies: 3,
        outages: 2,
        lost_call_replies: 1,
        refusals: 2,
        early_timers: 6,
        deadline_jumps: 1,
        cancels: 1,
        ..NO_FAULTS
    };
    let actions = [
        Action::Call(0),
        Action::Call(1),
        Action::Settle(1, 0),
        Action::LateCall(0),
        Action::Settle(0, 1),
        Action::LateCall(1),
        Action::OtherKey(0),
    ];
    let scenario = Scenario {
        actions: &actions,
        faults,
        unconditional: false,
    };
    bolero::check!().for_each(|bytes: &[u8]| {
        let report = run(scenario, &mut Bytes(bytes));
        assert_eq!(report.violations, Vec::<String>::new());
    });
}

#[test]
fn cancelled_call_is_not_in_flight() {
    let faults = Faults {
        cancels: 1,
        ..NO_FAULTS
    };
    let world = World::new(faults, false);
    let node = node(&world, 0, "a");
    let deadline = world.now() + common::explore::CALL_TIMEOUT;
    let caller = node.clone();
    let call = async move { drop(caller.call(request(0, KEY), deadline).await) };
    world.tasks.spawn(Owner::Caller(0), Box::pin(call));
    world.tasks.run_until_idle();
    assert_eq!(node.state()["in_flight"], 1);
    world.perform(Step::Cancel);
    while let Some(step) = world.steps().first().copied() {
        world.perform(step);
    }
    assert_eq!(node.state()["in_flight"], 0);
}

#[test]
fn malformed_object_is_not_overwritten() {
    let world = World::new(NO_FAULTS, false);
    let name = format!(
        "p{:02}",
        ledger::Ledger::<common::Environment, common::Environment>::partition(KEY)
    );
    world.put(&name, "{\"floor_ms\":\"none\"}");
    let node = node(&world, 0, "a");
    let received = std::rc::Rc::new(std::cell::RefCell::new(None));
    let deadline = world.now() + common::explore::CALL_TIMEOUT;
    let reply_slot = received.clone();
    world.tasks.spawn(
        Owner::Caller(0),
        Box::pin(async move {
            *reply_slot.borrow_mut() = Some(node.call(request(0, KEY), deadline).await);
        }),
    );
    world.tasks.run_until_idle();
    while let Some(step) = world.steps().first().copied() {
        world.perform(step);
    }
    let reply = received.borrow_mut().take().expect("a reply");
    let failure = reply.failure.expect("a refusal");
    assert!(!failure.not_run, "the object may have contained the key");
    assert_eq!(failure.reason(), Reason::Platform);
    assert!(world.executions.borrow().is_empty());
    assert_eq!(
        world.value(&name).as_deref(),
        Some("{\"floor_ms\":\"none\"}")
    );
}

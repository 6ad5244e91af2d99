//! Runs a scenario under every possible schedule and checks the replies.

use std::{
    cell::RefCell,
    ops::RangeInclusive,
    rc::Rc,
    time::Duration, //
};

use ledger::{
    object::State,
    Ledger, //
};
use wire::CallReply;

use super::{
    node,
    request,
    step::{
        Faults,
        Step, //
    },
    tasks::Owner,
    world::World,
    Environment, //
};

/// A key whose time is the start of the world.
pub(crate) const KEY: &str = "01a3185c-5000-7000-8000-000000000001";
/// Time from a call to its deadline.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of steps in one run.
const MAX_STEPS: usize = 400;

/// What a caller requests.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Action {
    /// Runs the call through the instance with this number.
    Call(usize),
    /// Like `Call`, by a caller who arrives at any later time.
    LateCall(usize),
    /// Runs a call with another key of the partition, which is created when the caller arrives.
    OtherKey(usize),
    /// Settles, through the instance with the first number, the call of the caller with the second.
    Settle(usize, usize),
}

/// Callers of one key and the faults that may occur.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario<'a> {
    pub(crate) actions: &'a [Action],
    pub(crate) faults: Faults,
    pub(crate) unconditional: bool,
}

/// Result of one run or of all runs of a scenario.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) runs: usize,
    pub(crate) executed: usize,
    pub(crate) violations: Vec<String>,
}

/// A reply to one caller.
#[derive(Debug)]
struct SentReply {
    id: u8,
    /// Whether the caller receives the reply: once its call is settled, the reply of the home
    /// instance is ignored.
    is_received: bool,
    /// Whether any request with the key had run when the reply was sent.
    has_run: bool,
    reply: CallReply,
}

type Replies = Rc<RefCell<Vec<SentReply>>>;

/// Chooses the next step by its index among `count` steps.
pub(crate) trait Choose {
    fn choose(&mut self, count: usize) -> usize;
}

/// Follows a given prefix of choices, then always chooses the first step; records each choice and
/// how many steps there were.
#[derive(Debug, Default)]
struct Path {
    prefix: Vec<usize>,
    taken: Vec<(usize, usize)>,
}

impl Choose for Path {
    fn choose(&mut self, count: usize) -> usize {
        let step = self.prefix.get(self.taken.len()).copied().unwrap_or(0);
        self.taken.push((step, count));
        step
    }
}

impl Path {
    /// Returns the next path in depth-first order, if any.
    fn next(mut self) -> Option<Self> {
        while let Some((step, count)) = self.taken.pop() {
            if step + 1 < count {
                let mut prefix = self.taken.iter().map(|taken| taken.0).collect::<Vec<_>>();
                prefix.push(step + 1);
                let taken = Vec::new();
                return Some(Self { prefix, taken });
            }
        }
        None
    }
}

/// Runs `scenario` under every schedule, but at most `limit` of them; stops at the first violation.
pub(crate) fn explore(scenario: Scenario<'_>, limit: usize) -> Report {
    let mut report = Report::default();
    let mut path = Some(Path::default());
    while let Some(mut current) = path {
        let run = run(scenario, &mut current);
        report.runs += 1;
        report.executed += run.executed;
        report.violations.extend(run.violations);
        if report.runs == limit || !report.violations.is_empty() {
            return report;
        }
        path = current.next();
    }
    report
}

/// Runs `scenario` once under the schedule that `choose` selects.
pub(crate) fn run(scenario: Scenario<'_>, choose: &mut impl Choose) -> Report {
    let world = World::new(scenario.faults, scenario.unconditional);
    let replies = Replies::default();
    // The third instance is the first one after a restart.
    let nodes = [(0, "a"), (1, "b"), (2, "a")];
    let nodes = nodes.map(|(number, name)| node(&world, number, name));
    for (index, action) in scenario.actions.iter().enumerate() {
        let id = index as u8;
        let (node_index, id, is_settling) = match *action {
            Action::Call(node_index)
            | Action::LateCall(node_index)
            | Action::OtherKey(node_index) => (node_index, id, false),
            Action::Settle(node_index, settled_caller) => (node_index, settled_caller as u8, true),
        };
        let node = nodes[node_index].clone();
        let replies = replies.clone();
        let is_settled = |a: &Action| matches!(a, Action::Settle(_, of) if *of == usize::from(id));
        let is_received = is_settling || !scenario.actions.iter().any(is_settled);
        let is_other = matches!(action, Action::OtherKey(_));
        let clock = world.clone();
        let caller = Box::pin(async move {
            let deadline = clock.now() + CALL_TIMEOUT;
            let reply = match is_settling {
                true => node.settle(request(id, KEY), deadline).await,
                false if is_other => node.call(request(id, &other_key(&clock)), deadline).await,
                false => node.call(request(id, KEY), deadline).await,
            };
            if !is_other {
                replies.borrow_mut().push(SentReply {
                    id,
                    is_received,
                    has_run: clock.executions.borrow().iter().any(|ran| ran.key == KEY),
                    reply,
                });
            }
        });
        match action {
            Action::LateCall(_) | Action::OtherKey(_) => {
                world.arrive(Owner::Caller(node_index), caller)
            }
            _ => world.tasks.spawn(Owner::Caller(node_index), caller),
        }
    }
    world.tasks.run_until_idle();
    let mut schedule = Vec::new();
    loop {
        let steps = world.steps();
        if steps.is_empty() || schedule.len() > MAX_STEPS {
            break;
        }
        let step = steps[choose.choose(steps.len())];
        schedule.push(step);
        world.perform(step);
    }
    let executed = world.executions.borrow().len();
    let callers = expected_replies(scenario.actions, &schedule);
    let mut violations = world.violations.borrow().clone();
    violations.extend(find_violations(&world, &replies.borrow(), callers));
    if !violations.is_empty() {
        let replies = replies.borrow();
        violations.push(format!("schedule {schedule:?}, replies {replies:?}"));
    }
    Report {
        runs: 1,
        executed,
        violations,
    }
}

/// Returns how many replies are expected: callers whose instance crashed or who cancelled may get
/// none.
fn expected_replies(actions: &[Action], schedule: &[Step]) -> RangeInclusive<usize> {
    let counts = |action: &&Action| !matches!(action, Action::OtherKey(_));
    let callers = actions.iter().filter(counts).count();
    let is_of_first = |action: &&Action| {
        matches!(
            action,
            Action::Call(0) | Action::LateCall(0) | Action::Settle(0, _)
        )
    };
    let unanswered = match (
        schedule.contains(&Step::Crash),
        schedule.contains(&Step::Cancel),
    ) {
        (true, _) => actions.iter().filter(is_of_first).count(),
        (false, true) => 1,
        (false, false) => 0,
    };
    callers - unanswered..=callers
}

/// Compares the replies to the callers with the calls that the backend server ran.
fn find_violations(
    world: &World,
    replies: &[SentReply],
    callers: RangeInclusive<usize>,
) -> Vec<String> {
    let executions = world.executions.borrow();
    let executions = executions.iter().filter(|ran| ran.key == KEY);
    let executions = executions.collect::<Vec<_>>();
    let mut violations = Vec::new();
    if executions.len() > 1 {
        violations.push(format!("ran {} times", executions.len()));
    }
    if !callers.contains(&replies.len()) {
        violations.push(format!("{} of {callers:?} replies", replies.len()));
    }
    let states = world.states(KEY);
    if states.contains(&State::Void) && !executions.is_empty() {
        violations.push("a void key ran".to_owned());
    }
    for SentReply {
        id,
        is_received,
        has_run,
        reply,
    } in replies
    {
        let own = executions.iter().any(|ran| ran.request[0] == *id);
        let fault = match &reply.failure {
            Some(failure) if failure.not_run && own && *is_received => {
                Some("not_run of a request that has run")
            }
            Some(failure) if failure.not_run && *has_run => Some("not_run of a key that has run"),
            None if executions.is_empty() => Some("a reply although no request has run"),
            None if !is_reply_to(reply, executions[0].request[0]) => {
                Some("a reply to another request")
            }
            _ => None,
        };
        violations.extend(fault.map(|fault| format!("caller {id}: {fault}")));
    }
    violations
}

/// Returns a new key of the partition of [`KEY`].
fn other_key(world: &World) -> String {
    let time = format!("{:012x}", world.unix_ms());
    let (high, low) = time.split_at(8);
    let number = |key: &str| Ledger::<Environment, Environment>::partition(key);
    let mut keys = (2..).map(|random| format!("{high}-{low}-7000-8000-{random:012x}"));
    keys.find(|key| number(key) == number(KEY))
        .expect("a key of the partition")
}

fn is_reply_to(reply: &CallReply, id: u8) -> bool {
    reply.payload == format!("{{\"ran\":{id}}}")
}

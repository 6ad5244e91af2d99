//! Runs a scenario under every schedule.

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
    Side, //
};

/// A key that is fresh when a world starts.
pub(crate) const KEY: &str = "01a3185c-5000-7000-8000-000000000001";
/// Time that a caller gives.
pub(crate) const BUDGET: Duration = Duration::from_secs(1);
/// Most steps of one run.
const STEPS_MAX: usize = 400;

/// What a caller asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Act {
    /// Runs the call through the instance of this number.
    Call(usize),
    /// The same, by a caller who arrives at any later time.
    Later(usize),
    /// Runs a call with another key of the partition, made when the caller arrives.
    Other(usize),
    /// Settles the call of the caller with this number through the instance of this number.
    Settle(usize, usize),
}

/// Callers of one key and the faults that they may meet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario<'a> {
    pub(crate) acts: &'a [Act],
    pub(crate) faults: Faults,
    pub(crate) unconditional: bool,
}

/// What a run or an exploration showed.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) runs: usize,
    pub(crate) executed: usize,
    pub(crate) violations: Vec<String>,
}

/// A reply to one caller.
#[derive(Debug)]
struct Told {
    id: u8,
    /// Whether the caller gets it: whoever settles a call has given up on its home's reply.
    is_heard: bool,
    /// Whether any request with the key had run by then.
    has_run: bool,
    reply: CallReply,
}

type Replies = Rc<RefCell<Vec<Told>>>;

/// Picks the next of `count` steps.
pub(crate) trait Choose {
    fn choose(&mut self, count: usize) -> usize;
}

/// Takes a given path, then the first step each time; notes how many steps there were.
#[derive(Debug, Default)]
struct Path {
    given: Vec<usize>,
    taken: Vec<(usize, usize)>,
}

impl Choose for Path {
    fn choose(&mut self, count: usize) -> usize {
        let step = self.given.get(self.taken.len()).copied().unwrap_or(0);
        self.taken.push((step, count));
        step
    }
}

impl Path {
    /// Returns the next path in depth-first order.
    fn next(mut self) -> Option<Self> {
        while let Some((step, count)) = self.taken.pop() {
            if step + 1 < count {
                let mut given = self.taken.iter().map(|taken| taken.0).collect::<Vec<_>>();
                given.push(step + 1);
                let taken = Vec::new();
                return Some(Self { given, taken });
            }
        }
        None
    }
}

/// Runs `scenario` under every schedule, at most `limit` ones.
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

/// Runs `scenario` once under the schedule that `choose` makes, then asks once more.
pub(crate) fn run(scenario: Scenario<'_>, choose: &mut impl Choose) -> Report {
    let world = World::new(scenario.faults, scenario.unconditional);
    let replies = Replies::default();
    // The third is the first one, started again.
    let nodes = [(0, "a"), (1, "b"), (2, "a")];
    let nodes = nodes.map(|(number, name)| node(&world, number, name));
    for (index, act) in scenario.acts.iter().enumerate() {
        let id = index as u8;
        let (at, id, settles) = match *act {
            Act::Call(at) | Act::Later(at) | Act::Other(at) => (at, id, false),
            Act::Settle(at, of) => (at, of as u8, true),
        };
        let node = nodes[at].clone();
        let replies = replies.clone();
        let is_settled = |act: &Act| matches!(act, Act::Settle(_, of) if *of == usize::from(id));
        let is_heard = settles || !scenario.acts.iter().any(is_settled);
        let is_other = matches!(act, Act::Other(_));
        let clock = world.clone();
        let caller = Box::pin(async move {
            let deadline = clock.now() + BUDGET;
            let reply = match settles {
                true => node.settle(request(id, KEY), deadline).await,
                false if is_other => node.call(request(id, &other(&clock)), deadline).await,
                false => node.call(request(id, KEY), deadline).await,
            };
            if !is_other {
                replies.borrow_mut().push(Told {
                    id,
                    is_heard,
                    has_run: clock.executions.borrow().iter().any(|ran| ran.key == KEY),
                    reply,
                });
            }
        });
        match act {
            Act::Later(_) | Act::Other(_) => world.arrive(Owner::Caller(at), caller),
            _ => world.tasks.spawn(Owner::Caller(at), caller),
        }
    }
    world.tasks.settle();
    let mut trail = Vec::new();
    loop {
        let steps = world.steps();
        if steps.is_empty() || trail.len() > STEPS_MAX {
            break;
        }
        let step = steps[choose.choose(steps.len())];
        trail.push(step);
        world.take(step);
    }
    let executed = world.executions.borrow().len();
    let callers = answered(scenario.acts, &trail);
    let mut violations = world.violations.borrow().clone();
    violations.extend(judge(&world, &replies.borrow(), callers));
    if !violations.is_empty() {
        let told = replies.borrow();
        violations.push(format!("by {trail:?}, replies {told:?}"));
    }
    Report {
        runs: 1,
        executed,
        violations,
    }
}

/// Returns how many callers have to be answered, where some may have lost their instance or gone.
fn answered(acts: &[Act], trail: &[Step]) -> RangeInclusive<usize> {
    let counts = |act: &&Act| !matches!(act, Act::Other(_));
    let callers = acts.iter().filter(counts).count();
    let of_first = |act: &&Act| matches!(act, Act::Call(0) | Act::Later(0) | Act::Settle(0, _));
    let unanswered = match (trail.contains(&Step::Crash), trail.contains(&Step::Cancel)) {
        (true, _) => acts.iter().filter(of_first).count(),
        (false, true) => 1,
        (false, false) => 0,
    };
    callers - unanswered..=callers
}

/// Compares what callers were told with what the backend server ran.
fn judge(world: &World, replies: &[Told], callers: RangeInclusive<usize>) -> Vec<String> {
    let executions = world.executions.borrow();
    let executions = executions.iter().filter(|ran| ran.key == KEY);
    let executions = executions.collect::<Vec<_>>();
    let mut found = Vec::new();
    if executions.len() > 1 {
        found.push(format!("ran {} times", executions.len()));
    }
    if !callers.contains(&replies.len()) {
        found.push(format!("{} of {callers:?} replies", replies.len()));
    }
    let states = world.states(KEY);
    if states.contains(&State::Void) && !executions.is_empty() {
        found.push("a void key ran".to_owned());
    }
    for Told {
        id,
        is_heard,
        has_run,
        reply,
    } in replies
    {
        let own = executions.iter().any(|ran| ran.request[0] == *id);
        let fault = match &reply.failure {
            Some(failure) if failure.not_run && own && *is_heard => Some("not_run is untrue"),
            Some(failure) if failure.not_run && *has_run => Some("not_run of a key that has run"),
            None if executions.is_empty() => Some("an answer from nowhere"),
            None if !is_answer(reply, executions[0].request[0]) => Some("another's answer"),
            _ => None,
        };
        found.extend(fault.map(|fault| format!("caller {id}: {fault}")));
    }
    found
}

/// Returns a fresh key of the partition of [`KEY`].
fn other(world: &World) -> String {
    let time = format!("{:012x}", world.unix_ms());
    let (high, low) = time.split_at(8);
    let number = |key: &str| Ledger::<Side, Side>::partition(key);
    let mut keys = (2..).map(|random| format!("{high}-{low}-7000-8000-{random:012x}"));
    keys.find(|key| number(key) == number(KEY))
        .expect("a key of the partition")
}

fn is_answer(reply: &CallReply, id: u8) -> bool {
    reply.payload == format!("{{\"ran\":{id}}}")
}

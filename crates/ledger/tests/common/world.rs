//! The state that the instances share, and the steps that it can take.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        VecDeque, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::LocalBoxFuture;
use ledger::object::{
    Entry,
    Object as Partition,
    State, //
};
use platform::{
    Failure,
    Object, //
};
use serde_json::value::RawValue;

use super::{
    step::{
        Faults,
        Step, //
    },
    tasks::{
        Owner,
        Tasks, //
    },
};
use wire::{
    CallReply,
    CallRequest,
    Reason, //
};

/// Time of day at which a world starts, in milliseconds since the Unix epoch.
pub(crate) const START_MS: u64 = 1_800_000_000_000;

/// A time past the callers' deadlines.
const JUMP: Duration = Duration::from_secs(2);
/// A time past the window.
const SKIP: Duration = Duration::from_secs(20 * 60);

enum Ask {
    Read(oneshot::Sender<Result<Option<Object>, Failure>>),
    Write {
        expected: u64,
        value: Box<RawValue>,
        reply: oneshot::Sender<Result<u64, Failure>>,
    },
    Ghost {
        expected: u64,
        value: Box<RawValue>,
    },
    Held(Box<dyn FnOnce()>),
}

/// A call that was run by the backend server.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Execution {
    pub(crate) key: String,
    pub(crate) request: Bytes,
}

/// Everything outside the instances.
pub(crate) struct World {
    start: Instant,
    elapsed: Cell<Duration>,
    skipped: Cell<Duration>,
    faults: Cell<Faults>,
    /// Whether the store takes writes whatever version they expect.
    unconditional: bool,
    next: Cell<usize>,
    version: Cell<u64>,
    objects: RefCell<BTreeMap<String, Object>>,
    /// Requests to the store by number: the instance, the object and what is asked.
    asks: RefCell<BTreeMap<usize, (usize, String, Ask)>>,
    sends: RefCell<BTreeMap<usize, (CallRequest, oneshot::Sender<CallReply>)>>,
    arrivals: RefCell<VecDeque<(Owner, LocalBoxFuture<'static, ()>)>>,
    /// The instance that made each claim.
    makers: RefCell<BTreeMap<Arc<str>, usize>>,
    timers: RefCell<BTreeMap<(Duration, usize), oneshot::Sender<()>>>,
    pub(crate) tasks: Tasks,
    pub(crate) executions: RefCell<Vec<Execution>>,
    pub(crate) violations: RefCell<Vec<String>>,
}

impl World {
    pub(crate) fn new(faults: Faults, unconditional: bool) -> Rc<Self> {
        Rc::new(Self {
            start: Instant::now(),
            elapsed: Cell::default(),
            skipped: Cell::default(),
            faults: Cell::new(faults),
            unconditional,
            next: Cell::default(),
            version: Cell::default(),
            objects: RefCell::default(),
            asks: RefCell::default(),
            sends: RefCell::default(),
            arrivals: RefCell::default(),
            makers: RefCell::default(),
            timers: RefCell::default(),
            tasks: Tasks::default(),
            executions: RefCell::default(),
            violations: RefCell::default(),
        })
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    pub(crate) fn unix_ms(&self) -> u64 {
        let passed = self.elapsed.get() + self.skipped.get();
        START_MS + passed.as_millis() as u64
    }

    /// Runs `future` when the next caller arrives.
    pub(crate) fn arrive(&self, owner: Owner, future: LocalBoxFuture<'static, ()>) {
        self.arrivals.borrow_mut().push_back((owner, future));
    }

    pub(crate) fn timer(&self, duration: Duration) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let at = (self.elapsed.get() + duration, self.id());
        self.timers.borrow_mut().insert(at, sender);
        receiver
    }

    pub(crate) async fn read(&self, from: usize, name: &str) -> Result<Option<Object>, Failure> {
        let (sender, receiver) = oneshot::channel();
        self.ask(from, name, Ask::Read(sender));
        receiver.await.unwrap_or(Err(Failure::Lost))
    }

    pub(crate) async fn write(
        &self,
        from: usize,
        name: &str,
        expected: u64,
        value: &RawValue,
    ) -> Result<u64, Failure> {
        let (reply, receiver) = oneshot::channel();
        let value = value.to_owned();
        self.ask(
            from,
            name,
            Ask::Write {
                expected,
                value,
                reply,
            },
        );
        receiver.await.unwrap_or(Err(Failure::Lost))
    }

    pub(crate) async fn send(&self, request: CallRequest) -> CallReply {
        let (sender, receiver) = oneshot::channel();
        let id = self.id();
        self.sends.borrow_mut().insert(id, (request, sender));
        receiver.await.unwrap_or_default()
    }

    /// Puts an object into the store as somebody else would.
    pub(crate) fn put(&self, name: &str, value: &str) {
        let value = RawValue::from_string(value.to_owned()).expect("JSON");
        self.store(name, value);
    }

    /// Returns the value of an object.
    pub(crate) fn value(&self, name: &str) -> Option<String> {
        let objects = self.objects.borrow();
        objects
            .get(name)
            .map(|object| object.value.get().to_owned())
    }

    /// Returns what the store says of `key`.
    pub(crate) fn states(&self, key: &str) -> Vec<State> {
        let objects = self.objects.borrow();
        let partitions = objects
            .values()
            .filter_map(|object| Partition::decode(object.value.get()).ok());
        let buckets = partitions.flat_map(|partition| partition.buckets.into_values());
        let entries = buckets.flatten();
        let entries = entries.filter(|(id, _)| id.to_string() == key);
        entries.map(|(_, entry)| entry.state).collect()
    }

    /// Returns the steps that can be taken, the plainest first.
    pub(crate) fn steps(&self) -> Vec<Step> {
        let faults = self.faults.get();
        let mut plain = Vec::new();
        let mut faulty = Vec::new();
        for (&id, (_, _, ask)) in &*self.asks.borrow() {
            match ask {
                Ask::Held(_) => plain.push(Step::Release(id)),
                Ask::Ghost { .. } => faulty.push(Step::Land(id)),
                Ask::Read(_) | Ask::Write { .. } => {
                    plain.push(Step::Apply(id));
                    let writes = matches!(ask, Ask::Write { .. });
                    faulty.extend((faults.pauses > 0).then_some(Step::Hold(id)));
                    faulty.extend((faults.outages > 0).then_some(Step::Down(id)));
                    faulty.extend((faults.losses > 0 && writes).then_some(Step::Lose(id)));
                    faulty.extend((faults.losses > 0 && writes).then_some(Step::Late(id)));
                }
            }
        }
        for &id in self.sends.borrow().keys() {
            plain.push(Step::Run(id));
            faulty.extend((faults.breaks > 0).then_some(Step::Break(id)));
            faulty.extend((faults.refusals > 0).then_some(Step::Refuse(id)));
        }
        if !self.arrivals.borrow().is_empty() {
            plain.push(Step::Arrive);
        }
        if plain.is_empty() && self.has_timer() {
            plain.push(Step::Tick);
        }
        if faults.ticks > 0 && !plain.is_empty() && !plain.contains(&Step::Tick) && self.has_timer()
        {
            faulty.push(Step::Tick);
        }
        if faults.crashes > 0 && !plain.is_empty() {
            faulty.push(Step::Crash);
        }
        if faults.cancels > 0 && self.tasks.has_caller() {
            faulty.push(Step::Cancel);
        }
        if faults.jumps > 0 && !plain.is_empty() {
            faulty.push(Step::Jump);
        }
        if faults.skips > 0 && !plain.is_empty() {
            faulty.push(Step::Skip);
        }
        // A write that is still on its way may never arrive: alone it doesn't go on.
        if plain.is_empty() {
            return Vec::new();
        }
        plain.extend(faulty);
        plain
    }

    /// Takes one step and lets the instances go as far as they can.
    pub(crate) fn take(&self, step: Step) {
        let mut faults = self.faults.get();
        faults.spend(step);
        self.faults.set(faults);
        match step {
            Step::Arrive => {
                let arrival = self.arrivals.borrow_mut().pop_front();
                let arrival = arrival.into_iter();
                arrival.for_each(|(owner, future)| self.tasks.spawn(owner, future));
            }
            Step::Crash => self.crash(),
            Step::Cancel => self.tasks.cancel(),
            Step::Tick => self.tick(),
            Step::Jump => self.jump(JUMP),
            Step::Skip => self.skipped.set(self.skipped.get() + SKIP),
            Step::Run(id) | Step::Break(id) | Step::Refuse(id) => self.serve(id, step),
            _ => self.answer(step),
        }
        self.tasks.settle();
    }

    fn answer(&self, step: Step) {
        let (Step::Apply(id)
        | Step::Hold(id)
        | Step::Lose(id)
        | Step::Late(id)
        | Step::Down(id)
        | Step::Release(id)
        | Step::Land(id)) = step
        else {
            return;
        };
        let Some((from, name, ask)) = self.asks.borrow_mut().remove(&id) else {
            return;
        };
        let reply: Box<dyn FnOnce()> = match ask {
            Ask::Held(reply) => reply,
            Ask::Ghost { expected, value } => {
                let _ = self.apply(from, &name, expected, value);
                return;
            }
            Ask::Read(reply) => {
                let found = match step {
                    Step::Down(_) => Err(Failure::Unavailable),
                    _ => Ok(self.objects.borrow().get(&name).cloned()),
                };
                Box::new(move || drop(reply.send(found)))
            }
            Ask::Write {
                expected,
                value,
                reply,
            } => {
                let written = match step {
                    Step::Down(_) => Err(Failure::Unavailable),
                    Step::Late(_) => {
                        let ghost = Ask::Ghost { expected, value };
                        self.asks
                            .borrow_mut()
                            .insert(id, (from, name.clone(), ghost));
                        Err(Failure::Lost)
                    }
                    Step::Lose(_) => {
                        let _ = self.apply(from, &name, expected, value);
                        Err(Failure::Lost)
                    }
                    _ => self.apply(from, &name, expected, value),
                };
                Box::new(move || {
                    let _ = reply.send(written);
                })
            }
        };
        match step {
            Step::Hold(_) => {
                self.asks
                    .borrow_mut()
                    .insert(id, (from, name, Ask::Held(reply)));
            }
            _ => reply(),
        }
    }

    fn serve(&self, id: usize, step: Step) {
        let Some((request, reply)) = self.sends.borrow_mut().remove(&id) else {
            return;
        };
        let answer = match step {
            Step::Refuse(_) => refusal(Reason::Shed, true),
            _ => {
                let request_id = request.head.map(|head| head.request).unwrap_or_default();
                let payload = format!("{{\"ran\":{}}}", request_id[0]);
                self.executions.borrow_mut().push(Execution {
                    key: request.key,
                    request: request_id,
                });
                match step {
                    Step::Break(_) => refusal(Reason::Broken, false),
                    _ => CallReply {
                        status: 200,
                        payload: payload.into(),
                        server: "booking-desk-a".to_owned(),
                        ..CallReply::default()
                    },
                }
            }
        };
        drop(reply.send(answer));
    }

    fn apply(
        &self,
        from: usize,
        name: &str,
        expected: u64,
        value: Box<RawValue>,
    ) -> Result<u64, Failure> {
        let current = self
            .objects
            .borrow()
            .get(name)
            .map_or(0, |object| object.version);
        if current != expected && !self.unconditional {
            return Err(Failure::Conflict { current });
        }
        self.check(from, name, &value);
        Ok(self.store(name, value))
    }

    fn store(&self, name: &str, value: Box<RawValue>) -> u64 {
        let version = self.version.get() + 1;
        self.version.set(version);
        let object = Object {
            name: name.into(),
            version,
            value: value.into(),
        };
        self.objects.borrow_mut().insert(name.to_owned(), object);
        version
    }

    /// Notes every entry that `from` may not have changed.
    fn check(&self, from: usize, name: &str, value: &RawValue) {
        let before = self.value(name);
        let before = before.and_then(|text| Partition::decode(&text).ok());
        let after = Partition::decode(value.get()).expect("a partition is written");
        for (bucket, entries) in before.unwrap_or_default().buckets {
            for (id, entry) in entries {
                let next = after.buckets.get(&bucket).and_then(|next| next.get(&id));
                let is_allowed = match next {
                    None => (bucket + 1) * 60_000 <= after.floor_ms,
                    Some(next) => entry == *next || self.is_maker(from, &entry),
                };
                if !is_allowed {
                    let change = format!("{from} made {entry:?} {next:?}");
                    self.violations.borrow_mut().push(change);
                }
            }
        }
        let entries = after.buckets.into_values().flatten();
        for (_, entry) in entries {
            if let State::Claimed { by, .. } = entry.state {
                self.makers.borrow_mut().entry(by).or_insert(from);
            }
        }
    }

    /// Returns whether `from` may change the entry: a free one, or its own claim.
    fn is_maker(&self, from: usize, entry: &Entry) -> bool {
        match &entry.state {
            State::Claimed { by, .. } => self.makers.borrow().get(by) == Some(&from),
            state => *state == State::NotRun,
        }
    }

    fn crash(&self) {
        self.tasks.crash();
        let mut asks = self.asks.borrow_mut();
        for (id, (from, name, ask)) in std::mem::take(&mut *asks) {
            match ask {
                Ask::Write {
                    expected, value, ..
                } if from == 0 => {
                    let ghost = Ask::Ghost { expected, value };
                    asks.insert(id, (from, name, ghost));
                }
                Ask::Read(_) | Ask::Held(_) if from == 0 => {}
                ask => drop(asks.insert(id, (from, name, ask))),
            }
        }
    }

    fn tick(&self) {
        let first = self.timers.borrow().keys().next().copied();
        if let Some((at, id)) = first {
            self.elapsed.set(at.max(self.elapsed.get()));
            if let Some(timer) = self.timers.borrow_mut().remove(&(at, id)) {
                let _ = timer.send(());
            }
        }
    }

    fn jump(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
        while self.has_timer() {
            let due = self.timers.borrow().keys().next().copied();
            match due {
                Some((at, _)) if at <= self.elapsed.get() => self.tick(),
                _ => return,
            }
        }
    }

    fn has_timer(&self) -> bool {
        let mut timers = self.timers.borrow_mut();
        timers.retain(|_, timer| !timer.is_canceled());
        !timers.is_empty()
    }

    fn ask(&self, from: usize, name: &str, ask: Ask) {
        let id = self.id();
        let ask = (from, name.to_owned(), ask);
        self.asks.borrow_mut().insert(id, ask);
    }

    /// Returns a number that wasn't returned before.
    pub(crate) fn id(&self) -> usize {
        let id = self.next.get();
        self.next.set(id + 1);
        id
    }
}

/// Makes a backend server's refusal.
fn refusal(reason: Reason, not_run: bool) -> CallReply {
    CallReply {
        failure: Some(wire::Failure {
            reason: reason.into(),
            not_run,
            ..wire::Failure::default()
        }),
        ..CallReply::default()
    }
}

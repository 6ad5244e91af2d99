//! The state outside the instances, and the steps that change it.

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

/// Longer than the callers' timeout.
const PAST_DEADLINES: Duration = Duration::from_secs(2);
/// Longer than the window of valid keys.
const PAST_WINDOW: Duration = Duration::from_secs(20 * 60);

enum StoreRequest {
    Read(oneshot::Sender<Result<Option<Object>, Failure>>),
    Write {
        expected: u64,
        value: Box<RawValue>,
        reply: oneshot::Sender<Result<u64, Failure>>,
    },
    DelayedWrite {
        expected: u64,
        value: Box<RawValue>,
    },
    HeldReply(Box<dyn FnOnce()>),
}

/// A call that the backend server ran.
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
    /// Whether the store accepts writes without checking the expected version.
    unconditional: bool,
    next_id: Cell<usize>,
    version: Cell<u64>,
    objects: RefCell<BTreeMap<String, Object>>,
    /// Pending requests to the store by id: the instance, the object's name and the request.
    store_requests: RefCell<BTreeMap<usize, (usize, String, StoreRequest)>>,
    pending_calls: RefCell<BTreeMap<usize, (CallRequest, oneshot::Sender<CallReply>)>>,
    arrivals: RefCell<VecDeque<(Owner, LocalBoxFuture<'static, ()>)>>,
    /// The instance that made each claim.
    claim_owners: RefCell<BTreeMap<Arc<str>, usize>>,
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
            next_id: Cell::default(),
            version: Cell::default(),
            objects: RefCell::default(),
            store_requests: RefCell::default(),
            pending_calls: RefCell::default(),
            arrivals: RefCell::default(),
            claim_owners: RefCell::default(),
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
        let at = (self.elapsed.get() + duration, self.next_id());
        self.timers.borrow_mut().insert(at, sender);
        receiver
    }

    pub(crate) async fn read(
        &self,
        instance: usize,
        name: &str,
    ) -> Result<Option<Object>, Failure> {
        let (sender, receiver) = oneshot::channel();
        self.enqueue(instance, name, StoreRequest::Read(sender));
        receiver.await.unwrap_or(Err(Failure::Lost))
    }

    pub(crate) async fn write(
        &self,
        instance: usize,
        name: &str,
        expected: u64,
        value: &RawValue,
    ) -> Result<u64, Failure> {
        let (reply, receiver) = oneshot::channel();
        let value = value.to_owned();
        self.enqueue(
            instance,
            name,
            StoreRequest::Write {
                expected,
                value,
                reply,
            },
        );
        receiver.await.unwrap_or(Err(Failure::Lost))
    }

    pub(crate) async fn send(&self, request: CallRequest) -> CallReply {
        let (sender, receiver) = oneshot::channel();
        let id = self.next_id();
        self.pending_calls
            .borrow_mut()
            .insert(id, (request, sender));
        receiver.await.unwrap_or_default()
    }

    /// Writes an object directly into the store.
    pub(crate) fn put(&self, name: &str, value: &str) {
        let value = RawValue::from_string(value.to_owned()).expect("JSON");
        self.set_object(name, value);
    }

    /// Returns the value of an object.
    pub(crate) fn value(&self, name: &str) -> Option<String> {
        let objects = self.objects.borrow();
        objects
            .get(name)
            .map(|object| object.value.get().to_owned())
    }

    /// Returns the states of `key` in the store.
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

    /// Returns the possible steps: first those without a fault, then the faults.
    pub(crate) fn steps(&self) -> Vec<Step> {
        let faults = self.faults.get();
        let mut regular = Vec::new();
        let mut faulty = Vec::new();
        for (&id, (_, _, request)) in &*self.store_requests.borrow() {
            match request {
                StoreRequest::HeldReply(_) => regular.push(Step::ReleaseReply(id)),
                StoreRequest::DelayedWrite { .. } => faulty.push(Step::ApplyDelayed(id)),
                StoreRequest::Read(_) | StoreRequest::Write { .. } => {
                    regular.push(Step::Apply(id));
                    let is_write = matches!(request, StoreRequest::Write { .. });
                    faulty.extend((faults.pauses > 0).then_some(Step::HoldReply(id)));
                    faulty.extend((faults.outages > 0).then_some(Step::StoreUnavailable(id)));
                    faulty.extend(
                        (faults.lost_replies > 0 && is_write).then_some(Step::LoseReply(id)),
                    );
                    faulty.extend(
                        (faults.lost_replies > 0 && is_write).then_some(Step::LoseAndDelay(id)),
                    );
                }
            }
        }
        for &id in self.pending_calls.borrow().keys() {
            regular.push(Step::RunCall(id));
            faulty.extend((faults.lost_call_replies > 0).then_some(Step::LoseCallReply(id)));
            faulty.extend((faults.refusals > 0).then_some(Step::RefuseCall(id)));
        }
        if !self.arrivals.borrow().is_empty() {
            regular.push(Step::Arrive);
        }
        if regular.is_empty() && self.has_timer() {
            regular.push(Step::FireTimer);
        }
        if faults.early_timers > 0
            && !regular.is_empty()
            && !regular.contains(&Step::FireTimer)
            && self.has_timer()
        {
            faulty.push(Step::FireTimer);
        }
        if faults.crashes > 0 && !regular.is_empty() {
            faulty.push(Step::Crash);
        }
        if faults.cancels > 0 && self.tasks.has_caller() {
            faulty.push(Step::Cancel);
        }
        if faults.deadline_jumps > 0 && !regular.is_empty() {
            faulty.push(Step::JumpPastDeadlines);
        }
        if faults.window_jumps > 0 && !regular.is_empty() {
            faulty.push(Step::JumpPastWindow);
        }
        // A delayed write may never arrive: the run ends if nothing else is left.
        if regular.is_empty() {
            return Vec::new();
        }
        regular.extend(faulty);
        regular
    }

    /// Performs one step and runs the instances until they are idle.
    pub(crate) fn perform(&self, step: Step) {
        let mut faults = self.faults.get();
        faults.consume(step);
        self.faults.set(faults);
        match step {
            Step::Arrive => {
                let arrival = self.arrivals.borrow_mut().pop_front();
                let arrival = arrival.into_iter();
                arrival.for_each(|(owner, future)| self.tasks.spawn(owner, future));
            }
            Step::Crash => self.crash(),
            Step::Cancel => self.tasks.cancel(),
            Step::FireTimer => self.fire_next_timer(),
            Step::JumpPastDeadlines => self.advance(PAST_DEADLINES),
            Step::JumpPastWindow => self.skipped.set(self.skipped.get() + PAST_WINDOW),
            Step::RunCall(id) | Step::LoseCallReply(id) | Step::RefuseCall(id) => {
                self.serve(id, step)
            }
            _ => self.handle_store_request(step),
        }
        self.tasks.run_until_idle();
    }

    fn handle_store_request(&self, step: Step) {
        let (Step::Apply(id)
        | Step::HoldReply(id)
        | Step::LoseReply(id)
        | Step::LoseAndDelay(id)
        | Step::StoreUnavailable(id)
        | Step::ReleaseReply(id)
        | Step::ApplyDelayed(id)) = step
        else {
            return;
        };
        let Some((instance, name, request)) = self.store_requests.borrow_mut().remove(&id) else {
            return;
        };
        let reply: Box<dyn FnOnce()> = match request {
            StoreRequest::HeldReply(reply) => reply,
            StoreRequest::DelayedWrite { expected, value } => {
                let _ = self.apply(instance, &name, expected, value);
                return;
            }
            StoreRequest::Read(reply) => {
                let found = match step {
                    Step::StoreUnavailable(_) => Err(Failure::Unavailable),
                    _ => Ok(self.objects.borrow().get(&name).cloned()),
                };
                Box::new(move || drop(reply.send(found)))
            }
            StoreRequest::Write {
                expected,
                value,
                reply,
            } => {
                let written = match step {
                    Step::StoreUnavailable(_) => Err(Failure::Unavailable),
                    Step::LoseAndDelay(_) => {
                        let delayed_write = StoreRequest::DelayedWrite { expected, value };
                        self.store_requests
                            .borrow_mut()
                            .insert(id, (instance, name.clone(), delayed_write));
                        Err(Failure::Lost)
                    }
                    Step::LoseReply(_) => {
                        let _ = self.apply(instance, &name, expected, value);
                        Err(Failure::Lost)
                    }
                    _ => self.apply(instance, &name, expected, value),
                };
                Box::new(move || {
                    let _ = reply.send(written);
                })
            }
        };
        match step {
            Step::HoldReply(_) => {
                self.store_requests
                    .borrow_mut()
                    .insert(id, (instance, name, StoreRequest::HeldReply(reply)));
            }
            _ => reply(),
        }
    }

    fn serve(&self, id: usize, step: Step) {
        let Some((request, reply)) = self.pending_calls.borrow_mut().remove(&id) else {
            return;
        };
        let call_reply = match step {
            Step::RefuseCall(_) => refusal(Reason::Shed, true),
            _ => {
                let request_id = request.head.map(|head| head.request).unwrap_or_default();
                let payload = format!("{{\"ran\":{}}}", request_id[0]);
                self.executions.borrow_mut().push(Execution {
                    key: request.key,
                    request: request_id,
                });
                match step {
                    Step::LoseCallReply(_) => refusal(Reason::Broken, false),
                    _ => CallReply {
                        status: 200,
                        payload: payload.into(),
                        server: "booking-desk-a".to_owned(),
                        ..CallReply::default()
                    },
                }
            }
        };
        drop(reply.send(call_reply));
    }

    fn apply(
        &self,
        instance: usize,
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
        self.check_changes(instance, name, &value);
        Ok(self.set_object(name, value))
    }

    fn set_object(&self, name: &str, value: Box<RawValue>) -> u64 {
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

    /// Records a violation for each entry that `instance` changed or removed without permission.
    fn check_changes(&self, instance: usize, name: &str, value: &RawValue) {
        let before = self.value(name);
        let before = before.and_then(|text| Partition::decode(&text).ok());
        let after = Partition::decode(value.get()).expect("a partition is written");
        for (bucket, entries) in before.unwrap_or_default().buckets {
            for (id, entry) in entries {
                let next = after.buckets.get(&bucket).and_then(|next| next.get(&id));
                let is_allowed = match next {
                    None => (bucket + 1) * 60_000 <= after.floor_ms,
                    Some(next) => entry == *next || self.may_change(instance, &entry),
                };
                if !is_allowed {
                    let change = format!("instance {instance} changed {entry:?} to {next:?}");
                    self.violations.borrow_mut().push(change);
                }
            }
        }
        let entries = after.buckets.into_values().flatten();
        for (_, entry) in entries {
            if let State::Claimed { by, .. } = entry.state {
                self.claim_owners.borrow_mut().entry(by).or_insert(instance);
            }
        }
    }

    /// Returns whether `instance` may change the entry: one that didn't run, or its own claim.
    fn may_change(&self, instance: usize, entry: &Entry) -> bool {
        match &entry.state {
            State::Claimed { by, .. } => self.claim_owners.borrow().get(by) == Some(&instance),
            state => *state == State::NotRun,
        }
    }

    fn crash(&self) {
        self.tasks.crash();
        let mut store_requests = self.store_requests.borrow_mut();
        for (id, (instance, name, request)) in std::mem::take(&mut *store_requests) {
            match request {
                StoreRequest::Write {
                    expected, value, ..
                } if instance == 0 => {
                    let delayed_write = StoreRequest::DelayedWrite { expected, value };
                    store_requests.insert(id, (instance, name, delayed_write));
                }
                StoreRequest::Read(_) | StoreRequest::HeldReply(_) if instance == 0 => {}
                request => drop(store_requests.insert(id, (instance, name, request))),
            }
        }
    }

    fn fire_next_timer(&self) {
        let first = self.timers.borrow().keys().next().copied();
        if let Some((at, id)) = first {
            self.elapsed.set(at.max(self.elapsed.get()));
            if let Some(timer) = self.timers.borrow_mut().remove(&(at, id)) {
                let _ = timer.send(());
            }
        }
    }

    fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
        while self.has_timer() {
            let due = self.timers.borrow().keys().next().copied();
            match due {
                Some((at, _)) if at <= self.elapsed.get() => self.fire_next_timer(),
                _ => return,
            }
        }
    }

    fn has_timer(&self) -> bool {
        let mut timers = self.timers.borrow_mut();
        timers.retain(|_, timer| !timer.is_canceled());
        !timers.is_empty()
    }

    fn enqueue(&self, instance: usize, name: &str, request: StoreRequest) {
        let id = self.next_id();
        let request = (instance, name.to_owned(), request);
        self.store_requests.borrow_mut().insert(id, request);
    }

    /// Returns a new unique number.
    pub(crate) fn next_id(&self) -> usize {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }
}

/// Returns a backend server's refusal.
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

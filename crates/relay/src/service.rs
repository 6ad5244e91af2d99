//! The servers of one service, and the queue of requests that wait for one of them.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use config::preset::Class;
use futures_channel::oneshot;
use futures_util::future::{
    select,
    Either, //
};
use monoio::time::timeout;
use policy::{
    admission, choice,
    queue::{
        Key,
        Priority,
        Push,
        Queue,
        Rank, //
    },
    retry_budget::{
        Bound,
        Budget,
        Purpose, //
    },
};

use crate::{
    drain::Drain,
    links::Links,
    server::Server, //
};

/// Maximum number of requests that wait for a server of one service; more couldn't be served in time.
const MAX_QUEUED: usize = 64;
/// Time that a server has for a request of an instance that shuts down, as a multiple of the baseline latency.
const DRAIN_BASELINES: u32 = 4;

/// Why no server was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service is available.
    NoServer,
    /// The wait would be too long, or the queue or the retry budget is used up.
    Busy,
    /// The request timed out in the queue.
    Late,
    /// The instance shuts down before a server would have answered.
    Leaving,
}

/// Queue order, deadlines and baseline latency of a request.
#[derive(Debug, Clone, Copy)]
pub struct Scheduling {
    /// Priority class, by which the queue is ordered first.
    pub class: Class,
    /// When it stops waiting for a server; a request that is sent later would be answered too late.
    pub wait_until: Instant,
    /// Until when it may wait after that, behind all requests that can still be answered in time.
    pub late_until: Instant,
    /// Whether it can't be answered in time any more.
    pub is_late: bool,
    /// When its answer must be sent to meet the latency objective.
    pub answer_by: Instant,
    /// When its answer is no longer of use.
    pub deadline: Instant,
    /// Order in which requests are shed.
    pub rank: Rank,
    /// Baseline latency of its route.
    pub baseline: Duration,
    /// Latency objective of its route.
    pub objective: Duration,
}

impl Scheduling {
    fn priority(&self) -> Priority {
        Priority {
            is_late: self.is_late,
            class: self.class,
        }
    }

    /// Returns how the request waits once it can't be answered in time any more; none if it doesn't.
    fn late(self) -> Option<Self> {
        (self.late_until > self.wait_until).then_some(Self {
            wait_until: self.late_until,
            is_late: true,
            ..self
        })
    }

    /// Returns the time that a server is expected to need at the most.
    pub(crate) fn service_time(&self) -> Duration {
        (self.baseline * DRAIN_BASELINES).min(self.objective)
    }
}

/// The servers, the queue and the retry budget of a service.
#[derive(Debug)]
pub struct Service {
    name: Arc<str>,
    zone: Arc<str>,
    servers: RefCell<Vec<Rc<Server>>>,
    queue: RefCell<Queue<oneshot::Sender<()>>>,
    budget: RefCell<Budget>,
    /// Links to backend servers; none for peers.
    links: Option<Rc<Links>>,
    drain: Rc<Drain>,
    last_exchange: Cell<u64>,
}

enum Choice {
    Server(Rc<Server>),
    Busy,
    None,
}

impl Service {
    pub(crate) fn new(
        name: Arc<str>,
        zone: Arc<str>,
        budget: Budget,
        links: Option<Rc<Links>>,
        drain: Rc<Drain>,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            zone,
            servers: RefCell::default(),
            queue: RefCell::new(Queue::new(MAX_QUEUED)),
            budget: RefCell::new(budget),
            links,
            drain,
            last_exchange: Cell::new(0),
        })
    }

    /// Returns the name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the links to backend servers; none for peers.
    pub(crate) fn links(&self) -> Option<&Rc<Links>> {
        self.links.as_ref()
    }

    /// Returns the shutdown of this instance.
    pub(crate) fn drain(&self) -> &Drain {
        &self.drain
    }

    /// Returns the servers, sorted by id so that all instances have the same order.
    pub fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().clone()
    }

    pub(crate) fn add(&self, server: Rc<Server>) {
        let mut servers = self.servers.borrow_mut();
        servers.push(server);
        servers.sort_by(|one, other| one.id().cmp(other.id()));
        drop(servers);
        self.wake_next();
    }

    pub(crate) fn remove(&self, server: &Rc<Server>) {
        self.servers
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, server));
    }

    pub(crate) fn share_budget(&self, bound: Bound, instances: usize) {
        let now = Instant::now();
        self.budget.borrow_mut().set_limit(bound, instances, now);
    }

    pub(crate) fn count_initial(&self, now: Instant) {
        self.budget.borrow_mut().count_initial(now);
    }

    pub(crate) fn take_budget(&self, now: Instant, purpose: Purpose) -> bool {
        self.budget.borrow_mut().take(now, purpose)
    }

    pub(crate) fn refund_budget(&self, now: Instant) {
        self.budget.borrow_mut().refund(now);
    }

    pub(crate) fn next_exchange(&self) -> u64 {
        let number = self.last_exchange.get() + 1;
        self.last_exchange.set(number);
        number
    }

    /// Returns whether any server is eligible for work now.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let servers = self.servers.borrow();
        servers
            .iter()
            .any(|server| server.is_available(now) || server.is_last_resort(now))
    }

    /// Returns the number of servers that are eligible for work now.
    pub(crate) fn available(&self, now: Instant) -> usize {
        let servers = self.servers.borrow();
        servers.iter().filter(|one| one.is_available(now)).count()
    }

    /// Returns the slowness of the fastest server that is eligible for work now; 1 if there is none.
    pub(crate) fn min_slowness(&self, now: Instant) -> f64 {
        let servers = self.servers.borrow();
        let available = servers.iter().filter(|one| one.is_available(now));
        available
            .map(|one| one.slowness(now))
            .reduce(f64::min)
            .unwrap_or(1.0)
    }

    /// Returns the time until the first of the servers that want no requests takes some again; none if there is
    /// no such server.
    pub(crate) fn pause_left(&self, now: Instant) -> Option<Duration> {
        let servers = self.servers.borrow();
        servers
            .iter()
            .filter_map(|server| server.pause_left(now))
            .min()
    }

    /// Returns the time until there is room again, if servers want no requests for a while or rate limits are used
    /// up; none otherwise.
    pub(crate) fn room_after(&self, now: Instant, scheduling: Scheduling) -> Option<Duration> {
        let is_limited = self.limit_wait(now).is_some();
        let queue_wait = || is_limited.then(|| self.expected_wait(now, scheduling));
        self.pause_left(now).or_else(queue_wait)
    }

    /// Returns a free server that isn't among `tried`, if there is one now.
    pub(crate) fn try_choose(
        &self,
        baseline: Duration,
        tried: &[Rc<Server>],
    ) -> Option<Rc<Server>> {
        match self.choose(Instant::now(), baseline, tried) {
            Choice::Server(server) => Some(server),
            _ => None,
        }
    }

    /// Waits for a free server that isn't among `tried`.
    ///
    /// # Errors
    ///
    /// Fails at once if no server is available or the expected wait is too long, and later if the request
    /// is displaced from the queue or times out in it. Also fails if the instance shuts down before a server would have
    /// answered.
    pub(crate) async fn choose_or_wait(
        &self,
        scheduling: Scheduling,
        tried: &[Rc<Server>],
    ) -> Result<Rc<Server>, Refusal> {
        loop {
            let now = Instant::now();
            if now > self.drain.limit_start(now, scheduling.service_time()) {
                return Err(Refusal::Leaving);
            }
            match self.choose(now, scheduling.baseline, tried) {
                Choice::Server(server) => return Ok(server),
                Choice::None => return Err(Refusal::NoServer),
                Choice::Busy => self.wait(now, scheduling).await?,
            }
        }
    }

    /// Returns how long a request would wait for a free server; none if no server is available.
    pub(crate) fn wait_for(&self, now: Instant, scheduling: Scheduling) -> Option<Duration> {
        match self.choose(now, scheduling.baseline, &[]) {
            Choice::Server(_) => Some(Duration::ZERO),
            Choice::Busy => Some(self.expected_wait(now, scheduling)),
            Choice::None => None,
        }
    }

    /// Returns the expected time until a request that is queued now has been served.
    fn expected_wait(&self, now: Instant, scheduling: Scheduling) -> Duration {
        let ahead = self
            .queue
            .borrow()
            .ahead(scheduling.priority(), scheduling.deadline);
        let servers = self.servers.borrow();
        let available = servers.iter().filter(|server| server.is_available(now));
        let each = available.map(|server| server.throughput(now, scheduling.baseline));
        admission::estimate_wait_at_rate(ahead, each.sum())
    }

    /// Returns the time until the rate limit of a server allows a request again; none if no server that is
    /// available waits for that.
    fn limit_wait(&self, now: Instant) -> Option<Duration> {
        let servers = self.servers.borrow();
        let available = servers.iter().filter(|server| server.is_available(now));
        let waits = available.map(|server| server.limit_wait(now));
        waits.filter(|wait| !wait.is_zero()).min()
    }

    /// Waits for a server; a request that may be late waits behind all others once it can't be in time.
    async fn wait(&self, now: Instant, scheduling: Scheduling) -> Result<(), Refusal> {
        match scheduling.late() {
            Some(late) if now >= scheduling.wait_until => self.wait_in_queue(now, late).await,
            Some(late) => match self.wait_in_queue(now, scheduling).await {
                Err(Refusal::Late | Refusal::Busy) => {
                    self.wait_in_queue(Instant::now(), late).await
                }
                result => result,
            },
            None => self.wait_in_queue(now, scheduling).await,
        }
    }

    async fn wait_in_queue(&self, now: Instant, scheduling: Scheduling) -> Result<(), Refusal> {
        if self.expected_wait(now, scheduling) > self.wait_left(now, scheduling) {
            return Err(self.late_refusal(Refusal::Busy));
        }
        let (sender, receiver) = oneshot::channel();
        let pushed = self.queue.borrow_mut().push(
            scheduling.priority(),
            scheduling.deadline,
            scheduling.rank,
            sender,
        );
        let key = match pushed {
            Push::Queued(key) | Push::Displaced(key, _) => key,
            Push::Full(_) => return Err(Refusal::Busy),
        };
        let _guard = QueueGuard { service: self, key };
        self.wait_for_turn(receiver, scheduling).await
    }

    /// Returns how long a request may still wait for a server.
    fn wait_left(&self, now: Instant, scheduling: Scheduling) -> Duration {
        let wait_until = self
            .drain
            .limit_start(scheduling.wait_until, scheduling.service_time());
        wait_until.saturating_duration_since(now)
    }

    /// Returns why a request that would be served too late is refused: `refusal`, or the shutdown.
    fn late_refusal(&self, refusal: Refusal) -> Refusal {
        match self.drain.has_started() {
            true => Refusal::Leaving,
            false => refusal,
        }
    }

    /// Waits until a request at the head of the queue is woken, as an exchange has ended or a rate limit allows
    /// a request. When the instance starts to shut down, a request that would wait for too long is refused at once.
    async fn wait_for_turn(
        &self,
        mut receiver: oneshot::Receiver<()>,
        scheduling: Scheduling,
    ) -> Result<(), Refusal> {
        loop {
            let now = Instant::now();
            let time_left = self.wait_left(now, scheduling);
            let limit_wait = self.limit_wait(now).filter(|wait| *wait < time_left);
            let drain_changed = pin!(self.drain.changed());
            let turn_or_drain = select(&mut receiver, drain_changed);
            match timeout(limit_wait.unwrap_or(time_left), turn_or_drain).await {
                Ok(Either::Left((Ok(()), _))) => return Ok(()),
                Ok(Either::Left((Err(_), _))) => return Err(Refusal::Busy),
                Ok(Either::Right(_)) => {
                    let now = Instant::now();
                    let expected_wait = self.expected_wait(now, scheduling);
                    if expected_wait > self.wait_left(now, scheduling) {
                        return Err(Refusal::Leaving);
                    }
                }
                Err(_) if limit_wait.is_some() => self.wake_next(),
                Err(_) => return Err(self.late_refusal(Refusal::Late)),
            }
        }
    }

    /// Wakes the first request in the queue to choose a server again.
    pub(crate) fn wake_next(&self) {
        loop {
            let next = self.queue.borrow_mut().pop();
            // A request that has stopped waiting is skipped.
            match next.map(|waiter| waiter.send(())) {
                Some(Err(())) => {}
                _ => return,
            }
        }
    }

    fn choose(&self, now: Instant, baseline: Duration, tried: &[Rc<Server>]) -> Choice {
        let servers = self.servers.borrow();
        let untried = |server: &&Rc<Server>| !server.is_among(tried);
        let pick = |may_get_work: &dyn Fn(&Server) -> bool| {
            let all = servers.iter().filter(untried);
            let eligible: Vec<&Rc<Server>> = all.filter(|server| may_get_work(server)).collect();
            if eligible.is_empty() {
                return Choice::None;
            }
            let candidates = eligible
                .iter()
                .map(|server| server.candidate(now, &self.zone, baseline));
            match choice::best(candidates.enumerate()) {
                Some(index) => Choice::Server(eligible[index].clone()),
                None => Choice::Busy,
            }
        };
        let is_available = |server: &Server| server.is_available(now);
        let is_reliable = |server: &Server| server.is_available(now) && !server.is_unreliable();
        // A sub-request that is shed takes a retry.
        let avoids_unreliable = tried.is_empty()
            && servers.iter().any(|server| server.is_unreliable())
            && !self.budget.borrow().allows_retry(now);
        let preferred = match avoids_unreliable {
            true => pick(&is_reliable),
            false => Choice::None,
        };
        let available = match preferred {
            Choice::None => pick(&is_available),
            choice => choice,
        };
        match available {
            Choice::None => pick(&|server| server.is_last_resort(now)),
            choice => choice,
        }
    }
}

/// Removes a request from the queue when it stops waiting.
struct QueueGuard<'a> {
    service: &'a Service,
    key: Key,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.service.queue.borrow_mut().remove(&self.key);
    }
}

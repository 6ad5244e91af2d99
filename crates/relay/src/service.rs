//! The servers of one service, and the requests that wait for one of them.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use config::preset::Class;
use futures_channel::oneshot;
use monoio::time::timeout;
use policy::{
    admission, choice,
    extra::{
        Bound,
        Budget,
        Purpose, //
    },
    queue::{
        Deadline,
        Key,
        Push,
        Rank, //
    },
};

use crate::server::Server;

/// Requests that wait for a server of one service at most; more couldn't be served in time.
const QUEUE: usize = 64;

/// Why a request gets no server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service can be used.
    NoServer,
    /// It would wait too long.
    Busy,
    /// Its time ran out in the queue.
    Late,
}

/// Place of a request among those that wait.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// Class that it is ordered by first.
    pub class: Class,
    /// When it must have a server; one that gets it later isn't of use.
    pub wait_until: Instant,
    /// When its answer is needed to be of full use.
    pub answer_by: Instant,
    /// When it is of no use any more.
    pub deadline: Instant,
    /// Order in which requests are kept when not all can be.
    pub rank: Rank,
    /// Latency that is usual for it.
    pub usual: Duration,
}

/// A service.
#[derive(Debug)]
pub struct Service {
    name: Arc<str>,
    zone: Arc<str>,
    servers: RefCell<Vec<Rc<Server>>>,
    queue: RefCell<Deadline<oneshot::Sender<()>>>,
    budget: RefCell<Budget>,
    exchanges: Cell<u64>,
}

enum Choice {
    Server(Rc<Server>),
    Busy,
    None,
}

impl Service {
    pub(crate) fn new(name: Arc<str>, zone: Arc<str>, budget: Budget) -> Rc<Self> {
        Rc::new(Self {
            name,
            zone,
            servers: RefCell::default(),
            queue: RefCell::new(Deadline::new(QUEUE)),
            budget: RefCell::new(budget),
            exchanges: Cell::new(0),
        })
    }

    /// Returns the name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the servers, in an order that all instances share.
    pub fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().clone()
    }

    pub(crate) fn add(&self, server: Rc<Server>) {
        let mut servers = self.servers.borrow_mut();
        servers.push(server);
        servers.sort_by(|one, other| one.id().cmp(other.id()));
        drop(servers);
        self.wake();
    }

    pub(crate) fn remove(&self, server: &Rc<Server>) {
        self.servers
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, server));
    }

    pub(crate) fn share_budget(&self, bound: Bound, instances: usize) {
        let now = Instant::now();
        self.budget.borrow_mut().share(bound, instances, now);
    }

    pub(crate) fn count_first(&self, now: Instant) {
        self.budget.borrow_mut().first(now);
    }

    pub(crate) fn take_extra(&self, now: Instant, purpose: Purpose) -> bool {
        self.budget.borrow_mut().take(now, purpose)
    }

    pub(crate) fn refund_extra(&self, now: Instant) {
        self.budget.borrow_mut().refund(now);
    }

    pub(crate) fn next_exchange(&self) -> u64 {
        let number = self.exchanges.get() + 1;
        self.exchanges.set(number);
        number
    }

    /// Returns whether any server may get work now.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let servers = self.servers.borrow();
        servers
            .iter()
            .any(|server| server.is_usual(now) || server.is_last_resort(now))
    }

    /// Returns a free server that isn't among `tried`, without waiting for one.
    pub(crate) fn choose_now(&self, usual: Duration, tried: &[Rc<Server>]) -> Option<Rc<Server>> {
        match self.choose(Instant::now(), usual, tried) {
            Choice::Server(server) => Some(server),
            _ => None,
        }
    }

    /// Returns a free server that isn't among `tried`, once there is one.
    ///
    /// # Errors
    ///
    /// Fails at once if no server can be used or the wait would be too long.
    pub(crate) async fn choose_soon(
        &self,
        place: Place,
        tried: &[Rc<Server>],
    ) -> Result<Rc<Server>, Refusal> {
        loop {
            let now = Instant::now();
            match self.choose(now, place.usual, tried) {
                Choice::Server(server) => return Ok(server),
                Choice::None => return Err(Refusal::NoServer),
                Choice::Busy => self.wait(now, place).await?,
            }
        }
    }

    /// Returns how long a request would wait for a free server, if there is a server at all.
    pub(crate) fn wait_for(&self, now: Instant, place: Place) -> Option<Duration> {
        match self.choose(now, place.usual, &[]) {
            Choice::Server(_) => Some(Duration::ZERO),
            Choice::Busy => Some(self.estimate(now, place)),
            Choice::None => None,
        }
    }

    /// Returns the time until a request that is queued now has been served.
    fn estimate(&self, now: Instant, place: Place) -> Duration {
        let ahead = self.queue.borrow().ahead(place.class, place.deadline);
        let servers = self.servers.borrow();
        let usual = servers.iter().filter(|server| server.is_usual(now));
        let (mut at_once, mut rate) = (0, 0.0);
        for server in usual {
            at_once += server.usable(now);
            rate += server.rate(now, place.usual);
        }
        admission::until_served(ahead, at_once, rate)
    }

    async fn wait(&self, now: Instant, place: Place) -> Result<(), Refusal> {
        let left = place.wait_until.saturating_duration_since(now);
        if self.estimate(now, place) > left {
            return Err(Refusal::Busy);
        }
        let (sender, receiver) = oneshot::channel();
        let pushed = self
            .queue
            .borrow_mut()
            .push(place.class, place.deadline, place.rank, sender);
        let key = match pushed {
            Push::Queued(key) | Push::Displaced(key, _) => key,
            Push::Full(_) => return Err(Refusal::Busy),
        };
        let _turn = Turn { service: self, key };
        match timeout(left, receiver).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Refusal::Busy),
            Err(_) => Err(Refusal::Late),
        }
    }

    /// Lets the first request that waits look for a server again.
    pub(crate) fn wake(&self) {
        loop {
            let next = self.queue.borrow_mut().pop();
            // One that has stopped waiting takes no turn.
            match next.map(|waiter| waiter.send(())) {
                Some(Err(())) => {}
                _ => return,
            }
        }
    }

    fn choose(&self, now: Instant, usual: Duration, tried: &[Rc<Server>]) -> Choice {
        let servers = self.servers.borrow();
        let untried = |server: &&Rc<Server>| !tried.iter().any(|one| Rc::ptr_eq(one, server));
        let pick = |may_work: &dyn Fn(&Server) -> bool| {
            let all = servers.iter().filter(untried);
            let fit: Vec<&Rc<Server>> = all.filter(|server| may_work(server)).collect();
            if fit.is_empty() {
                return Choice::None;
            }
            let candidates = fit
                .iter()
                .map(|server| server.candidate(now, &self.zone, usual));
            match choice::best(candidates.enumerate()) {
                Some(index) => Choice::Server(fit[index].clone()),
                None => Choice::Busy,
            }
        };
        match pick(&|server| server.is_usual(now)) {
            Choice::None => pick(&|server| server.is_last_resort(now)),
            choice => choice,
        }
    }
}

/// Takes a request out of the queue when it stops waiting.
struct Turn<'a> {
    service: &'a Service,
    key: Key,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.service.queue.borrow_mut().remove(&self.key);
    }
}

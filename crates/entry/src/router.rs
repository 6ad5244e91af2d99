//! Finds the instance that does a piece of work and hands the work to it.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use config::Preset;
use fleet::{
    Fleet,
    Member, //
};
use futures_channel::oneshot;
use monoio::time::timeout;
use platform::Store;
use policy::retry;
use pool::Pool;
use wire::{
    client::{
        Error,
        Peers, //
    },
    CallReply,
    CallRequest,
    Failure,
    Reason, //
};

use crate::reach::{
    self,
    Reach, //
};

/// Parts that may move to another instance at once, whatever the recent load.
const MOVES: f64 = 64.0;
/// Time that the reply of a peer may take over the deadline of its work.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// What routing needs of an instance.
#[derive(Debug)]
pub struct Router<S> {
    /// The members and what they own.
    pub fleet: Rc<Fleet<S>>,
    /// This instance's connections to backend servers.
    pub pool: Rc<Pool>,
    /// Connections to peers.
    pub peers: Peers,
    reach: Rc<Reach>,
    moves: RefCell<retry::Budget>,
}

impl<S: Store> Router<S> {
    /// Makes a router over an instance's parts.
    pub fn new(fleet: Rc<Fleet<S>>, pool: Rc<Pool>, peers: Peers) -> Rc<Self> {
        let share = Preset::default().retry_budget;
        Rc::new(Self {
            fleet,
            pool,
            peers,
            reach: Rc::default(),
            moves: RefCell::new(retry::Budget::with_burst(share, MOVES)),
        })
    }

    /// Returns the members that may run parts of `service`: owner and substitutes, those that were
    /// silent a moment ago last.
    pub fn targets(&self, service: &str) -> Vec<Rc<Member>> {
        self.silent_last(self.fleet.owners(service))
    }

    /// Returns the members that may be home to ledger partition `partition`, those that were silent a
    /// moment ago last. Two homes may work on one partition.
    pub fn homes(&self, partition: u32) -> Vec<Rc<Member>> {
        self.silent_last(self.fleet.homes(partition))
    }

    fn silent_last(&self, members: Vec<Rc<Member>>) -> Vec<Rc<Member>> {
        let (silent, mut ordered): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|member| self.reach.is_avoided(&member.name));
        ordered.extend(silent);
        ordered
    }

    /// Returns the member of rank `rank`, from 0, among the targets of `service`.
    pub fn target(&self, service: &str, rank: usize) -> Option<Rc<Member>> {
        match self.reach.is_calm() {
            true => self.fleet.shared_owners(service).get(rank).cloned(),
            false => self.targets(service).into_iter().nth(rank),
        }
    }

    /// Takes in the preset that bounds how many parts may move to another instance.
    pub fn update(&self, preset: &Preset) {
        self.moves.borrow_mut().set_share(preset.retry_budget);
    }

    /// Counts `parts` that are sent for the first time.
    pub fn earn(&self, parts: usize) {
        let mut moves = self.moves.borrow_mut();
        (0..parts).for_each(|_| moves.earn());
    }

    /// Takes the token for moving one part that may have run already.
    pub fn may_move(&self) -> bool {
        self.moves.borrow_mut().take()
    }

    /// Takes note that `member` is lost: it is avoided for a moment, and suspected.
    pub fn lost(&self, member: &Member) {
        self.reach.silent(&member.name);
        self.fleet.request_probe(&member.name);
    }

    /// Returns whether `member` answers a probe in the time that it usually takes; one that doesn't
    /// is lost until it answers.
    pub async fn is_alive(&self, member: &Member) -> bool {
        let (answer, answered) = oneshot::channel();
        let (peers, reach) = (self.peers.clone(), self.reach.clone());
        let (name, address) = (member.name.clone(), member.address);
        monoio::spawn(async move {
            let started = Instant::now();
            let reply = timeout(reach::WAIT_MAX, peers.probe(address, probe(&name))).await;
            let alive = matches!(reply, Ok(Ok(reply)) if reply.alive);
            if alive {
                reach.answered(&name, started.elapsed());
            }
            let _ = answer.send(alive);
        });
        let answered = timeout(self.reach.wait(&member.name), answered).await;
        let alive = matches!(answered, Ok(Ok(true)));
        if !alive {
            self.lost(member);
        }
        alive
    }

    /// Sends a call through the owner of its service.
    ///
    /// A call with a key leaves for at most one backend server: once a byte may have left, no other
    /// owner is tried. A call without a key is tried at one more owner.
    pub async fn send(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let mut last = refusal(Reason::Unreachable, true);
        for owner in self.targets(&request.service).iter().take(2) {
            let reply = match self.fleet.is_local(owner) {
                true => Ok(self.pool.run_call(request.clone(), deadline).await),
                false => self.send_to(owner, request.clone(), deadline).await,
            };
            match reply {
                Ok(reply) => return after(&last, reply),
                Err(Error::Unreachable) => self.lost(owner),
                Err(Error::Broken) => {
                    last = refusal(Reason::Broken, false);
                    if !request.key.is_empty() {
                        return last;
                    }
                }
            }
        }
        last
    }

    async fn send_to(
        &self,
        owner: &Member,
        mut request: CallRequest,
        deadline: Instant,
    ) -> Result<CallReply, Error> {
        let left = deadline.saturating_duration_since(Instant::now());
        if let Some(head) = &mut request.head {
            head.budget_us = left.as_micros() as u64;
        }
        timeout(left + REPLY_MARGIN, self.peers.send(owner.address, request))
            .await
            .unwrap_or(Err(Error::Broken))
    }
}

impl<S: Store> ledger::Dispatch for Router<S> {
    async fn send(&self, request: CallRequest, deadline: Instant) -> CallReply {
        Router::send(self, request, deadline).await
    }
}

fn probe(name: &str) -> wire::ProbeRequest {
    wire::ProbeRequest {
        target: Some(wire::Member {
            name: name.to_owned(),
            ..wire::Member::default()
        }),
    }
}

/// Returns `reply` as it is true after an earlier owner ended with `last`, which may have run the call.
pub fn after(last: &CallReply, mut reply: CallReply) -> CallReply {
    let ran = last.failure.as_ref().is_some_and(|last| !last.not_run);
    if let Some(failure) = &mut reply.failure {
        failure.not_run &= !ran;
    }
    reply
}

/// Makes the reply to a call that failed.
pub fn refusal(reason: Reason, not_run: bool) -> CallReply {
    CallReply {
        failure: Some(Failure {
            reason: reason.into(),
            not_run,
            ..Failure::default()
        }),
        ..CallReply::default()
    }
}

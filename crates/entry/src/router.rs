//! Finds the instances that may do a piece of work, and sends calls to them.

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

use crate::reachability::{
    self,
    Reachability, //
};

/// Number of parts that may move to another instance in a burst, whatever the recent load.
const MOVE_BURST: f64 = 64.0;
/// Time after the deadline within which the reply of a peer may still arrive.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Selects instances by ownership and reachability.
#[derive(Debug)]
pub struct Router<S> {
    /// Members, ownership and documents.
    pub fleet: Rc<Fleet<S>>,
    /// This instance's connections to backend servers.
    pub pool: Rc<Pool>,
    /// Connections to peers.
    pub peers: Peers,
    reachability: Rc<Reachability>,
    move_budget: RefCell<retry::Budget>,
}

impl<S: Store> Router<S> {
    /// Creates a router with a full budget for moving parts.
    pub fn new(fleet: Rc<Fleet<S>>, pool: Rc<Pool>, peers: Peers) -> Rc<Self> {
        let share = Preset::default().retry_budget;
        Rc::new(Self {
            fleet,
            pool,
            peers,
            reachability: Rc::default(),
            move_budget: RefCell::new(retry::Budget::with_burst(share, MOVE_BURST)),
        })
    }

    /// Returns the members that may run parts of `service`, the owner first, except that members
    /// which were unresponsive recently come last.
    pub fn targets(&self, service: &str) -> Vec<Rc<Member>> {
        self.unresponsive_last(self.fleet.owners(service))
    }

    /// Returns the members that may be the home instance of ledger partition `partition`, the home
    /// instance first, except that members which were unresponsive recently come last.
    ///
    /// Two instances may act as the home instance of one partition at the same time.
    pub fn homes(&self, partition: u32) -> Vec<Rc<Member>> {
        self.unresponsive_last(self.fleet.homes(partition))
    }

    fn unresponsive_last(&self, members: Vec<Rc<Member>>) -> Vec<Rc<Member>> {
        let (avoided, mut ordered): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|member| self.reachability.is_avoided(&member.name));
        ordered.extend(avoided);
        ordered
    }

    /// Returns the member at position `rank`, from 0, in [`targets`](Self::targets) of `service`.
    pub fn target(&self, service: &str, rank: usize) -> Option<Rc<Member>> {
        match self.reachability.avoids_none() {
            true => self.fleet.shared_owners(service).get(rank).cloned(),
            false => self.targets(service).into_iter().nth(rank),
        }
    }

    /// Applies the retry budget of `preset` to the moves of parts.
    pub fn update(&self, preset: &Preset) {
        self.move_budget.borrow_mut().set_share(preset.retry_budget);
    }

    /// Adds the share of a move that each of `parts`, sent for the first time, earns.
    pub fn earn_moves(&self, parts: usize) {
        let mut budget = self.move_budget.borrow_mut();
        (0..parts).for_each(|_| budget.earn());
    }

    /// Takes the token for moving one part that may have run already; returns whether there was one.
    pub fn take_move(&self) -> bool {
        self.move_budget.borrow_mut().take()
    }

    /// Avoids `member` for a while and has the membership protocol probe it, after a call or probe
    /// failed.
    pub fn report_unresponsive(&self, member: &Member) {
        self.reachability.avoid(&member.name);
        self.fleet.request_probe(&member.name);
    }

    /// Returns whether `member` replies to a probe within its
    /// [`probe_timeout`](Reachability::probe_timeout).
    ///
    /// A member that doesn't reply in time is reported as unresponsive; a later reply clears that.
    pub async fn is_alive(&self, member: &Member) -> bool {
        let (sender, receiver) = oneshot::channel();
        let (peers, reachability) = (self.peers.clone(), self.reachability.clone());
        let (name, address) = (member.name.clone(), member.address);
        monoio::spawn(async move {
            let started = Instant::now();
            let reply = timeout(
                reachability::MAX_PROBE_TIMEOUT,
                peers.probe(address, probe(&name)),
            )
            .await;
            let alive = matches!(reply, Ok(Ok(reply)) if reply.alive);
            if alive {
                reachability.record_reply(&name, started.elapsed());
            }
            let _ = sender.send(alive);
        });
        let outcome = timeout(self.reachability.probe_timeout(&member.name), receiver).await;
        let alive = matches!(outcome, Ok(Ok(true)));
        if !alive {
            self.report_unresponsive(member);
        }
        alive
    }

    /// Sends a call through the owner of its service.
    ///
    /// A call with a key is sent to at most one backend server: once a byte may have been sent, no
    /// other owner is tried. A call without a key is retried at one more owner.
    pub async fn send(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let mut last = failed_reply(Reason::Unreachable, true);
        for owner in self.targets(&request.service).iter().take(2) {
            let reply = match self.fleet.is_local(owner) {
                true => Ok(self.pool.run_call(request.clone(), deadline).await),
                false => self.send_to(owner, request.clone(), deadline).await,
            };
            match reply {
                Ok(reply) => return keep_may_have_run(&last, reply),
                Err(Error::Unreachable) => self.report_unresponsive(owner),
                Err(Error::Broken) => {
                    last = failed_reply(Reason::Broken, false);
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
        let remaining = deadline.saturating_duration_since(Instant::now());
        if let Some(head) = &mut request.head {
            head.budget_us = remaining.as_micros() as u64;
        }
        timeout(
            remaining + REPLY_MARGIN,
            self.peers.send(owner.address, request),
        )
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

/// Returns `reply`, but without its claim that the call has not run if an earlier owner, which replied
/// `earlier`, may have run it.
pub fn keep_may_have_run(earlier: &CallReply, mut reply: CallReply) -> CallReply {
    let may_have_run = earlier
        .failure
        .as_ref()
        .is_some_and(|earlier| !earlier.not_run);
    if let Some(failure) = &mut reply.failure {
        failure.not_run &= !may_have_run;
    }
    reply
}

/// Returns the reply for a call that failed with `reason`.
pub fn failed_reply(reason: Reason, not_run: bool) -> CallReply {
    CallReply {
        failure: Some(Failure {
            reason: reason.into(),
            not_run,
            ..Failure::default()
        }),
        ..CallReply::default()
    }
}

//! Finds the instance that does a piece of work and hands the work to it.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use fleet::{
    Fleet,
    Member, //
};
use monoio::time::timeout;
use platform::Store;
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

/// Longest wait for a peer's sign of life.
const PROBE: Duration = Duration::from_millis(50);
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
}

impl<S: Store> Router<S> {
    /// Makes a router over an instance's parts.
    pub fn new(fleet: Rc<Fleet<S>>, pool: Rc<Pool>, peers: Peers) -> Rc<Self> {
        Rc::new(Self { fleet, pool, peers })
    }

    /// Returns whether `member` answers at once; one that doesn't is suspected.
    pub async fn is_alive(&self, member: &Member) -> bool {
        let probe = wire::ProbeRequest {
            target: Some(wire::Member {
                name: member.name.to_string(),
                ..wire::Member::default()
            }),
        };
        let answered = timeout(PROBE, self.peers.probe(member.address, probe)).await;
        let alive = matches!(answered, Ok(Ok(reply)) if reply.alive);
        if !alive {
            self.fleet.suspect(&member.name);
        }
        alive
    }

    /// Sends a call through the owner of its service.
    ///
    /// A call with a key leaves for at most one backend server: once a byte may have left, no other
    /// owner is tried. A call without a key is tried at one more owner.
    pub async fn send(&self, request: CallRequest, deadline: Instant) -> CallReply {
        let owners = self.fleet.owners(&request.service);
        let mut last = refusal(Reason::Unreachable, true);
        for owner in owners.iter().take(2) {
            if self.fleet.is_me(owner) {
                return self.pool.send(request, deadline).await;
            }
            match self.send_to(owner, request.clone(), deadline).await {
                Ok(reply) => return reply,
                Err(Error::Unreachable) => self.fleet.suspect(&owner.name),
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

//! The work that other instances send here.

use std::{
    future::Future,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use fleet::Fleet;
use futures_util::{
    stream::FuturesUnordered,
    StreamExt, //
};
use ledger::Ledger;
use monoio::time::timeout;
use platform::Store;
use pool::{
    PartRequest,
    Pool, //
};
use wire::{
    server::{
        Handler,
        Sink, //
    },
    CallReply,
    CallRequest,
    CancelReply,
    CancelRequest,
    GossipMessage,
    Head,
    Partial,
    ProbeReply,
    ProbeRequest,
    ScatterRequest,
    SyncReply,
    SyncRequest, //
};

use crate::router::Router;

/// Longest time that a partial waits for the others of its batch.
const GATHER: Duration = Duration::from_millis(4);

/// Answers the calls of peers.
#[derive(Debug)]
pub struct Peer<S> {
    fleet: Rc<Fleet<S>>,
    pool: Rc<Pool>,
    ledger: Rc<Ledger<S, Router<S>>>,
    name: String,
}

impl<S: Store> Peer<S> {
    /// Makes the handler of the instance `name`.
    pub fn new(name: String, router: &Router<S>, ledger: Rc<Ledger<S, Router<S>>>) -> Rc<Self> {
        Rc::new(Self {
            fleet: router.fleet.clone(),
            pool: router.pool.clone(),
            ledger,
            name,
        })
    }
}

impl<S: Store> Handler for Peer<S> {
    async fn scatter(&self, request: ScatterRequest, sink: Sink) {
        self.fleet.merge_marks(&request.marks);
        let head = request.head.unwrap_or_default();
        let deadline = deadline(&head);
        let jobs = request.parts.into_iter().map(|part| PartRequest {
            head: head.clone(),
            index: part.index,
            shard: part.shard.into(),
            service: part.service.into(),
            body: request.body.clone(),
            deadline,
        });
        let running: FuturesUnordered<_> = jobs.map(|job| self.pool.run_part(job)).collect();
        if !stream(running, &sink).await {
            self.pool.cancel(&CancelRequest {
                request: head.request.clone(),
                attempt: head.attempt,
                parts: Vec::new(),
            });
        }
    }

    async fn cancel(&self, request: CancelRequest) -> CancelReply {
        self.pool.cancel(&request);
        CancelReply {}
    }

    async fn call(&self, request: CallRequest) -> CallReply {
        let deadline = request.head.as_ref().map_or_else(Instant::now, deadline);
        self.ledger.call(request, deadline).await
    }

    async fn send(&self, request: CallRequest) -> CallReply {
        let deadline = request.head.as_ref().map_or_else(Instant::now, deadline);
        self.pool.run_call(request, deadline).await
    }

    async fn gossip(&self, message: GossipMessage) -> GossipMessage {
        self.fleet.gossip(message)
    }

    async fn probe(&self, request: ProbeRequest) -> ProbeReply {
        match &request.target {
            Some(target) if target.name == self.name => ProbeReply { alive: true },
            _ => self.fleet.probe(request).await,
        }
    }

    async fn sync(&self, request: SyncRequest) -> SyncReply {
        self.fleet.sync(request)
    }
}

/// Sends the partials as they come; returns false if the caller has gone.
///
/// A partial waits a little for the others of its batch, as each sending costs both instances a
/// system call. The last of a batch never waits.
async fn stream<F: Future<Output = Partial>>(
    mut running: FuturesUnordered<F>,
    sink: &Sink,
) -> bool {
    let mut ready = Vec::new();
    while let Some(partial) = running.next().await {
        ready.push(partial);
        let _ = timeout(GATHER, rest(&mut running, &mut ready)).await;
        if !ready.drain(..).all(|partial| sink.send(partial)) {
            return false;
        }
    }
    true
}

async fn rest<F: Future<Output = Partial>>(
    running: &mut FuturesUnordered<F>,
    ready: &mut Vec<Partial>,
) {
    while let Some(partial) = running.next().await {
        ready.push(partial);
    }
}

fn deadline(head: &Head) -> Instant {
    Instant::now() + Duration::from_micros(head.budget_us)
}

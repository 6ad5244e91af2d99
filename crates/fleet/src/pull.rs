//! Fetching documents and members from a peer that knows more.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::pin,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::{
    select,
    stream::FuturesUnordered,
    FutureExt as _,
    StreamExt as _, //
};
use monoio::time::timeout;
use platform::Store;
use wire::{
    GossipMessage,
    SyncReply,
    SyncRequest,
    Versions, //
};

use crate::fleet::Fleet;

/// Longest time that a peer may take.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which another peer is asked beside one that hasn't answered.
const PATIENCE: Duration = Duration::from_millis(200);
/// Answers in a row with another digest after which the whole member table is fetched.
const MISMATCHES_MAX: u32 = 6;
/// Heartbeats between two fetches of the whole member table.
const TABLE_HEARTBEATS: u32 = 20;

/// A peer to fetch from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Pull {
    address: SocketAddr,
    /// Versions that the peer states.
    versions: Versions,
    /// Whether the whole member table is wanted.
    members: bool,
}

/// How far the member table is from those of the peers that answered.
#[derive(Debug, Default)]
pub(crate) struct Drift {
    mismatches: Cell<u32>,
    fetched: Cell<Option<Instant>>,
}

/// Fetches what is asked for until the future is dropped.
///
/// A fetch that takes longer than [`PATIENCE`] goes on beside the next one.
pub(crate) async fn run<S: Store>(fleet: &Fleet<S>) {
    let mut fetches = FuturesUnordered::new();
    loop {
        let pull = {
            let mut next = pin!(fleet.pulls.next().fuse());
            select! {
                pull = next => pull,
                () = fetches.select_next_some() => continue,
            }
        };
        let is_behind = fleet.documents.borrow().is_behind(&pull.versions);
        if pull.members || is_behind {
            fetches.push(fetch(fleet, pull));
            let _ = timeout(PATIENCE, fetches.next()).await;
        }
    }
}

/// Hands out the documents and members that a peer lacks.
pub(crate) fn answer<S: Store>(fleet: &Fleet<S>, request: &SyncRequest) -> SyncReply {
    let versions = request.versions.unwrap_or_default();
    let documents = fleet.documents.borrow().since(&versions);
    let mut table = fleet.table.borrow_mut();
    let now = Instant::now();
    let is_news = request
        .sender
        .as_ref()
        .is_some_and(|sender| table.merge(sender, now));
    let members = match request.members {
        true => table.records().map(|record| record.write()).collect(),
        false => Vec::new(),
    };
    drop(table);
    if is_news {
        fleet.renew();
    }
    SyncReply { documents, members }
}

/// Takes note of the versions that a peer states, and has them fetched if they are higher.
pub(crate) fn notice<S: Store>(fleet: &Fleet<S>, message: &GossipMessage) {
    let versions = message.versions.unwrap_or_default();
    let sender = message.sender.as_ref();
    let Some(address) = sender.and_then(|sender| sender.address.parse().ok()) else {
        return;
    };
    if address == fleet.settings.me.address {
        return;
    }
    let members = fleet.drift.fetched.get().is_none();
    if members || fleet.documents.borrow().is_behind(&versions) {
        fleet.pulls.push(Pull {
            address,
            versions,
            members,
        });
    }
}

/// Compares digests with a peer that answered, and has its member table fetched if they go on
/// differing.
pub(crate) fn compare<S: Store>(fleet: &Fleet<S>, reply: &GossipMessage) {
    let is_same = reply.digest == fleet.table.borrow().digest();
    let mismatches = match is_same {
        true => 0,
        false => fleet.drift.mismatches.get() + 1,
    };
    fleet.drift.mismatches.set(mismatches);
    let pause = fleet.settings.heartbeat * TABLE_HEARTBEATS;
    let fetched = fleet.drift.fetched.get();
    let is_recent = fetched.is_some_and(|fetched| fetched.elapsed() < pause);
    if mismatches < MISMATCHES_MAX || is_recent {
        return;
    }
    let sender = reply.sender.as_ref();
    if let Some(address) = sender.and_then(|sender| sender.address.parse().ok()) {
        fleet.pulls.push(Pull {
            address,
            versions: reply.versions.unwrap_or_default(),
            members: true,
        });
    }
}

async fn fetch<S: Store>(fleet: &Fleet<S>, pull: Pull) {
    let request = SyncRequest {
        sender: Some(fleet.table.borrow().me().write()),
        versions: Some(fleet.documents.borrow().versions()),
        members: pull.members,
    };
    let call = fleet.peers.sync(pull.address, request);
    let Ok(Ok(reply)) = timeout(TIMEOUT, call).await else {
        tracing::debug!("fleet: {} didn't hand out what it knows.", pull.address);
        return;
    };
    if pull.members {
        fleet.drift.fetched.set(Some(Instant::now()));
        fleet.drift.mismatches.set(0);
        merge(fleet, &reply);
    }
    for document in &reply.documents {
        fleet.apply(&document.name, document.version, &document.body);
    }
}

fn merge<S: Store>(fleet: &Fleet<S>, reply: &SyncReply) {
    let mut table = fleet.table.borrow_mut();
    let now = Instant::now();
    let mut is_news = false;
    for member in &reply.members {
        is_news |= table.merge(member, now);
    }
    drop(table);
    if is_news {
        fleet.renew();
    }
}

//! Fetching documents and the member table from peers that have newer ones.

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

/// Timeout of a fetch.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the next fetch starts alongside one that hasn't finished.
const NEXT_FETCH_DELAY: Duration = Duration::from_millis(200);
/// Consecutive replies with a different digest after which the complete member table is fetched.
const MAX_MISMATCHES: u32 = 6;
/// Minimum interval between fetches of the complete member table, in heartbeats.
const TABLE_FETCH_HEARTBEATS: u32 = 20;

/// A fetch from a peer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Pull {
    address: SocketAddr,
    /// Versions that the peer states.
    versions: Versions,
    /// Whether to fetch the complete member table.
    members: bool,
}

/// Tracks whether the member table keeps differing from those of peers.
#[derive(Debug, Default)]
pub(crate) struct Drift {
    mismatches: Cell<u32>,
    fetched_at: Cell<Option<Instant>>,
}

/// Runs queued fetches until the future is dropped.
///
/// A fetch that takes longer than [`NEXT_FETCH_DELAY`] continues alongside the next one.
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
            let _ = timeout(NEXT_FETCH_DELAY, fetches.next()).await;
        }
    }
}

/// Returns the documents that a peer lacks, and all members if it asks for them.
pub(crate) fn reply<S: Store>(fleet: &Fleet<S>, request: &SyncRequest) -> SyncReply {
    let versions = request.versions.unwrap_or_default();
    let documents = fleet.documents.borrow().newer_than(&versions);
    let mut table = fleet.table.borrow_mut();
    let now = Instant::now();
    let is_changed = request
        .sender
        .as_ref()
        .is_some_and(|sender| table.merge(sender, now));
    let members = match request.members {
        true => table.records().map(|record| record.to_wire()).collect(),
        false => Vec::new(),
    };
    drop(table);
    if is_changed {
        fleet.invalidate();
    }
    SyncReply { documents, members }
}

/// Queues a fetch if a peer states newer versions, or if the member table was never fetched.
pub(crate) fn compare_versions<S: Store>(fleet: &Fleet<S>, message: &GossipMessage) {
    let versions = message.versions.unwrap_or_default();
    let sender = message.sender.as_ref();
    let Some(address) = sender.and_then(|sender| sender.address.parse().ok()) else {
        return;
    };
    if address == fleet.settings.local.address {
        return;
    }
    let members = fleet.drift.fetched_at.get().is_none();
    if members || fleet.documents.borrow().is_behind(&versions) {
        fleet.pulls.push(Pull {
            address,
            versions,
            members,
        });
    }
}

/// Compares the digest of a peer's reply, and queues a fetch of the peer's member table if digests
/// keep differing.
pub(crate) fn compare_digests<S: Store>(fleet: &Fleet<S>, reply: &GossipMessage) {
    let is_same = reply.digest == fleet.table.borrow().digest();
    let mismatches = match is_same {
        true => 0,
        false => fleet.drift.mismatches.get() + 1,
    };
    fleet.drift.mismatches.set(mismatches);
    let interval = fleet.settings.heartbeat * TABLE_FETCH_HEARTBEATS;
    let fetched_at = fleet.drift.fetched_at.get();
    let is_recent = fetched_at.is_some_and(|fetched_at| fetched_at.elapsed() < interval);
    if mismatches < MAX_MISMATCHES || is_recent {
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
        sender: Some(fleet.table.borrow().local().to_wire()),
        versions: Some(fleet.documents.borrow().versions()),
        members: pull.members,
    };
    let call = fleet.peers.sync(pull.address, request);
    let Ok(Ok(reply)) = timeout(TIMEOUT, call).await else {
        tracing::debug!(
            "fleet: documents and members can't be fetched from {}.",
            pull.address
        );
        return;
    };
    if pull.members {
        fleet.drift.fetched_at.set(Some(Instant::now()));
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
    let mut is_changed = false;
    for member in &reply.members {
        is_changed |= table.merge(member, now);
    }
    drop(table);
    if is_changed {
        fleet.invalidate();
    }
}

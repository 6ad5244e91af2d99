//! Heartbeats: failure detection and the exchange of updates.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::{
    future::join_all,
    select,
    stream::FuturesUnordered,
    FutureExt as _,
    StreamExt as _, //
};
use monoio::time::{
    sleep,
    timeout, //
};
use platform::Store;
use rand::{
    seq::{
        IndexedRandom as _,
        IteratorRandom as _,
        SliceRandom as _, //
    },
    Rng as _, //
};
use wire::{
    GossipMessage,
    ProbeReply,
    ProbeRequest, //
};

use crate::{
    fleet::Fleet,
    member::Member,
    pull,
    table::log2_ceil, //
};

/// Maximum number of records in a message, besides the sender's own.
pub(crate) const MAX_UPDATES: usize = 16;
/// Number of peers asked to probe a member that doesn't reply.
const INDIRECT_PROBES: usize = 3;
/// Suspicion timeout in heartbeats, plus one for each doubling of the fleet size.
const SUSPICION_HEARTBEATS: u32 = 6;
/// Heartbeats without a tick after which this process concludes that it was paused.
const PAUSE_HEARTBEATS: u32 = 3;
/// Heartbeats between attempts to reach a failed member or a seed.
const RETRY_HEARTBEATS: u64 = 10;
/// Maximum number of instances from the platform's list that are contacted in one heartbeat.
const MAX_UNCONTACTED: usize = 3;

/// Receiver of a heartbeat.
#[derive(Debug, Clone)]
enum Target {
    /// A member, which is suspected if neither this instance nor a peer reaches it.
    Member(Rc<Member>),
    /// A failed member, which may have recovered.
    Failed(Rc<Member>),
    /// An address where an instance may run.
    Address(SocketAddr),
}

/// Exchanges heartbeats until the future is dropped.
pub(crate) async fn run<S: Store>(fleet: &Fleet<S>) {
    let mut in_progress = FuturesUnordered::new();
    let mut order = Vec::new();
    for tick_count in 0_u64.. {
        let mut tick = pin!(sleep(jittered(fleet.settings.heartbeat)).fuse());
        loop {
            let mut requested = pin!(fleet.probes.next().fuse());
            select! {
                () = tick => break,
                name = requested => in_progress
                    .extend(member_target(fleet, &name).map(|target| probe_target(fleet, target))),
                () = in_progress.select_next_some() => {}
            }
        }
        detect_pause(fleet);
        expire(fleet);
        let targets = targets(fleet, &mut order, tick_count);
        in_progress.extend(
            targets
                .into_iter()
                .map(|target| probe_target(fleet, target)),
        );
    }
}

/// Merges a peer's heartbeat and returns the reply.
pub(crate) fn reply<S: Store>(fleet: &Fleet<S>, message: &GossipMessage) -> GossipMessage {
    let now = Instant::now();
    // A message that waited while this process was paused states an outdated age.
    if !was_paused(fleet, now) {
        fleet
            .platform_contact
            .merge_age(message.platform_age_ms, now);
    }
    merge(fleet, message, now);
    compose(fleet, message.sender.as_ref().map(|sender| &*sender.name))
}

/// Probes a member for a peer.
pub(crate) async fn probe<S: Store>(fleet: &Fleet<S>, request: ProbeRequest) -> ProbeReply {
    let target = request.target.unwrap_or_default();
    let alive = match target.address.parse() {
        Ok(address) => exchange(fleet, address, Some(&target.name)).await,
        Err(_) => false,
    };
    ProbeReply { alive }
}

/// Sends a heartbeat to `member`; returns whether it replied.
pub(crate) async fn send<S: Store>(fleet: &Fleet<S>, member: &Member) -> bool {
    exchange(fleet, member.address, Some(&member.name)).await
}

async fn probe_target<S: Store>(fleet: &Fleet<S>, target: Target) {
    let member = match target {
        Target::Member(member) => member,
        Target::Failed(member) => {
            send(fleet, &member).await;
            return;
        }
        Target::Address(address) => {
            exchange(fleet, address, None).await;
            return;
        }
    };
    let started_at = Instant::now();
    if exchange(fleet, member.address, Some(&member.name)).await {
        return;
    }
    if probe_indirectly(fleet, &member).await {
        return;
    }
    // If this process was paused, a missing reply doesn't show that the member failed.
    if started_at.elapsed() > fleet.settings.heartbeat * (PAUSE_HEARTBEATS + 2) {
        return;
    }
    suspect(fleet, &member);
}

/// Exchanges heartbeats with `address`; returns whether an instance replied and has the name
/// `name`, if one is given.
async fn exchange<S: Store>(fleet: &Fleet<S>, address: SocketAddr, name: Option<&str>) -> bool {
    let started_at = Instant::now();
    let message = compose(fleet, name);
    let call = fleet.peers.gossip(address, message);
    let Ok(Ok(reply)) = timeout(fleet.settings.heartbeat, call).await else {
        return false;
    };
    fleet
        .platform_contact
        .merge_age(reply.platform_age_ms, started_at);
    merge(fleet, &reply, Instant::now());
    pull::compare_digests(fleet, &reply);
    let sender = reply.sender.map(|sender| sender.name).unwrap_or_default();
    name.is_none_or(|name| name == sender)
}

/// Asks a few peers to probe `member`; returns whether any of them reached it.
async fn probe_indirectly<S: Store>(fleet: &Fleet<S>, member: &Member) -> bool {
    let target = fleet
        .table
        .borrow()
        .get(&member.name)
        .map(|record| record.to_wire());
    let helpers = fleet.random_peers(INDIRECT_PROBES + 1);
    let calls = helpers
        .iter()
        .filter(|helper| helper.name != member.name)
        .take(INDIRECT_PROBES)
        .map(|helper| {
            let target = target.clone();
            let call = fleet.peers.probe(helper.address, ProbeRequest { target });
            timeout(fleet.settings.heartbeat * 2, call)
        });
    let replies = join_all(calls).await;
    replies
        .into_iter()
        .any(|reply| matches!(reply, Ok(Ok(ProbeReply { alive: true }))))
}

fn suspect<S: Store>(fleet: &Fleet<S>, member: &Member) {
    let now = Instant::now();
    if fleet.table.borrow_mut().suspect(&member.name, now) {
        tracing::warn!("fleet: {} doesn't answer.", member.name);
        fleet.invalidate();
    }
}

fn merge<S: Store>(fleet: &Fleet<S>, message: &GossipMessage, now: Instant) {
    let mut table = fleet.table.borrow_mut();
    let old_incarnation = table.local().incarnation;
    let mut is_changed = false;
    for member in message.sender.iter().chain(&message.members) {
        is_changed |= table.merge(member, now);
    }
    let is_refuted = table.local().incarnation != old_incarnation;
    drop(table);
    if is_changed {
        fleet.invalidate();
    }
    if is_refuted {
        tracing::info!("fleet: a peer's record of this instance was overridden.");
        let sender = message.sender.as_ref();
        sender
            .iter()
            .for_each(|sender| fleet.request_probe(&sender.name));
        fleet.spread_update();
    }
    pull::compare_versions(fleet, message);
}

fn compose<S: Store>(fleet: &Fleet<S>, to: Option<&str>) -> GossipMessage {
    let mut table = fleet.table.borrow_mut();
    GossipMessage {
        sender: Some(table.local().to_wire()),
        members: table.updates(to, MAX_UPDATES),
        versions: Some(fleet.documents.borrow().versions()),
        digest: table.digest(),
        platform_age_ms: fleet.platform_contact.age_ms(Instant::now()),
    }
}

fn member_target<S: Store>(fleet: &Fleet<S>, name: &str) -> Option<Target> {
    let table = fleet.table.borrow();
    let record = table.get(name).filter(|record| record.is_running())?;
    Some(Target::Member(record.member.clone()))
}

/// Returns the receivers of this tick's heartbeats.
fn targets<S: Store>(fleet: &Fleet<S>, order: &mut Vec<Arc<str>>, tick_count: u64) -> Vec<Target> {
    let mut targets: Vec<Target> = next_member(fleet, order).into_iter().collect();
    targets.extend(uncontacted(fleet));
    let needs_seed = targets.is_empty() || !fleet.view().is_ready();
    let is_retry = tick_count.is_multiple_of(RETRY_HEARTBEATS);
    if needs_seed || is_retry {
        targets.extend(seed_target(fleet));
    }
    if is_retry {
        targets.extend(failed_target(fleet));
    }
    targets
}

/// Returns the next running member of a random order, which is shuffled anew when it is used up.
fn next_member<S: Store>(fleet: &Fleet<S>, order: &mut Vec<Arc<str>>) -> Option<Target> {
    loop {
        match order.pop() {
            Some(name) => match member_target(fleet, &name) {
                None => continue,
                target => return target,
            },
            None => {
                let table = fleet.table.borrow();
                order.extend(table.peers().map(|record| record.member.name.clone()));
                order.shuffle(&mut rand::rng());
                if order.is_empty() {
                    return None;
                }
            }
        }
    }
}

/// Takes a few instances of the platform's list that aren't running members yet.
fn uncontacted<S: Store>(fleet: &Fleet<S>) -> Vec<Target> {
    let table = fleet.table.borrow();
    let is_running = |name: &str| table.get(name).is_some_and(|record| record.is_running());
    let mut uncontacted = fleet.uncontacted.borrow_mut();
    std::iter::from_fn(|| uncontacted.pop_first())
        .filter(|(name, _)| !is_running(name))
        .take(MAX_UNCONTACTED)
        .map(|(_, address)| Target::Address(address))
        .collect()
}

fn seed_target<S: Store>(fleet: &Fleet<S>) -> Option<Target> {
    let own = fleet.settings.local.address;
    let seeds: Vec<SocketAddr> = fleet
        .settings
        .seeds
        .iter()
        .copied()
        .filter(|seed| *seed != own)
        .collect();
    seeds.choose(&mut rand::rng()).copied().map(Target::Address)
}

fn failed_target<S: Store>(fleet: &Fleet<S>) -> Option<Target> {
    let table = fleet.table.borrow();
    let failed = table.failed().map(|record| record.member.clone());
    failed.choose(&mut rand::rng()).map(Target::Failed)
}

fn was_paused<S: Store>(fleet: &Fleet<S>, now: Instant) -> bool {
    let since_tick = now.saturating_duration_since(fleet.last_tick_at.get());
    since_tick > fleet.settings.heartbeat * PAUSE_HEARTBEATS
}

/// Restarts the suspicion of suspected members if this process was paused.
fn detect_pause<S: Store>(fleet: &Fleet<S>) {
    let now = Instant::now();
    if was_paused(fleet, now) {
        tracing::warn!("fleet: this process was paused.");
        fleet.table.borrow_mut().restart_suspicions(now);
    }
    fleet.last_tick_at.set(now);
}

fn expire<S: Store>(fleet: &Fleet<S>) {
    let mut table = fleet.table.borrow_mut();
    let heartbeats = SUSPICION_HEARTBEATS + log2_ceil(table.running());
    let suspicion_timeout = fleet.settings.heartbeat * heartbeats;
    let failed = table.expire(suspicion_timeout, Instant::now());
    let addresses: Vec<SocketAddr> = failed
        .iter()
        .filter_map(|name| table.get(name))
        .map(|record| record.member.address)
        .collect();
    drop(table);
    if failed.is_empty() {
        return;
    }
    for name in &failed {
        tracing::warn!("fleet: {name} failed.");
    }
    for address in addresses {
        fleet.peers.forget(address);
    }
    fleet.invalidate();
}

/// Returns `interval` with a jitter of up to a quarter either way.
pub(crate) fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.75..1.25))
}

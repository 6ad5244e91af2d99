//! Heartbeats: who answers, and what is new.

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
    table::doublings, //
};

/// Records in one message, besides the sender's own.
pub(crate) const UPDATES_MAX: usize = 16;
/// Members asked to probe one that doesn't answer.
const HELPERS: usize = 3;
/// Heartbeats that a suspected member has to answer, besides one for each doubling of the fleet.
const SUSPICION_HEARTBEATS: u32 = 6;
/// Heartbeats without a tick after which this process takes itself to have been paused.
const PAUSE_HEARTBEATS: u32 = 3;
/// Heartbeats from one try of a failed member or a seed to the next.
const RETRY_HEARTBEATS: u64 = 10;
/// Instances of the platform's list that are tried in one heartbeat.
const UNHEARD_MAX: usize = 3;

/// Whom a round is about.
#[derive(Debug, Clone)]
enum Target {
    /// A member, which is suspected if nobody reaches it.
    Member(Rc<Member>),
    /// A member that failed and may be back.
    Failed(Rc<Member>),
    /// An address that may or may not have an instance.
    Address(SocketAddr),
}

/// Exchanges heartbeats until the future is dropped.
pub(crate) async fn run<S: Store>(fleet: &Fleet<S>) {
    let mut rounds = FuturesUnordered::new();
    let mut order = Vec::new();
    for count in 0_u64.. {
        let mut tick = pin!(sleep(jittered(fleet.settings.heartbeat)).fuse());
        loop {
            let mut asked = pin!(fleet.probes.next().fuse());
            select! {
                () = tick => break,
                name = asked => rounds.extend(named(fleet, &name).map(|target| round(fleet, target))),
                () = rounds.select_next_some() => {}
            }
        }
        notice_pause(fleet);
        expire(fleet);
        let targets = targets(fleet, &mut order, count);
        rounds.extend(targets.into_iter().map(|target| round(fleet, target)));
    }
}

/// Takes in a peer's heartbeat and makes the answer.
pub(crate) fn answer<S: Store>(fleet: &Fleet<S>, message: &GossipMessage) -> GossipMessage {
    let now = Instant::now();
    // A message that waited while this process was paused states an age that isn't true any more.
    if !was_paused(fleet, now) {
        fleet.contact.heard(message.platform_age_ms, now);
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

/// Sends one heartbeat to `member`; returns whether it answered.
pub(crate) async fn tell<S: Store>(fleet: &Fleet<S>, member: &Member) -> bool {
    exchange(fleet, member.address, Some(&member.name)).await
}

async fn round<S: Store>(fleet: &Fleet<S>, target: Target) {
    let member = match target {
        Target::Member(member) => member,
        Target::Failed(member) => {
            tell(fleet, &member).await;
            return;
        }
        Target::Address(address) => {
            exchange(fleet, address, None).await;
            return;
        }
    };
    let start = Instant::now();
    if exchange(fleet, member.address, Some(&member.name)).await {
        return;
    }
    if indirect(fleet, &member).await {
        return;
    }
    // Time that this process was paused proves nothing against others.
    if start.elapsed() > fleet.settings.heartbeat * (PAUSE_HEARTBEATS + 2) {
        return;
    }
    suspect(fleet, &member);
}

/// Exchanges heartbeats with `address`; returns whether the instance `name`, or any, answered.
async fn exchange<S: Store>(fleet: &Fleet<S>, address: SocketAddr, name: Option<&str>) -> bool {
    let start = Instant::now();
    let message = compose(fleet, name);
    let call = fleet.peers.gossip(address, message);
    let Ok(Ok(reply)) = timeout(fleet.settings.heartbeat, call).await else {
        return false;
    };
    fleet.contact.heard(reply.platform_age_ms, start);
    merge(fleet, &reply, Instant::now());
    pull::compare(fleet, &reply);
    let answered = reply.sender.map(|sender| sender.name).unwrap_or_default();
    name.is_none_or(|name| name == answered)
}

/// Asks a few members to probe `member`; returns whether one of them reached it.
async fn indirect<S: Store>(fleet: &Fleet<S>, member: &Member) -> bool {
    let target = fleet
        .table
        .borrow()
        .get(&member.name)
        .map(|record| record.write());
    let helpers = fleet.some_peers(HELPERS + 1);
    let calls = helpers
        .iter()
        .filter(|helper| helper.name != member.name)
        .take(HELPERS)
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
        fleet.renew();
    }
}

fn merge<S: Store>(fleet: &Fleet<S>, message: &GossipMessage, now: Instant) {
    let mut table = fleet.table.borrow_mut();
    let own = table.me().incarnation;
    let mut is_news = false;
    for member in message.sender.iter().chain(&message.members) {
        is_news |= table.merge(member, now);
    }
    let is_refuted = table.me().incarnation != own;
    drop(table);
    if is_news {
        fleet.renew();
    }
    if is_refuted {
        tracing::info!("fleet: a peer is told that this instance runs.");
        let sender = message.sender.as_ref();
        sender.iter().for_each(|sender| fleet.suspect(&sender.name));
        fleet.rumour();
    }
    pull::notice(fleet, message);
}

fn compose<S: Store>(fleet: &Fleet<S>, to: Option<&str>) -> GossipMessage {
    let mut table = fleet.table.borrow_mut();
    GossipMessage {
        sender: Some(table.me().write()),
        members: table.updates(to, UPDATES_MAX),
        versions: Some(fleet.documents.borrow().versions()),
        digest: table.digest(),
        platform_age_ms: fleet.contact.age_ms(Instant::now()),
    }
}

fn named<S: Store>(fleet: &Fleet<S>, name: &str) -> Option<Target> {
    let table = fleet.table.borrow();
    let record = table.get(name).filter(|record| record.is_running())?;
    Some(Target::Member(record.member.clone()))
}

/// Returns whom to try in this heartbeat.
fn targets<S: Store>(fleet: &Fleet<S>, order: &mut Vec<Arc<str>>, count: u64) -> Vec<Target> {
    let mut targets: Vec<Target> = next(fleet, order).into_iter().collect();
    targets.extend(unheard(fleet));
    let is_lost = targets.is_empty() || !fleet.view().is_ready();
    let is_retry = count.is_multiple_of(RETRY_HEARTBEATS);
    if is_lost || is_retry {
        targets.extend(seed(fleet));
    }
    if is_retry {
        targets.extend(failed(fleet));
    }
    targets
}

/// Returns the next member of a random order in which each has its turn.
fn next<S: Store>(fleet: &Fleet<S>, order: &mut Vec<Arc<str>>) -> Option<Target> {
    loop {
        match order.pop() {
            Some(name) => match named(fleet, &name) {
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

/// Takes a few instances of the platform's list that are no members yet.
fn unheard<S: Store>(fleet: &Fleet<S>) -> Vec<Target> {
    let table = fleet.table.borrow();
    let is_running = |name: &str| table.get(name).is_some_and(|record| record.is_running());
    let mut unheard = fleet.unheard.borrow_mut();
    std::iter::from_fn(|| unheard.pop_first())
        .filter(|(name, _)| !is_running(name))
        .take(UNHEARD_MAX)
        .map(|(_, address)| Target::Address(address))
        .collect()
}

fn seed<S: Store>(fleet: &Fleet<S>) -> Option<Target> {
    let own = fleet.settings.me.address;
    let seeds: Vec<SocketAddr> = fleet
        .settings
        .seeds
        .iter()
        .copied()
        .filter(|seed| *seed != own)
        .collect();
    seeds.choose(&mut rand::rng()).copied().map(Target::Address)
}

fn failed<S: Store>(fleet: &Fleet<S>) -> Option<Target> {
    let table = fleet.table.borrow();
    let failed = table.failed().map(|record| record.member.clone());
    failed.choose(&mut rand::rng()).map(Target::Failed)
}

fn was_paused<S: Store>(fleet: &Fleet<S>, now: Instant) -> bool {
    let silent = now.saturating_duration_since(fleet.ticked.get());
    silent > fleet.settings.heartbeat * PAUSE_HEARTBEATS
}

/// Gives suspected members a fresh round if this process was paused.
fn notice_pause<S: Store>(fleet: &Fleet<S>) {
    let now = Instant::now();
    if was_paused(fleet, now) {
        tracing::warn!("fleet: this process was paused.");
        fleet.table.borrow_mut().forgive(now);
    }
    fleet.ticked.set(now);
}

fn expire<S: Store>(fleet: &Fleet<S>) {
    let mut table = fleet.table.borrow_mut();
    let heartbeats = SUSPICION_HEARTBEATS + doublings(table.running());
    let patience = fleet.settings.heartbeat * heartbeats;
    let failed = table.expire(patience, Instant::now());
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
    fleet.renew();
}

/// Returns a time between three and five quarters of `interval`.
pub(crate) fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.75..1.25))
}

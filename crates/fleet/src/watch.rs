//! What the platform says: documents and the list of instances.
//!
//! A few members watch the platform and the others learn from them, so that the platform's load
//! grows with the logarithm of the fleet. A member that hears of no contact asks by itself, at a
//! rate that all of them share.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use monoio::time::sleep;
use platform::{
    Failure,
    Instance,
    Listing,
    Store, //
};
use rand::Rng as _;
use wire::State;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    fleet::Fleet,
    heartbeat::jittered,
    table::doublings, //
};

/// Members that watch the platform, besides one for each doubling of the fleet.
const WATCHERS: usize = 4;
/// Seed of the order in which members are chosen to watch.
const WATCHERS_SEED: u64 = 0x7761_7463;
/// Heartbeats that a watch waits for a change.
const WATCH_HEARTBEATS: u32 = 20;
/// Longest time that a watch waits for a change.
const WATCH_MAX: Duration = Duration::from_secs(30);
/// Heartbeats between two reads of the list of instances.
const LIST_HEARTBEATS: u32 = 10;
/// Heartbeats between two checks of whether it is this instance's turn.
const CHECK_HEARTBEATS: u32 = 2;
/// Heartbeats since the last contact after which a member asks by itself.
const STALE_HEARTBEATS: u32 = 16;
/// Heartbeats that a member watches after it reached the platform while the watchers didn't.
const ACTING_HEARTBEATS: u32 = 120;
/// Wait of a watcher after its first failure.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Longest wait of a watcher after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(8);
/// Share of a wait that each member adds, so that members together ask at a bounded rate.
const SPREAD_MIN: Duration = Duration::from_millis(20);
/// Longest such share.
const SPREAD_MAX: Duration = Duration::from_millis(200);

/// Why this instance asks the platform, if it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    /// It is one of those that watch.
    Watcher,
    /// It has heard of no contact for a while, or knows no configuration.
    Straggler,
    /// Others do.
    Nobody,
}

impl Turn {
    /// Returns how long a watch may wait for a change.
    fn wait(self, heartbeat: Duration) -> Duration {
        match self {
            Self::Watcher => (heartbeat * WATCH_HEARTBEATS).min(WATCH_MAX),
            _ => Duration::ZERO,
        }
    }

    /// Returns whether the first try needs no wait: a watcher's, and that of an instance which has
    /// never heard of the platform.
    fn is_at_once<S: Store>(self, fleet: &Fleet<S>) -> bool {
        self == Self::Watcher || fleet.contact.age(Instant::now()).is_none()
    }
}

/// Keeps up with the documents until the future is dropped.
pub(crate) async fn documents<S: Store>(fleet: &Fleet<S>) {
    let mut revision = None;
    let mut failures = 0;
    let mut acting: Option<Instant> = None;
    loop {
        let turn = take_turn(fleet, failures, acting).await;
        let is_cut_off = turn == Turn::Straggler && fleet.contact.age(Instant::now()).is_some();
        let wait = turn.wait(fleet.settings.heartbeat);
        let start = Instant::now();
        match news(fleet, revision, wait).await {
            Ok(listing) => {
                failures = 0;
                revision = Some(listing.revision);
                let now = Instant::now();
                fleet.contact.reached(now);
                if is_cut_off {
                    acting = Some(now + fleet.settings.heartbeat * ACTING_HEARTBEATS);
                }
                take_in(fleet, &listing);
                // A watch that ends at once with nothing to tell must not turn into a busy loop.
                if listing.objects.is_empty() && start.elapsed() < wait / 2 {
                    sleep(jittered(fleet.settings.heartbeat)).await;
                }
            }
            Err(failure) => {
                tracing::warn!("fleet: documents can't be read: {failure}.");
                failures += 1;
                acting = None;
                if failure == Failure::Compacted {
                    revision = None;
                }
            }
        }
    }
}

/// Keeps up with the list of instances until the future is dropped.
pub(crate) async fn instances<S: Store>(fleet: &Fleet<S>) {
    let mut failures = 0;
    let mut is_listed = false;
    loop {
        match () {
            () if is_listed && !is_drained(fleet) => take_watch(fleet, failures).await,
            () if failures > 0 => sleep(backoff(fleet, Turn::Straggler, failures)).await,
            () => {}
        }
        match fleet.store.instances().await {
            Ok(instances) => {
                failures = 0;
                is_listed = true;
                fleet.contact.reached(Instant::now());
                reconcile(fleet, &instances);
                sleep(jittered(fleet.settings.heartbeat * LIST_HEARTBEATS)).await;
            }
            Err(failure) => {
                tracing::warn!("fleet: instances can't be listed: {failure}.");
                failures += 1;
            }
        }
    }
}

/// Waits until this instance is one of those that watch, and `failures` in a row are waited for.
async fn take_watch<S: Store>(fleet: &Fleet<S>, failures: u32) {
    if failures > 0 {
        sleep(backoff(fleet, Turn::Watcher, failures)).await;
    }
    while !is_watcher(fleet) {
        sleep(jittered(fleet.settings.heartbeat * CHECK_HEARTBEATS)).await;
    }
}

/// Waits until it is this instance's turn to ask, and `failures` in a row are waited for.
///
/// A straggler waits at random before it asks, and asks only if it still has to by then: when the
/// platform comes back, the first that reaches it stops the others.
async fn take_turn<S: Store>(fleet: &Fleet<S>, failures: u32, acting: Option<Instant>) -> Turn {
    loop {
        match turn(fleet, acting) {
            Turn::Nobody => sleep(jittered(fleet.settings.heartbeat * CHECK_HEARTBEATS)).await,
            turn if failures == 0 && turn.is_at_once(fleet) => return turn,
            now => {
                sleep(backoff(fleet, now, failures)).await;
                if turn(fleet, acting) == now {
                    return now;
                }
            }
        }
    }
}

async fn news<S: Store>(
    fleet: &Fleet<S>,
    revision: Option<u64>,
    wait: Duration,
) -> Result<Listing, Failure> {
    match revision {
        Some(revision) => fleet.store.watch(config::KIND, revision, wait).await,
        None => fleet.store.list(config::KIND).await,
    }
}

fn take_in<S: Store>(fleet: &Fleet<S>, listing: &Listing) {
    for object in &listing.objects {
        fleet.apply(&object.name, object.version, object.value.get().as_bytes());
    }
    for name in &listing.deleted {
        tracing::error!("fleet: {name} was deleted, the version in force stays.");
    }
}

/// Takes in the platform's list, which lags: it adds whom to try and who leaves, and removes nobody.
fn reconcile<S: Store>(fleet: &Fleet<S>, instances: &[Instance]) {
    let mut table = fleet.table.borrow_mut();
    let now = Instant::now();
    let mut unheard = BTreeMap::new();
    let mut is_news = false;
    for instance in instances {
        if instance.name == fleet.settings.me.name {
            is_news |= drain(fleet, &mut table, instance.leaving, now);
            continue;
        }
        match table.get(&instance.name) {
            Some(record) if record.is_running() && instance.leaving => {
                let from = [State::Joining, State::Live, State::Suspect];
                is_news |= table.shift(&instance.name, &from, State::Leaving, now);
            }
            Some(record) if record.is_running() => {}
            Some(record) if record.member.address == instance.address => {}
            _ => {
                unheard.insert(instance.name.clone(), instance.address);
            }
        }
    }
    drop(table);
    *fleet.unheard.borrow_mut() = unheard;
    if is_news {
        fleet.renew();
        fleet.rumour();
    }
}

/// Follows what the platform's list says of this instance itself.
fn drain<S: Store>(
    fleet: &Fleet<S>,
    table: &mut crate::table::Table,
    leaving: bool,
    now: Instant,
) -> bool {
    match table.me().state {
        State::Live if leaving => table.announce(State::Leaving, now),
        State::Leaving if !leaving && !fleet.is_leaving.get() => table.announce(State::Live, now),
        _ => false,
    }
}

/// Returns whether this instance leaves because the platform's list says so.
fn is_drained<S: Store>(fleet: &Fleet<S>) -> bool {
    fleet.table.borrow().me().state == State::Leaving && !fleet.is_leaving.get()
}

fn turn<S: Store>(fleet: &Fleet<S>, acting: Option<Instant>) -> Turn {
    let now = Instant::now();
    let stale = fleet.settings.heartbeat * STALE_HEARTBEATS;
    let is_stale = fleet.contact.age(now).is_none_or(|age| age > stale);
    let is_acting = acting.is_some_and(|until| now < until);
    match is_watcher(fleet) || is_acting {
        true => Turn::Watcher,
        false if is_stale || !fleet.view().is_ready() => Turn::Straggler,
        false => Turn::Nobody,
    }
}

/// Returns whether this instance ranks among those that watch.
pub(crate) fn is_watcher<S: Store>(fleet: &Fleet<S>) -> bool {
    let table = fleet.table.borrow();
    let score = |name: &str| Reverse(xxh3_64_with_seed(name.as_bytes(), WATCHERS_SEED));
    let own = score(&fleet.settings.me.name);
    let before = table
        .peers()
        .filter(|record| record.state == State::Live)
        .filter(|record| score(&record.member.name) < own)
        .count();
    before < WATCHERS + doublings(table.running()) as usize
}

/// Returns the wait after `failures` failures in a row.
///
/// Stragglers wait in proportion to the fleet, so that their calls together don't grow with it.
fn backoff<S: Store>(fleet: &Fleet<S>, turn: Turn, failures: u32) -> Duration {
    let doubled = 1 << failures.min(10);
    let bound = match turn {
        Turn::Watcher => (BACKOFF_MIN * doubled).min(BACKOFF_MAX),
        _ => {
            let members = u32::try_from(fleet.table.borrow().running()).unwrap_or(u32::MAX);
            let spread = (SPREAD_MIN * doubled).min(SPREAD_MAX);
            (spread * members).max(BACKOFF_MIN * doubled.min(32))
        }
    };
    bound.mul_f64(rand::rng().random_range(0.1..1.0))
}

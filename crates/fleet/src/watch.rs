//! Reads documents and the list of instances from the platform.
//!
//! A few members watch the platform and the others learn from them, so that the platform's load
//! grows with the logarithm of the fleet size. A member that knows of no recent contact reads the
//! documents itself; such members back off in proportion to the fleet size, which limits their rate
//! as a whole.

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
    table::log2_ceil, //
};

/// Number of members that watch the platform, plus one for each doubling of the fleet size.
const WATCHERS: usize = 4;
/// Hash seed of the order in which members are chosen as watchers.
const WATCHERS_SEED: u64 = 0x7761_7463;
/// Time that a watch waits for a change, in heartbeats.
const WATCH_HEARTBEATS: u32 = 20;
/// Maximum time that a watch waits for a change.
const MAX_WATCH: Duration = Duration::from_secs(30);
/// Heartbeats between reads of the list of instances.
const LIST_HEARTBEATS: u32 = 10;
/// Heartbeats between checks of this instance's role.
const CHECK_HEARTBEATS: u32 = 2;
/// Heartbeats since the last known contact after which a member reads the documents itself.
const STALE_HEARTBEATS: u32 = 16;
/// Heartbeats for which a member acts as a watcher after it reached the platform when the watchers
/// didn't.
const ACTING_HEARTBEATS: u32 = 120;
/// Base of the exponential backoff, which each consecutive failure doubles.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff of a watcher.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Base backoff of a fallback reader per running member, so that all of them together read at a
/// limited rate.
const MIN_MEMBER_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff of a fallback reader per running member.
const MAX_MEMBER_BACKOFF: Duration = Duration::from_millis(200);

/// Whether and why this instance reads the documents from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// It is one of the watchers, or acts as one.
    Watcher,
    /// It knows of no recent contact with the platform, or lacks configuration.
    Fallback,
    /// It learns of changes from its peers.
    Passive,
}

impl Role {
    /// Returns how long a watch waits for a change.
    fn watch_timeout(self, heartbeat: Duration) -> Duration {
        match self {
            Self::Watcher => (heartbeat * WATCH_HEARTBEATS).min(MAX_WATCH),
            _ => Duration::ZERO,
        }
    }

    /// Returns whether the first attempt needs no backoff: that of a watcher, and of an instance
    /// that knows of no contact with the platform at all.
    fn skips_backoff<S: Store>(self, fleet: &Fleet<S>) -> bool {
        self == Self::Watcher || fleet.platform_contact.age(Instant::now()).is_none()
    }
}

/// Follows the documents until the future is dropped.
pub(crate) async fn documents<S: Store>(fleet: &Fleet<S>) {
    let mut revision = None;
    let mut era = 0;
    let mut failures = 0;
    let mut acting_until: Option<Instant> = None;
    loop {
        let role = wait_for_role(fleet, failures, acting_until).await;
        let is_cut_off =
            role == Role::Fallback && fleet.platform_contact.age(Instant::now()).is_some();
        let wait = role.watch_timeout(fleet.settings.heartbeat);
        let started_at = Instant::now();
        // A store that was restored from an older copy gives out revisions again.
        if fleet.store.era() != era {
            era = fleet.store.era();
            revision = None;
        }
        match read_documents(fleet, revision, wait).await {
            Ok(listing) => {
                failures = 0;
                revision = Some(listing.revision);
                let now = Instant::now();
                fleet.platform_contact.record(now);
                if is_cut_off {
                    acting_until = Some(now + fleet.settings.heartbeat * ACTING_HEARTBEATS);
                }
                apply_listing(fleet, &listing);
                // Prevents a busy loop if the store ends a watch early without a change.
                if listing.objects.is_empty() && started_at.elapsed() < wait / 2 {
                    sleep(jittered(fleet.settings.heartbeat)).await;
                }
            }
            Err(failure) => {
                tracing::warn!("fleet: documents can't be read: {failure}.");
                failures += 1;
                acting_until = None;
                if matches!(failure, Failure::Compacted | Failure::Restored) {
                    revision = None;
                }
            }
        }
    }
}

/// Follows the list of instances until the future is dropped.
pub(crate) async fn instances<S: Store>(fleet: &Fleet<S>) {
    let mut failures = 0;
    let mut is_listed = false;
    loop {
        match () {
            () if is_listed && !is_drained(fleet) => wait_until_watcher(fleet, failures).await,
            () if failures > 0 => sleep(backoff(fleet, Role::Fallback, failures)).await,
            () => {}
        }
        match fleet.store.instances().await {
            Ok(instances) => {
                failures = 0;
                is_listed = true;
                fleet.platform_contact.record(Instant::now());
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

/// Backs off after `failures` consecutive failures, then waits until this instance is a watcher.
async fn wait_until_watcher<S: Store>(fleet: &Fleet<S>, failures: u32) {
    if failures > 0 {
        sleep(backoff(fleet, Role::Watcher, failures)).await;
    }
    while !is_watcher(fleet) {
        sleep(jittered(fleet.settings.heartbeat * CHECK_HEARTBEATS)).await;
    }
}

/// Waits until this instance has a role in which it reads the documents, and returns the role.
///
/// Backs off after `failures` consecutive failures. A fallback reader waits a random time before
/// its first attempt too, unless it knows of no contact with the platform at all, and reads only if
/// that is still its role: when the platform recovers, the first member to reach it makes the
/// others passive.
async fn wait_for_role<S: Store>(
    fleet: &Fleet<S>,
    failures: u32,
    acting_until: Option<Instant>,
) -> Role {
    loop {
        match current_role(fleet, acting_until) {
            Role::Passive => sleep(jittered(fleet.settings.heartbeat * CHECK_HEARTBEATS)).await,
            role if failures == 0 && role.skips_backoff(fleet) => return role,
            role => {
                sleep(backoff(fleet, role, failures)).await;
                if current_role(fleet, acting_until) == role {
                    return role;
                }
            }
        }
    }
}

async fn read_documents<S: Store>(
    fleet: &Fleet<S>,
    revision: Option<u64>,
    wait: Duration,
) -> Result<Listing, Failure> {
    match revision {
        Some(revision) => fleet.store.watch(config::KIND, revision, wait).await,
        None => fleet.store.list(config::KIND).await,
    }
}

fn apply_listing<S: Store>(fleet: &Fleet<S>, listing: &Listing) {
    for object in &listing.objects {
        fleet.apply(&object.name, object.version, object.value.get().as_bytes());
    }
    for name in &listing.deleted {
        tracing::error!("fleet: {name} was deleted, the version in force stays.");
    }
}

/// Applies the platform's list, which lags: adds instances to contact and marks members as leaving,
/// but removes no member.
fn reconcile<S: Store>(fleet: &Fleet<S>, instances: &[Instance]) {
    let mut table = fleet.table.borrow_mut();
    let now = Instant::now();
    let mut uncontacted = BTreeMap::new();
    let mut is_changed = false;
    for instance in instances {
        if instance.name == fleet.settings.local.name {
            is_changed |= update_own_state(fleet, &mut table, instance.leaving, now);
            continue;
        }
        match table.get(&instance.name) {
            Some(record) if record.is_running() && instance.leaving => {
                let from = [State::Joining, State::Live, State::Suspect];
                is_changed |= table.transition(&instance.name, &from, State::Leaving, now);
            }
            Some(record) if record.is_running() => {}
            Some(record) if record.member.address == instance.address => {}
            _ => {
                uncontacted.insert(instance.name.clone(), instance.address);
            }
        }
    }
    drop(table);
    *fleet.uncontacted.borrow_mut() = uncontacted;
    if is_changed {
        fleet.invalidate();
        fleet.spread_update();
    }
}

/// Sets this instance's state by its entry in the platform's list; returns whether it changed.
fn update_own_state<S: Store>(
    fleet: &Fleet<S>,
    table: &mut crate::table::Table,
    leaving: bool,
    now: Instant,
) -> bool {
    match table.local().state {
        State::Live if leaving => table.announce(State::Leaving, now),
        State::Leaving if !leaving && !fleet.is_leaving.get() => table.announce(State::Live, now),
        _ => false,
    }
}

/// Returns whether this instance is leaving because the platform's list marks it so.
fn is_drained<S: Store>(fleet: &Fleet<S>) -> bool {
    fleet.table.borrow().local().state == State::Leaving && !fleet.is_leaving.get()
}

fn current_role<S: Store>(fleet: &Fleet<S>, acting_until: Option<Instant>) -> Role {
    let now = Instant::now();
    let stale_after = fleet.settings.heartbeat * STALE_HEARTBEATS;
    let is_stale = fleet
        .platform_contact
        .age(now)
        .is_none_or(|age| age > stale_after);
    let is_acting = acting_until.is_some_and(|until| now < until);
    match is_watcher(fleet) || is_acting {
        true => Role::Watcher,
        false if is_stale || !fleet.view().is_ready() => Role::Fallback,
        false => Role::Passive,
    }
}

/// Returns whether this instance ranks among the watchers.
pub(crate) fn is_watcher<S: Store>(fleet: &Fleet<S>) -> bool {
    let table = fleet.table.borrow();
    let score = |name: &str| Reverse(xxh3_64_with_seed(name.as_bytes(), WATCHERS_SEED));
    let own = score(&fleet.settings.local.name);
    let ahead = table
        .peers()
        .filter(|record| record.state == State::Live)
        .filter(|record| score(&record.member.name) < own)
        .count();
    ahead < WATCHERS + log2_ceil(table.running()) as usize
}

/// Returns the backoff after `failures` consecutive failures, with jitter.
///
/// Fallback readers wait in proportion to the fleet size, so that the sum of their calls doesn't
/// grow with it.
fn backoff<S: Store>(fleet: &Fleet<S>, role: Role, failures: u32) -> Duration {
    let factor = 1 << failures.min(10);
    let max_wait = match role {
        Role::Watcher => (MIN_BACKOFF * factor).min(MAX_BACKOFF),
        _ => {
            let members = u32::try_from(fleet.table.borrow().running()).unwrap_or(u32::MAX);
            let per_member = (MIN_MEMBER_BACKOFF * factor).min(MAX_MEMBER_BACKOFF);
            (per_member * members).max(MIN_BACKOFF * factor.min(32))
        }
    };
    max_wait.mul_f64(rand::rng().random_range(0.1..1.0))
}

//! The list of instances in the store: this instance's own entry, and those of the others.

use std::{
    cell::Cell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use monoio::time::sleep;
use platform::{
    backoff::Backoff,
    Failure,
    Listing,
    Object,
    Store, //
};
use tracing::{
    info,
    warn, //
};

use crate::{
    directory::Directory,
    follow::{
        follow,
        relaxed_limits,
        Follower,
        StoreRecovery,
        MAX_BACKOFF,
        MIN_BACKOFF, //
    },
    mirror::Position,
    peers::Member,
    relay::Relay,
    source::{
        Limits,
        Source, //
    },
};

/// Timeout of one watch of instances, whose changes aren't urgent.
const WATCH_TIMEOUT: Duration = Duration::from_millis(25_000);
/// Pause after a change, as all instances write their entries within the same seconds.
const BATCH_PAUSE: Duration = Duration::from_millis(3_000);
/// The same for an instance that supplies others, which find it behind their first listing until then.
const WATCHER_BATCH_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause before the instances are listed again while the first listing doesn't hold them all.
const FIRST_LISTING_PAUSE: Duration = Duration::from_millis(700);
/// Maximum number of first listings.
const MAX_FIRST_LISTINGS: usize = 5;
/// Time after which an entry that still isn't listed is written again: listings lag behind.
const REWRITE_PAUSE: Duration = Duration::from_millis(10_000);

/// Keeps the instances that share the servers, and the entry of this instance, in sync until the process ends.
///
/// `is_first_start` tells that the whole fleet starts for the first time, so that the first listings lack most
/// instances.
pub async fn instances<D: Directory>(
    source: Rc<Source<D::Store>>,
    recovery: StoreRecovery,
    local: Member,
    is_first_start: bool,
) {
    let mut follower = Instances::<D> {
        relay: source.relay().clone(),
        source: source.clone(),
        local,
        known: HashMap::new(),
        written_at: None,
        is_writing: Rc::default(),
        directory: std::marker::PhantomData,
    };
    follower.list_first(is_first_start).await;
    follow(source, D::INSTANCES, recovery, follower).await;
}

struct Instances<D: Directory> {
    relay: Rc<Relay>,
    source: Rc<Source<D::Store>>,
    local: Member,
    known: HashMap<Arc<str>, Member>,
    /// When the entry of this instance was last written.
    written_at: Option<Instant>,
    is_writing: Rc<Cell<bool>>,
    directory: std::marker::PhantomData<D>,
}

impl<D: Directory> Instances<D> {
    /// Lists the instances until the listing is likely to hold those that watch the store.
    ///
    /// Hundreds of instances do this at the same time, so they read what may be some seconds old, which costs the
    /// store little.
    async fn list_first(&mut self, is_first_start: bool) {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut listings = 0;
        loop {
            match self.source.store().list_stale(D::INSTANCES).await {
                Ok(listing) => {
                    backoff.reset();
                    listings += 1;
                    let is_own = |object: &Object| object.name == self.local.name;
                    let has_own = listing.objects.iter().any(is_own);
                    let has_others = !listing.objects.is_empty() && !is_first_start;
                    let position = Position::of(&listing);
                    self.source.record_position(D::INSTANCES, position);
                    self.read(&listing);
                    self.correct_own_entry(Instant::now());
                    if has_own || has_others || listings >= MAX_FIRST_LISTINGS {
                        self.apply();
                        return;
                    }
                    sleep(FIRST_LISTING_PAUSE).await;
                }
                Err(error) => {
                    warn!(%error, "roster: instances can't be listed, retrying.");
                    sleep(backoff.next_wait()).await;
                }
            }
        }
    }

    fn read(&mut self, listing: &Listing) {
        for name in &listing.deleted {
            self.known.remove(name);
        }
        for object in &listing.objects {
            match D::member(object) {
                Ok(Some(member)) => drop(self.known.insert(object.name.clone(), member)),
                Ok(None) => drop(self.known.remove(&object.name)),
                Err(error) => {
                    self.relay.meter().unreadable.add(1);
                    warn!(entry = %object.name, revision = object.version, %error, "roster: entry names no instance.");
                }
            }
        }
    }

    fn apply(&self) {
        let members = self.known.values().cloned().collect();
        self.relay.registry().set_members(members);
    }

    /// Writes the entry of this instance if it isn't listed as it should be: it is new, was shutting down before its
    /// restart, or was lost when the store was restored.
    fn correct_own_entry(&mut self, now: Instant) {
        let is_listed = self.known.get(&self.local.name) == Some(&self.local);
        let was_written = |at: Instant| now.saturating_duration_since(at) < REWRITE_PAUSE;
        let is_recent = self.written_at.is_some_and(was_written);
        if is_listed || is_recent || self.is_writing.get() || self.relay.is_draining() {
            return;
        }
        self.written_at = Some(now);
        self.is_writing.set(true);
        let (store, local) = (self.source.store().clone(), self.local.clone());
        let is_writing = self.is_writing.clone();
        monoio::spawn(async move {
            announce::<D>(store, local, false).await;
            is_writing.set(false);
        });
    }
}

impl<D: Directory> Follower for Instances<D> {
    const NAME: &'static str = "instances";

    fn pause(&self) -> Duration {
        match self.relay.registry().supplies_others() {
            true => WATCHER_BATCH_PAUSE,
            false => BATCH_PAUSE,
        }
    }

    fn relists_after_failure(&self) -> bool {
        false
    }

    fn limits(&self) -> Limits {
        relaxed_limits(WATCH_TIMEOUT)
    }

    fn listed(&mut self, listing: Listing, now: Instant) {
        self.known.clear();
        self.changed(listing, now);
    }

    fn changed(&mut self, listing: Listing, now: Instant) {
        self.read(&listing);
        self.correct_own_entry(now);
        self.apply();
    }

    fn store_restored(&mut self, _now: Instant) {
        // The entry may be lost, whenever it was written.
        self.written_at = None;
    }
}

/// Writes the entry of this instance, with retries until the store has accepted it.
pub async fn announce<D: Directory>(store: Rc<D::Store>, local: Member, draining: bool) {
    let value = D::instance(&local, draining);
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    let mut expected = 0;
    loop {
        match store
            .write(D::INSTANCES, &local.name, expected, &value)
            .await
        {
            Ok(revision) => {
                info!(
                    leaving = draining,
                    revision, "roster: entry of this instance written."
                );
                return;
            }
            Err(Failure::Conflict { current }) => expected = current,
            Err(error) => {
                warn!(leaving = draining, %error, "roster: entry of this instance can't be written, retrying.");
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

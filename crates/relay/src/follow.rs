//! Keeps routes, servers and instances in sync with the store.
//!
//! Each kind of object has its own task. It lists the objects, waits for changes from the revision of the listing
//! on, and lists them again when that history is gone. What it reads is also kept for other instances, see
//! [`crate::mirror`].

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::future::{
    select,
    Either, //
};
use monoio::time::{
    sleep,
    timeout, //
};
use platform::{
    backoff::Backoff,
    Failure,
    Listing,
    Object,
    Store, //
};
use policy::watchers;
use tracing::{
    info,
    warn, //
};
use web::Notification;

pub use crate::directory::{
    Directory,
    ParseError, //
};
use crate::{
    mirror::{
        Position,
        Reading, //
    },
    relay::Relay,
    server::Description,
    source::{
        Limits,
        ReadError,
        Source, //
    },
};

/// Timeout of one watch if this instance answers requests itself.
///
/// A watch that the store has lost is only noticed when it times out, and a change must take effect
/// within seconds.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Timeout of one watch if peers, which are more up to date, answer the requests.
const DELEGATING_WATCH_TIMEOUT: Duration = Duration::from_millis(12_000);
/// How long a watcher holds a read whose changes aren't urgent, and the maximum age of its reading.
const RELAXED_FEED_WAIT: Duration = Duration::from_millis(5_000);
const RELAXED_MAX_AGE: Duration = Duration::from_millis(40_000);
/// Initial and maximum backoff after a failed call to the store.
pub(crate) const MIN_BACKOFF: Duration = Duration::from_millis(100);
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum wait after a failed call for a task that relies on another one, which probes the store.
const MAX_RECOVERY_WAIT: Duration = Duration::from_millis(3_000);

/// Returns whether changes are urgent for this instance: it answers requests itself, or supplies others.
fn is_urgent(relay: &Relay) -> bool {
    let registry = relay.registry();
    registry.answers_locally(Instant::now()) || registry.supplies_others()
}

/// Returns the limits of reads whose changes must take effect within seconds.
fn urgent_limits(relay: &Relay) -> Limits {
    Limits {
        store_wait: match is_urgent(relay) {
            true => WATCH_TIMEOUT,
            false => DELEGATING_WATCH_TIMEOUT,
        },
        feed_wait: watchers::poll_wait(relay.registry().change_time()),
        max_age: watchers::MAX_AGE,
    }
}

/// Returns the limits of reads whose changes aren't urgent, given the timeout of one watch of the store.
pub(crate) fn relaxed_limits(store_wait: Duration) -> Limits {
    Limits {
        store_wait,
        feed_wait: RELAXED_FEED_WAIT,
        max_age: RELAXED_MAX_AGE,
    }
}

/// Notifies the tasks of one process that the store is available again, so that only one of them has to
/// probe it, or that it was restored from an older copy, so that none waits for changes of the earlier era.
#[derive(Debug, Clone, Default)]
pub struct StoreRecovery {
    recovered: Rc<Notification>,
    restored: Rc<Notification>,
    /// Name of the task that probes the store.
    prober: Rc<Cell<Option<&'static str>>>,
}

impl StoreRecovery {
    /// Returns whether the task probes the store, which it does from now on if no other one does.
    fn probes(&self, task: &'static str) -> bool {
        let prober = self.prober.get().unwrap_or(task);
        self.prober.set(Some(prober));
        prober == task
    }

    /// Records that the task no longer probes the store.
    fn end_probes(&self, task: &'static str) {
        let prober = self.prober.get().filter(|prober| *prober != task);
        self.prober.set(prober);
    }

    fn notify(&self) {
        self.recovered.send();
    }

    fn notify_restored(&self) {
        self.restored.send();
    }

    fn wait_restored(&self) -> impl std::future::Future<Output = ()> {
        self.restored.wait()
    }

    async fn wait(&self, max_wait: Duration) {
        let recovered = self.recovered.wait();
        // The caller retries in either case: after the notification and after the timeout.
        let _ = timeout(max_wait, recovered).await;
    }
}

/// Handler of the objects of one kind.
pub(crate) trait Follower {
    const NAME: &'static str;
    /// Whether this task probes an unavailable store with backoff, if no other one does, instead of waiting for a
    /// notification.
    const MAY_PROBE: bool = false;
    /// Returns the pause between a change and the next watch.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
    /// Returns whether a failed watch is followed by a new listing.
    ///
    /// A store that has dropped its history would let a watch from an earlier revision wait in vain.
    fn relists_after_failure(&self) -> bool;
    /// Returns the limits of the next read.
    fn limits(&self) -> Limits;
    fn listed(&mut self, listing: Listing, now: Instant);
    fn changed(&mut self, listing: Listing, now: Instant);
    /// Handles a failed call; the store has been unavailable since `since`.
    fn store_failed(&mut self, _since: Instant) {}
    fn store_answered(&mut self, _now: Instant) {}
    /// Handles the restoration of the store from an older copy, before the objects are listed again.
    fn store_restored(&mut self, _now: Instant) {}
}

/// Reads all objects, or waits for changes after `position` until another task finds that the store was restored.
async fn read<S: Store>(
    source: &Source<S>,
    kind: &'static str,
    position: Option<Position>,
    limits: Limits,
    recovery: &StoreRecovery,
) -> Result<Reading, ReadError> {
    match position {
        None => source.read(kind, None, limits).await,
        Some(position) if position.era != source.era() => Err(ReadError::Failed(Failure::Restored)),
        Some(position) => {
            let reading = pin!(source.read(kind, Some(position), limits));
            let restored = pin!(recovery.wait_restored());
            match select(reading, restored).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Err(ReadError::Failed(Failure::Restored)),
            }
        }
    }
}

pub(crate) async fn follow<S: Store, F: Follower>(
    source: Rc<Source<S>>,
    kind: &'static str,
    recovery: StoreRecovery,
    mut follower: F,
) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    let mut position: Option<Position> = None;
    // Era of the last successful read.
    let mut era = source.latest(kind).map(|position| position.era);
    let mut is_unavailable = false;
    loop {
        let (started_at, limits) = (Instant::now(), follower.limits());
        let result = read(&source, kind, position, limits, &recovery).await;
        let now = Instant::now();
        if era.is_some_and(|era| era != source.era()) {
            info!(
                kind,
                era = source.era(),
                "follow: {} are listed again, the store was restored from an older copy.",
                F::NAME
            );
            era = Some(source.era());
            follower.store_restored(now);
            recovery.notify_restored();
        }
        match result {
            Ok(reading) => {
                let read = Position::of(&reading.listing);
                if std::mem::take(&mut is_unavailable) {
                    recovery.end_probes(F::NAME);
                    recovery.notify();
                    info!(
                        kind,
                        revision = read.revision,
                        "follow: {} can be read again.",
                        F::NAME
                    );
                }
                follower.store_answered(now);
                backoff.reset();
                let Listing {
                    objects, deleted, ..
                } = &reading.listing;
                let is_unchanged = objects.is_empty() && deleted.is_empty();
                era = Some(read.era);
                let mirror = source.relay().mirror();
                match position.replace(read) {
                    None => {
                        mirror.replace(kind, &reading);
                        follower.listed(reading.listing, now);
                    }
                    Some(_) => {
                        mirror.update(kind, &reading);
                        follower.changed(reading.listing, now);
                    }
                }
                let pause = follower.pause();
                if !is_unchanged && !pause.is_zero() {
                    sleep(pause).await;
                }
            }
            Err(ReadError::Unsupplied) => {
                recovery.end_probes(F::NAME);
                sleep(backoff.next_wait()).await;
            }
            Err(ReadError::Failed(Failure::Restored)) => position = None,
            Err(ReadError::Failed(Failure::Compacted)) => {
                info!(
                    kind,
                    revision = position.map(|position| position.revision),
                    "follow: {} are listed again, the history was compacted.",
                    F::NAME
                );
                position = None;
            }
            Err(ReadError::Failed(error)) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    let revision = position.map(|position| position.revision);
                    warn!(kind, revision, %error, "follow: {} can't be read.", F::NAME);
                }
                // A call that timed out may have been sent to a store that was unavailable already.
                let has_timed_out = now - started_at >= limits.store_wait;
                follower.store_failed(if has_timed_out { started_at } else { now });
                position = position.filter(|_| !follower.relists_after_failure());
                // A watch tells only when it ends whether the store is available.
                match F::MAY_PROBE && position.is_none() && recovery.probes(F::NAME) {
                    true => sleep(backoff.next_wait()).await,
                    false => recovery.wait(MAX_RECOVERY_WAIT).await,
                }
            }
        }
    }
}

/// Keeps the routes in sync until the process ends.
pub async fn routes<D: Directory>(source: Rc<Source<D::Store>>, recovery: StoreRecovery) {
    let follower = Routes::<D> {
        relay: source.relay().clone(),
        directory: std::marker::PhantomData,
    };
    follow(source, D::ROUTES.0, recovery, follower).await;
}

struct Routes<D> {
    relay: Rc<Relay>,
    directory: std::marker::PhantomData<D>,
}

impl<D: Directory> Follower for Routes<D> {
    const NAME: &'static str = "routes";
    const MAY_PROBE: bool = true;

    fn relists_after_failure(&self) -> bool {
        true
    }

    fn limits(&self) -> Limits {
        urgent_limits(&self.relay)
    }

    fn listed(&mut self, listing: Listing, now: Instant) {
        self.changed(listing, now);
    }

    fn changed(&mut self, listing: Listing, _now: Instant) {
        let named = |object: &&Object| &*object.name == D::ROUTES.1;
        for object in listing.objects.iter().filter(named) {
            match D::table(object) {
                Ok(table) => self.relay.set_table(Arc::new(table)),
                Err(error) => {
                    self.relay.meter().unreadable.add(1);
                    warn!(revision = object.version, %error, "follow: configuration can't be parsed, the current one stays in force.");
                }
            }
        }
    }
}

/// Keeps the servers in sync until the process ends.
pub async fn servers<D: Directory>(source: Rc<Source<D::Store>>, recovery: StoreRecovery) {
    let follower = Servers::<D> {
        relay: source.relay().clone(),
        directory: std::marker::PhantomData,
    };
    follow(source, D::SERVERS, recovery, follower).await;
}

struct Servers<D> {
    relay: Rc<Relay>,
    directory: std::marker::PhantomData<D>,
}

impl<D: Directory> Servers<D> {
    fn read(&self, object: &Object) -> Option<Description> {
        match D::server(object) {
            Ok(description) => Some(description),
            Err(error) => {
                self.relay.meter().unreadable.add(1);
                info!(entry = %object.name, revision = object.version, %error, "follow: entry names no server.");
                None
            }
        }
    }
}

impl<D: Directory> Follower for Servers<D> {
    const NAME: &'static str = "servers";
    const MAY_PROBE: bool = true;

    fn pause(&self) -> Duration {
        match is_urgent(&self.relay) {
            true => watchers::CHANGE_PAUSE,
            false => watchers::batch_pause(self.relay.registry().change_time()),
        }
    }

    fn relists_after_failure(&self) -> bool {
        self.relay.registry().answers_locally(Instant::now())
    }

    fn limits(&self) -> Limits {
        urgent_limits(&self.relay)
    }

    fn listed(&mut self, listing: Listing, now: Instant) {
        let objects = listing.objects.iter();
        let descriptions = objects.filter_map(|object| self.read(object)).collect();
        self.relay.registry().replace(descriptions, now);
    }

    fn changed(&mut self, listing: Listing, now: Instant) {
        let registry = self.relay.registry();
        for name in &listing.deleted {
            registry.remove(name, now);
        }
        for object in &listing.objects {
            match self.read(object) {
                Some(description) => registry.update(description, now),
                None => registry.remove(&object.name, now),
            }
        }
    }

    fn store_failed(&mut self, since: Instant) {
        self.relay.registry().store_unavailable(since);
    }

    fn store_answered(&mut self, now: Instant) {
        self.relay.registry().store_available(now);
    }

    fn store_restored(&mut self, now: Instant) {
        self.relay.registry().store_restored(now);
    }
}

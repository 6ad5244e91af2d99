//! Keeps routes, servers and instances in sync with the store.
//!
//! Each kind of object has its own task. It lists the objects, watches for changes from the revision of
//! the listing on, and lists them again when the store has compacted that history.

use std::{
    cell::RefCell,
    collections::HashMap,
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
use route::Table;
use tracing::{
    info,
    warn, //
};
use web::Stop;

use crate::{
    peer::Member,
    relay::Relay,
    server::Description, //
};

/// Timeout of one watch if this instance answers requests itself.
///
/// A watch that the store has lost is only noticed when it times out, and a change must take effect
/// within seconds.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Timeout of one watch if peers, which are more up to date, answer the requests.
const DELEGATING_WATCH_TIMEOUT: Duration = Duration::from_millis(12_000);
/// Timeout of one watch of instances, whose changes aren't urgent.
const INSTANCES_WATCH_TIMEOUT: Duration = Duration::from_millis(25_000);
/// Pause after a change of servers, so that many changes are read in one call. A draining server keeps
/// serving for several times as long.
const SERVERS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a change that isn't urgent: of instances, which all write their entries within the same
/// seconds, and of servers if peers answer the requests.
const BATCH_PAUSE: Duration = Duration::from_millis(3_000);
/// Initial and maximum backoff after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum wait after a failed call for a task that relies on another task to detect the recovery of the
/// store.
const MAX_RECOVERY_WAIT: Duration = Duration::from_millis(3_000);

/// An object that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Reason, for logs.
    pub reason: String,
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for ParseError {}

/// Location and encoding of the objects that a relay reads from and writes to the store.
pub trait Directory: 'static {
    /// The store.
    type Store: Store;

    /// Kind and name of the object with the routes.
    const ROUTES: (&'static str, &'static str);
    /// Kind of the servers' entries.
    const SERVERS: &'static str;
    /// Kind of the instances' entries.
    const INSTANCES: &'static str;

    /// Parses the routes.
    ///
    /// # Errors
    ///
    /// Fails if the object doesn't hold routes.
    fn table(object: &Object) -> Result<Table, ParseError>;

    /// Parses the entry of a server.
    ///
    /// # Errors
    ///
    /// Fails if the object doesn't describe a server.
    fn server(object: &Object) -> Result<Description, ParseError>;

    /// Encodes the entry of this instance.
    fn instance(member: &Member, draining: bool) -> Box<serde_json::value::RawValue>;

    /// Parses the entry of an instance; none if the instance is shutting down.
    ///
    /// # Errors
    ///
    /// Fails if the object isn't the entry of an instance.
    fn member(object: &Object) -> Result<Option<Member>, ParseError>;
}

fn watch_timeout(relay: &Relay) -> Duration {
    match relay.registry().answers_locally(Instant::now()) {
        true => WATCH_TIMEOUT,
        false => DELEGATING_WATCH_TIMEOUT,
    }
}

/// Notifies the tasks of one process that the store is available again, so that only one of them has to
/// probe it, or that it was restored from an older copy, so that none waits for changes of the earlier era.
#[derive(Debug, Clone, Default)]
pub struct StoreRecovery {
    recovered: Rc<RefCell<Stop>>,
    restored: Rc<RefCell<Stop>>,
}

impl StoreRecovery {
    fn notify(&self) {
        self.recovered.replace(Stop::new()).set();
    }

    fn notify_restored(&self) {
        self.restored.replace(Stop::new()).set();
    }

    fn wait_restored(&self) -> impl std::future::Future<Output = ()> {
        self.restored.borrow().wait()
    }

    async fn wait(&self, max_wait: Duration) {
        let recovered = self.recovered.borrow().wait();
        // The caller retries in either case: after the notification and after the timeout.
        let _ = timeout(max_wait, recovered).await;
    }
}

/// Handler of the objects of one kind.
trait Follower {
    const NAME: &'static str;
    /// Whether this task probes an unavailable store with backoff instead of waiting for a notification.
    const PROBES_STORE: bool = false;
    /// Returns the pause between a change and the next watch.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
    /// Returns whether a failed watch is followed by a new listing.
    ///
    /// A store that has dropped its history would let a watch from an earlier revision wait in vain.
    fn relists_after_failure(&self) -> bool;
    /// Returns the timeout of the next watch.
    fn watch_timeout(&self) -> Duration;
    fn listed(&mut self, listing: Listing, now: Instant);
    fn changed(&mut self, listing: Listing, now: Instant);
    fn store_failed(&mut self, _now: Instant) {}
    fn store_answered(&mut self, _now: Instant) {}
    /// Handles the restoration of the store from an older copy, before the objects are listed again.
    fn store_restored(&mut self, _now: Instant) {}
}

/// State of the store that a task has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    era: u64,
    revision: u64,
}

/// Waits for changes after `position`, until another task finds that the store was restored.
async fn watch<S: Store>(
    store: &S,
    kind: &str,
    position: Position,
    wait: Duration,
    recovery: &StoreRecovery,
) -> Result<Listing, Failure> {
    if store.era() != position.era {
        return Err(Failure::Restored);
    }
    let changes = pin!(store.watch(kind, position.revision, wait));
    let restored = pin!(recovery.wait_restored());
    match select(changes, restored).await {
        Either::Left((Ok(listing), _)) if listing.era != position.era => Err(Failure::Restored),
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Failure::Restored),
    }
}

async fn follow<S: Store, F: Follower>(
    store: Rc<S>,
    kind: &'static str,
    recovery: StoreRecovery,
    mut follower: F,
) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    let mut position: Option<Position> = None;
    // Era of the last successful read.
    let mut era = None;
    let mut is_unavailable = false;
    loop {
        let result = match position {
            None => store.list(kind).await,
            Some(position) => {
                let wait = follower.watch_timeout();
                watch(&*store, kind, position, wait, &recovery).await
            }
        };
        let now = Instant::now();
        if era.is_some_and(|era| era != store.era()) {
            info!(
                kind,
                era = store.era(),
                "follow: {} are listed again, the store was restored from an older copy.",
                F::NAME
            );
            era = Some(store.era());
            follower.store_restored(now);
            recovery.notify_restored();
        }
        match result {
            Ok(listing) => {
                if std::mem::take(&mut is_unavailable) {
                    recovery.notify();
                    info!(
                        kind,
                        revision = listing.revision,
                        "follow: {} can be read again.",
                        F::NAME
                    );
                }
                follower.store_answered(now);
                backoff.reset();
                let is_unchanged = listing.objects.is_empty() && listing.deleted.is_empty();
                let read = Position {
                    era: listing.era,
                    revision: listing.revision,
                };
                era = Some(read.era);
                match position.replace(read) {
                    None => follower.listed(listing, now),
                    Some(_) => follower.changed(listing, now),
                }
                let pause = follower.pause();
                if !is_unchanged && !pause.is_zero() {
                    sleep(pause).await;
                }
            }
            Err(Failure::Restored) => position = None,
            Err(Failure::Compacted) => {
                info!(
                    kind,
                    revision = position.map(|position| position.revision),
                    "follow: {} are listed again, the store has compacted the history.",
                    F::NAME
                );
                position = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    let revision = position.map(|position| position.revision);
                    warn!(kind, revision, %error, "follow: {} can't be read.", F::NAME);
                }
                follower.store_failed(now);
                position = position.filter(|_| !follower.relists_after_failure());
                match F::PROBES_STORE {
                    true => sleep(backoff.next_wait()).await,
                    false => recovery.wait(MAX_RECOVERY_WAIT).await,
                }
            }
        }
    }
}

/// Keeps the routes in sync until the process ends.
pub async fn routes<D: Directory>(relay: Rc<Relay>, store: Rc<D::Store>, recovery: StoreRecovery) {
    let follower = Routes::<D> {
        relay,
        directory: std::marker::PhantomData,
    };
    follow(store, D::ROUTES.0, recovery, follower).await;
}

struct Routes<D> {
    relay: Rc<Relay>,
    directory: std::marker::PhantomData<D>,
}

impl<D: Directory> Follower for Routes<D> {
    const NAME: &'static str = "routes";
    const PROBES_STORE: bool = true;

    fn relists_after_failure(&self) -> bool {
        true
    }

    fn watch_timeout(&self) -> Duration {
        watch_timeout(&self.relay)
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
pub async fn servers<D: Directory>(relay: Rc<Relay>, store: Rc<D::Store>, recovery: StoreRecovery) {
    let follower = Servers::<D> {
        relay,
        directory: std::marker::PhantomData,
    };
    follow(store, D::SERVERS, recovery, follower).await;
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

    fn pause(&self) -> Duration {
        match self.relay.registry().answers_locally(Instant::now()) {
            true => SERVERS_PAUSE,
            false => BATCH_PAUSE,
        }
    }

    fn relists_after_failure(&self) -> bool {
        self.relay.registry().answers_locally(Instant::now())
    }

    fn watch_timeout(&self) -> Duration {
        watch_timeout(&self.relay)
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

    fn store_failed(&mut self, now: Instant) {
        self.relay.registry().store_unavailable(now);
    }

    fn store_answered(&mut self, now: Instant) {
        self.relay.registry().store_available(now);
    }

    fn store_restored(&mut self, now: Instant) {
        self.relay.registry().store_restored(now);
    }
}

/// Keeps the instances that share the servers in sync until the process ends.
pub async fn instances<D: Directory>(
    relay: Rc<Relay>,
    store: Rc<D::Store>,
    recovery: StoreRecovery,
) {
    let follower = Instances::<D> {
        relay,
        known: HashMap::new(),
        directory: std::marker::PhantomData,
    };
    follow(store, D::INSTANCES, recovery, follower).await;
}

struct Instances<D> {
    relay: Rc<Relay>,
    known: HashMap<Arc<str>, Member>,
    directory: std::marker::PhantomData<D>,
}

impl<D: Directory> Follower for Instances<D> {
    const NAME: &'static str = "instances";

    fn pause(&self) -> Duration {
        BATCH_PAUSE
    }

    fn relists_after_failure(&self) -> bool {
        false
    }

    fn watch_timeout(&self) -> Duration {
        INSTANCES_WATCH_TIMEOUT
    }

    fn listed(&mut self, listing: Listing, now: Instant) {
        self.known.clear();
        self.changed(listing, now);
    }

    fn changed(&mut self, listing: Listing, _now: Instant) {
        for name in &listing.deleted {
            self.known.remove(name);
        }
        for object in &listing.objects {
            match D::member(object) {
                Ok(Some(member)) => drop(self.known.insert(object.name.clone(), member)),
                Ok(None) => drop(self.known.remove(&object.name)),
                Err(error) => {
                    self.relay.meter().unreadable.add(1);
                    warn!(entry = %object.name, revision = object.version, %error, "follow: entry names no instance.");
                }
            }
        }
        let members = self.known.values().cloned().collect();
        self.relay.registry().set_members(members);
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
                    revision, "follow: entry of this instance written."
                );
                return;
            }
            Err(Failure::Conflict { current }) => expected = current,
            Err(error) => {
                warn!(leaving = draining, %error, "follow: entry of this instance can't be written, retrying.");
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

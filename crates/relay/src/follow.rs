//! Keeps routes, servers and instances in step with the store.
//!
//! Each kind of object has a task of its own. It lists the kind, then waits for changes from the
//! revision that the list reflects, and lists again when the store no longer has that history.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
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

/// Longest wait of one watch where requests are answered: a watch that the store has lost shows only
/// after it, and a change must be in force within seconds.
const WAIT: Duration = Duration::from_millis(3_000);
/// Longest wait where peers that know better answer what they can.
const WAIT_OF_SMALL: Duration = Duration::from_millis(12_000);
/// Longest wait for changes of instances, which nothing waits for.
const WAIT_INSTANCES: Duration = Duration::from_millis(25_000);
/// Pause after a change of servers, so that many changes cost one call; a server that leaves goes on
/// serving for several times as long.
const SERVERS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a change that nothing waits for: of instances, which all write their entries in the same
/// seconds, and of servers where peers answer.
const IDLE_PAUSE: Duration = Duration::from_millis(3_000);
/// Waits after a failed call to the store: the first, and the longest.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_LONGEST: Duration = Duration::from_millis(500);
/// Longest wait of a task that leaves it to another one to find out that the store is back.
const RETRY_OF_OTHERS: Duration = Duration::from_millis(3_000);

/// An object that can't be understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable {
    /// What is wrong with it.
    pub reason: String,
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Unreadable {}

/// Where the store keeps what a relay follows, and how it is written.
pub trait Directory: 'static {
    /// The store.
    type Store: Store;

    /// Kind and name of the object that holds the routes.
    const ROUTES: (&'static str, &'static str);
    /// Kind of the servers' entries.
    const SERVERS: &'static str;
    /// Kind of the instances' entries.
    const INSTANCES: &'static str;

    /// Reads the routes.
    ///
    /// # Errors
    ///
    /// Fails if the object doesn't hold routes.
    fn table(object: &Object) -> Result<Table, Unreadable>;

    /// Reads the entry of a server.
    ///
    /// # Errors
    ///
    /// Fails if the object doesn't describe a server.
    fn server(object: &Object) -> Result<Description, Unreadable>;

    /// Writes the entry of this instance.
    fn instance(member: &Member, leaving: bool) -> Box<serde_json::value::RawValue>;

    /// Reads the entry of an instance; none if it leaves.
    ///
    /// # Errors
    ///
    /// Fails if the object isn't the entry of an instance.
    fn member(object: &Object) -> Result<Option<Member>, Unreadable>;
}

fn wait(relay: &Relay) -> Duration {
    match relay.registry().answers(Instant::now()) {
        true => WAIT,
        false => WAIT_OF_SMALL,
    }
}

/// Tells the tasks of one process that the store is back, so that only one of them has to ask.
#[derive(Debug, Clone, Default)]
pub struct Reach(Rc<RefCell<Stop>>);

impl Reach {
    fn regained(&self) {
        self.0.replace(Stop::new()).set();
    }

    async fn wait(&self, longest: Duration) {
        let regained = self.0.borrow().wait();
        // A wait that is too long ends like one that was of use.
        let _ = timeout(longest, regained).await;
    }
}

/// What a task does with the objects of its kind.
trait Follower {
    const NAME: &'static str;
    /// Whether this task finds out that the store is back.
    const ASKS: bool = false;
    /// Returns the pause after a change before the next one is waited for.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }
    /// Returns whether a watch that was lost is followed by a new listing.
    ///
    /// A store that drops its history keeps a watch from before waiting in vain.
    fn lists_again(&self) -> bool;
    /// Returns the longest wait of the next watch.
    fn wait(&self) -> Duration;
    fn listed(&mut self, listing: Listing, now: Instant);
    fn changed(&mut self, listing: Listing, now: Instant);
    fn lost(&mut self, _now: Instant) {}
    fn reached(&mut self, _now: Instant) {}
}

async fn follow<S: Store, F: Follower>(
    store: Rc<S>,
    kind: &'static str,
    reach: Reach,
    mut follower: F,
) {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LONGEST);
    let mut revision = None;
    let mut is_lost = false;
    loop {
        let result = match revision {
            None => store.list(kind).await,
            Some(revision) => store.watch(kind, revision, follower.wait()).await,
        };
        let now = Instant::now();
        match result {
            Ok(listing) => {
                if std::mem::take(&mut is_lost) {
                    reach.regained();
                    info!(
                        kind,
                        revision = listing.revision,
                        "follow: {} can be read again.",
                        F::NAME
                    );
                }
                follower.reached(now);
                backoff.reset();
                let is_quiet = listing.objects.is_empty() && listing.deleted.is_empty();
                let was = revision.replace(listing.revision);
                match was {
                    None => follower.listed(listing, now),
                    Some(_) => follower.changed(listing, now),
                }
                let pause = follower.pause();
                if !is_quiet && !pause.is_zero() {
                    sleep(pause).await;
                }
            }
            Err(Failure::Compacted) => {
                info!(
                    kind,
                    revision,
                    "follow: {} are listed again, the history is gone.",
                    F::NAME
                );
                revision = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(kind, revision, %error, "follow: {} can't be read.", F::NAME);
                }
                follower.lost(now);
                revision = revision.filter(|_| !follower.lists_again());
                match F::ASKS {
                    true => sleep(backoff.next_wait()).await,
                    false => reach.wait(RETRY_OF_OTHERS).await,
                }
            }
        }
    }
}

/// Follows the routes.
pub async fn routes<D: Directory>(relay: Rc<Relay>, store: Rc<D::Store>, reach: Reach) {
    let follower = Routes::<D> {
        relay,
        directory: std::marker::PhantomData,
    };
    follow(store, D::ROUTES.0, reach, follower).await;
}

struct Routes<D> {
    relay: Rc<Relay>,
    directory: std::marker::PhantomData<D>,
}

impl<D: Directory> Follower for Routes<D> {
    const NAME: &'static str = "routes";
    const ASKS: bool = true;

    fn lists_again(&self) -> bool {
        true
    }

    fn wait(&self) -> Duration {
        wait(&self.relay)
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
                    warn!(revision = object.version, %error, "follow: configuration can't be used, the one in force stays.");
                }
            }
        }
    }
}

/// Follows the servers.
pub async fn servers<D: Directory>(relay: Rc<Relay>, store: Rc<D::Store>, reach: Reach) {
    let follower = Servers::<D> {
        relay,
        directory: std::marker::PhantomData,
    };
    follow(store, D::SERVERS, reach, follower).await;
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
        match self.relay.registry().answers(Instant::now()) {
            true => SERVERS_PAUSE,
            false => IDLE_PAUSE,
        }
    }

    fn lists_again(&self) -> bool {
        self.relay.registry().answers(Instant::now())
    }

    fn wait(&self) -> Duration {
        wait(&self.relay)
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

    fn lost(&mut self, now: Instant) {
        self.relay.registry().store_lost(now);
    }

    fn reached(&mut self, now: Instant) {
        self.relay.registry().store_reached(now);
    }
}

/// Follows the instances that share the servers.
pub async fn instances<D: Directory>(relay: Rc<Relay>, store: Rc<D::Store>, reach: Reach) {
    let follower = Instances::<D> {
        relay,
        known: HashMap::new(),
        directory: std::marker::PhantomData,
    };
    follow(store, D::INSTANCES, reach, follower).await;
}

struct Instances<D> {
    relay: Rc<Relay>,
    known: HashMap<Arc<str>, Member>,
    directory: std::marker::PhantomData<D>,
}

impl<D: Directory> Follower for Instances<D> {
    const NAME: &'static str = "instances";

    fn pause(&self) -> Duration {
        IDLE_PAUSE
    }

    fn lists_again(&self) -> bool {
        false
    }

    fn wait(&self) -> Duration {
        WAIT_INSTANCES
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

/// Writes the entry of this instance, until the store has it.
pub async fn announce<D: Directory>(store: Rc<D::Store>, me: Member, leaving: bool) {
    let value = D::instance(&me, leaving);
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LONGEST);
    let mut expected = 0;
    loop {
        match store.write(D::INSTANCES, &me.name, expected, &value).await {
            Ok(revision) => {
                info!(leaving, revision, "follow: instance is announced.");
                return;
            }
            Err(Failure::Conflict { current }) => expected = current,
            Err(error) => {
                warn!(leaving, %error, "follow: instance can't be announced yet.");
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

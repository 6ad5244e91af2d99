//! A store in the test's own memory, and the encoding of its objects.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use monoio::time::timeout;
use platform::{
    Failure,
    Instance,
    Listing,
    Object,
    Store, //
};
use policy::quarantine::{
    Cases,
    Crash,
    Fingerprint,
    Turn, //
};
use relay::{
    follow::{
        Directory,
        ParseError, //
    },
    peers::Member,
    server::Description,
};
use route::Table;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::{
    to_raw_value,
    RawValue, //
};
use web::Notification;

use super::{
    query_route,
    read_and_write_routes,
    table, //
};

#[derive(Debug, Clone, Default)]
struct State {
    era: u64,
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<Arc<str>, Object>>,
    /// Kind, name and revision of each change, oldest first.
    changes: Vec<(String, Arc<str>, u64)>,
}

/// The store that all instances of a test share.
#[derive(Debug, Default)]
pub struct SharedStore {
    state: RefCell<State>,
    changed: Notification,
}

impl SharedStore {
    /// Writes an object without a condition.
    pub fn put(&self, kind: &str, name: &str, value: &impl Serialize) {
        let value = to_raw_value(value).expect("JSON");
        self.write(kind, name, &value);
    }

    fn write(&self, kind: &str, name: &str, value: &RawValue) -> u64 {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let object = Object {
            name: name.into(),
            version: state.revision,
            value: Arc::from(value.to_owned()),
        };
        let revision = state.revision;
        state.changes.push((kind.to_owned(), name.into(), revision));
        let objects = state.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.into(), object);
        drop(state);
        self.changed.send();
        revision
    }

    /// Wakes all watches without a change.
    pub fn wake_watches(&self) {
        self.changed.send();
    }

    /// Returns a copy to restore later.
    pub fn copy(&self) -> impl FnOnce(&Self) {
        let copy = self.state.borrow().clone();
        move |store| {
            let era = store.state.borrow().era + 1;
            *store.state.borrow_mut() = State { era, ..copy };
            store.changed.send();
        }
    }

    /// Returns the value of an object.
    pub fn value(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.borrow();
        let object = state.kinds.get(kind)?.get(name)?;
        Some(object.value.get().to_owned())
    }
}

/// One instance's way to the store.
#[derive(Debug, Default)]
pub struct Link {
    shared: Rc<SharedStore>,
    era: Cell<u64>,
    /// Whether the store sends nothing to the instance any more.
    pub is_silent: Cell<bool>,
    /// Whether the store refuses each call.
    pub is_down: Cell<bool>,
    /// Whether watches report the current revision without the changes before it.
    pub is_deaf: Cell<bool>,
    /// Kinds whose next watch finds that the history is gone.
    pub forgotten: RefCell<BTreeSet<String>>,
    /// Kinds whose watch has its connection broken at the next change or wake-up.
    pub broken: RefCell<BTreeSet<String>>,
    /// Calls that the instance has made, stale reads excluded.
    pub calls: Cell<usize>,
}

impl Link {
    /// Connects an instance.
    pub fn new(shared: &Rc<SharedStore>) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            ..Self::default()
        })
    }

    async fn call(&self, wait: Duration) -> Result<(), Failure> {
        self.calls.set(self.calls.get() + 1);
        if self.is_down.get() {
            return Err(Failure::Unavailable);
        }
        if self.is_silent.get() {
            monoio::time::sleep(wait + Duration::from_millis(700)).await;
            return Err(Failure::Lost);
        }
        Ok(())
    }

    fn list_now(&self, kind: &str) -> Listing {
        let state = self.shared.state.borrow();
        self.era.set(state.era);
        let objects = state.kinds.get(kind).into_iter().flat_map(BTreeMap::values);
        Listing {
            era: state.era,
            revision: state.revision,
            objects: objects.cloned().collect(),
            deleted: Vec::new(),
        }
    }

    fn changes(&self, kind: &str, after: u64) -> Result<Listing, Failure> {
        let state = self.shared.state.borrow();
        self.era.set(state.era);
        if after > state.revision {
            return Err(Failure::Compacted);
        }
        if self.is_deaf.get() && after < state.revision {
            return Ok(Listing {
                era: state.era,
                revision: state.revision,
                ..Listing::default()
            });
        }
        if self.forgotten.borrow_mut().remove(kind) {
            return Err(Failure::Compacted);
        }
        let newer = state.changes.iter();
        let newer = newer.filter(|(of, _, revision)| of == kind && *revision > after);
        let mut listing = Listing {
            era: state.era,
            revision: state.revision,
            ..Listing::default()
        };
        for (_, name, _) in newer {
            let object = state.kinds.get(kind).and_then(|kind| kind.get(name));
            listing.objects.retain(|known| known.name != *name);
            listing.objects.extend(object.cloned());
        }
        Ok(listing)
    }
}

impl Store for Link {
    async fn read(&self, kind: &str, name: &str) -> Result<Option<Object>, Failure> {
        self.call(Duration::ZERO).await?;
        let listing = self.list_now(kind);
        Ok(listing
            .objects
            .into_iter()
            .find(|object| *object.name == *name))
    }

    async fn list(&self, kind: &str) -> Result<Listing, Failure> {
        self.call(Duration::ZERO).await?;
        Ok(self.list_now(kind))
    }

    async fn list_stale(&self, kind: &str) -> Result<Listing, Failure> {
        Ok(self.list_now(kind))
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: &RawValue,
    ) -> Result<u64, Failure> {
        self.call(Duration::ZERO).await?;
        let known = self.list_now(kind).objects.into_iter();
        let current = known
            .filter(|object| *object.name == *name)
            .map(|object| object.version)
            .next()
            .unwrap_or(0);
        match current == expected {
            true => Ok(self.shared.write(kind, name, value)),
            false => Err(Failure::Conflict { current }),
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<Listing, Failure> {
        self.call(wait).await?;
        let until = std::time::Instant::now() + wait;
        loop {
            let listing = self.changes(kind, after)?;
            let left = until.saturating_duration_since(std::time::Instant::now());
            if !listing.objects.is_empty() || left.is_zero() || listing.revision > after {
                return Ok(listing);
            }
            let changed = self.shared.changed.wait();
            // Both a change and the timeout are handled by the next round.
            let _ = timeout(left, changed).await;
            if self.broken.borrow_mut().remove(kind) {
                return Err(Failure::Lost);
            }
            if self.is_silent.get() {
                monoio::time::sleep(left + Duration::from_millis(700)).await;
                return Err(Failure::Lost);
            }
        }
    }

    fn era(&self) -> u64 {
        self.era.get()
    }

    async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        Ok(Vec::new())
    }
}

/// Configuration in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct Config {
    /// Version of the routes.
    pub version: u64,
    /// Services that queries are sent to.
    #[serde(default)]
    pub shards: Vec<String>,
}

/// Entry of a server.
#[derive(Debug, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Service.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Entry of an instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Address for peers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Processor time.
    pub cores: f64,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Crashes under one request.
#[derive(Debug, Serialize, Deserialize)]
pub struct CaseEntry {
    /// Fingerprint, in hexadecimal.
    pub fingerprint: String,
    /// Servers, times and turns.
    pub crashes: Vec<(Arc<str>, u64, usize)>,
}

/// Encoding of the tests' objects.
#[derive(Debug)]
pub struct Objects;

fn parse<'a, T: Deserialize<'a>>(object: &'a Object) -> Result<T, ParseError> {
    serde_json::from_str(object.value.get()).map_err(|error| ParseError {
        reason: error.to_string(),
    })
}

impl Directory for Objects {
    type Store = Link;

    const ROUTES: (&'static str, &'static str) = ("config", "main");
    const SERVERS: &'static str = "servers";
    const INSTANCES: &'static str = "instances";
    const QUARANTINE: (&'static str, &'static str) = ("quarantine", "main");

    fn table(object: &Object) -> Result<Table, ParseError> {
        let config: Config = parse(object)?;
        let shards: Vec<&str> = config.shards.iter().map(String::as_str).collect();
        let mut routes = read_and_write_routes();
        if !shards.is_empty() {
            routes.push(query_route(&shards, 5, 0.8));
        }
        Ok(table(config.version, routes))
    }

    fn server(object: &Object) -> Result<Description, ParseError> {
        let entry: ServerEntry = parse(object)?;
        Ok(Description {
            id: object.name.clone(),
            service: entry.service.into(),
            address: entry.address,
            zone: "a".into(),
            slots: 2,
            draining: false,
            warmup: Duration::ZERO,
            started_at_ms: Some(1),
        })
    }

    fn instance(member: &Member, leaving: bool) -> Box<RawValue> {
        let entry = InstanceEntry {
            address: member.address,
            zone: member.zone.to_string(),
            cores: member.cores,
            leaving,
        };
        to_raw_value(&entry).expect("JSON")
    }

    fn member(object: &Object) -> Result<Option<Member>, ParseError> {
        let entry: InstanceEntry = parse(object)?;
        let member = Member {
            name: object.name.clone(),
            address: entry.address,
            zone: entry.zone.into(),
            cores: entry.cores,
        };
        Ok(Some(member).filter(|_| !entry.leaving))
    }

    fn quarantine(cases: &Cases) -> Box<RawValue> {
        let crash = |crash: &Crash| (crash.server.clone(), crash.at_ms, crash.turn.0);
        let entries: Vec<CaseEntry> = cases
            .iter()
            .map(|(fingerprint, crashes)| CaseEntry {
                fingerprint: fingerprint.to_string(),
                crashes: crashes.iter().map(crash).collect(),
            })
            .collect();
        to_raw_value(&entries).expect("JSON")
    }

    fn cases(object: &Object) -> Result<Cases, ParseError> {
        let entries: Vec<CaseEntry> = parse(object)?;
        let read = |entry: CaseEntry| {
            let fingerprint = u128::from_str_radix(&entry.fingerprint, 16).expect("a number");
            let crashes = entry.crashes.into_iter();
            let crashes = crashes.map(|(server, at_ms, turn)| Crash {
                server,
                at_ms,
                turn: Turn(turn),
            });
            (Fingerprint(fingerprint), crashes.collect())
        };
        Ok(entries.into_iter().map(read).collect())
    }
}

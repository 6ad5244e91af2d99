//! An in-memory fake of the platform's store.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use futures_channel::oneshot;
use monoio::time::timeout;
use platform::{
    Failure,
    Instance,
    Listing,
    Object,
    Store, //
};
use serde_json::value::RawValue;

/// The state of the store, which all links share.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    objects: RefCell<BTreeMap<String, Object>>,
    revision: Cell<u64>,
    instances: RefCell<Vec<Instance>>,
    is_down: Cell<bool>,
    calls: RefCell<BTreeMap<&'static str, u64>>,
    watches: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Platform {
    /// Writes a document unconditionally; returns its new version.
    pub(crate) fn put(&self, name: &str, body: &serde_json::Value) -> u64 {
        self.put_text(name, &body.to_string())
    }

    /// Writes any JSON text as a document; returns its new version.
    pub(crate) fn put_text(&self, name: &str, body: &str) -> u64 {
        let version = self.revision.get() + 1;
        self.revision.set(version);
        let value = RawValue::from_string(body.to_owned()).expect("JSON");
        let object = Object {
            name: name.into(),
            version,
            value: value.into(),
        };
        self.objects.borrow_mut().insert(name.to_owned(), object);
        self.wake();
        version
    }

    /// Sets the list of instances.
    pub(crate) fn list_instances(&self, instances: Vec<Instance>) {
        *self.instances.borrow_mut() = instances;
    }

    /// Adds one instance to the list.
    pub(crate) fn add_instance(&self, instance: Instance) {
        self.instances.borrow_mut().push(instance);
    }

    /// Makes the store unavailable, or available again.
    pub(crate) fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
        self.wake();
    }

    /// Returns the number of calls by kind since the last reset, and resets the counts.
    pub(crate) fn take_calls(&self) -> BTreeMap<&'static str, u64> {
        self.calls.take()
    }

    fn count(&self, kind: &'static str) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Wakes every watch, so that it checks for changes.
    fn wake(&self) {
        for watch in self.watches.take() {
            let _ = watch.send(());
        }
    }

    async fn changed(&self) {
        let (watch, changed) = oneshot::channel();
        self.watches.borrow_mut().push(watch);
        let _ = changed.await;
    }

    fn after(&self, revision: u64) -> Vec<Object> {
        let objects = self.objects.borrow();
        let newer = objects.values().filter(|object| object.version > revision);
        newer.cloned().collect()
    }
}

/// An instance's connection to the platform.
#[derive(Debug)]
pub(crate) struct Link {
    platform: Rc<Platform>,
    is_cut: Cell<bool>,
}

impl Link {
    /// Returns a working connection.
    pub(crate) fn new(platform: &Rc<Platform>) -> Rc<Self> {
        Rc::new(Self {
            platform: platform.clone(),
            is_cut: Cell::new(false),
        })
    }

    /// Cuts the connection, or restores it.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.set(is_cut);
        self.platform.wake();
    }

    fn check(&self) -> Result<(), Failure> {
        match self.is_cut.get() || self.platform.is_down.get() {
            true => Err(Failure::Unavailable),
            false => Ok(()),
        }
    }
}

impl Store for Link {
    async fn read(&self, _kind: &str, name: &str) -> Result<Option<Object>, Failure> {
        self.platform.count("read");
        self.check()?;
        Ok(self.platform.objects.borrow().get(name).cloned())
    }

    async fn list(&self, _kind: &str) -> Result<Listing, Failure> {
        self.platform.count("list");
        self.check()?;
        Ok(Listing {
            era: 0,
            revision: self.platform.revision.get(),
            objects: self.platform.after(0),
            deleted: Vec::<Arc<str>>::new(),
        })
    }

    async fn write(
        &self,
        _kind: &str,
        _name: &str,
        _expected: u64,
        _value: &RawValue,
    ) -> Result<u64, Failure> {
        Err(Failure::Unavailable)
    }

    async fn watch(&self, _kind: &str, after: u64, wait: Duration) -> Result<Listing, Failure> {
        self.platform.count("watch");
        let start = Instant::now();
        loop {
            self.check()?;
            let objects = self.platform.after(after);
            let left = wait.saturating_sub(start.elapsed());
            if !objects.is_empty() || left.is_zero() {
                return Ok(Listing {
                    era: 0,
                    revision: self.platform.revision.get(),
                    objects,
                    deleted: Vec::new(),
                });
            }
            let _ = timeout(left, self.platform.changed()).await;
        }
    }

    async fn instances(&self) -> Result<Vec<Instance>, Failure> {
        self.platform.count("instances");
        self.check()?;
        Ok(self.platform.instances.borrow().clone())
    }
}

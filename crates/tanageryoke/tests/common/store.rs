//! Store in the test process that can inject conflicting writes and lose replies.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
};

use adapter::wire::{
    Entry,
    Page,
    OBJECTS_PATH, //
};
use bytes::Bytes;
use http::{
    Method,
    Request,
    Response, //
};
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use web::{
    server::Handler,
    Limits,
    Stop, //
};

/// Fault that affects one write.
#[derive(Debug, Clone)]
pub(crate) enum Fault {
    /// Another writer writes this value first.
    ConflictingWrite(&'static str),
    /// The write takes effect and its reply is lost.
    LostReply,
    /// The reply is lost and the write takes effect after the next read.
    DelayedWrite,
    /// The write and its reply are lost.
    LostWrite,
    /// The write takes effect, its reply is lost, and another writer writes this value.
    LostReplyThenWrite(&'static str),
    /// The write is rejected.
    Reject,
}

#[derive(Debug, Default)]
struct Objects {
    version: u64,
    values: BTreeMap<String, (u64, Bytes)>,
    faults: Vec<Fault>,
    /// Write that takes effect after the next read: name, expected version, value.
    delayed_write: Option<(String, u64, Bytes)>,
    writes: usize,
}

impl Objects {
    fn current(&self, name: &str) -> u64 {
        self.values.get(name).map_or(0, |value| value.0)
    }

    fn write(&mut self, name: &str, expected: u64, value: Bytes) -> Result<u64, u64> {
        let current = self.current(name);
        if expected != current {
            return Err(current);
        }
        self.writes += 1;
        self.version += 1;
        let entry = (self.version, value);
        self.values.insert(name.to_owned(), entry);
        Ok(self.version)
    }

    /// Returns the state of an instance that has version 1 of the presets in force.
    fn instance_state() -> String {
        "{\"instance\":{\"name\":\"one\"},\"versions\":{\"presets\":1}}".to_owned()
    }

    fn write_as_other(&mut self, name: &str, value: &'static str) {
        let current = self.current(name);
        let _ = self.write(name, current, Bytes::from_static(value.as_bytes()));
    }

    fn put(&mut self, name: &str, expected: u64, value: Bytes) -> (u16, String) {
        let fault = match self.faults.is_empty() {
            true => None,
            false => Some(self.faults.remove(0)),
        };
        // The client treats a body that isn't JSON like a lost reply.
        let lost = (200, "lost".to_owned());
        match fault {
            Some(Fault::Reject) => return (503, String::new()),
            Some(Fault::LostWrite) => return lost,
            Some(Fault::DelayedWrite) => {
                self.delayed_write = Some((name.to_owned(), expected, value));
                return lost;
            }
            Some(Fault::ConflictingWrite(other)) => self.write_as_other(name, other),
            _ => {}
        }
        let written = self.write(name, expected, value);
        match (fault, written) {
            (Some(Fault::LostReply), _) => lost,
            (Some(Fault::LostReplyThenWrite(other)), _) => {
                self.write_as_other(name, other);
                lost
            }
            (_, Ok(_)) => self.object_reply(name, 200),
            (_, Err(0)) => (404, String::new()),
            (_, Err(_)) => self.object_reply(name, 409),
        }
    }

    fn get(&mut self, name: &str) -> (u16, String) {
        let reply = self.object_reply(name, 200);
        if let Some((name, expected, value)) = self.delayed_write.take() {
            let _ = self.write(&name, expected, value);
        }
        reply
    }

    /// Returns a reply with the object, or with status 404 if it doesn't exist.
    fn object_reply(&self, name: &str, status: u16) -> (u16, String) {
        let Some((version, value)) = self.values.get(name) else {
            return (404, String::new());
        };
        let value = serde_json::from_slice(value).expect("JSON");
        let entry = Entry::new(name.into(), Some(*version), value);
        (status, serde_json::to_string(&entry).expect("JSON"))
    }
}

struct Routes(Arc<Mutex<Objects>>);

impl Handler for Routes {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().to_owned();
        let name = path.rsplit('/').next().unwrap_or_default();
        let mut objects = self.0.lock().expect("a lock");
        let (status, body) = match *request.method() {
            _ if path == "/debug/state" => (200, Objects::instance_state()),
            Method::GET if path == format!("{OBJECTS_PATH}/instances") => (200, no_instances()),
            Method::PUT | Method::POST => {
                let entry: Entry = serde_json::from_slice(request.body()).expect("an object");
                let value = entry.spec.expect("a value").get().to_owned();
                let expected = entry.meta.revision.unwrap_or(0);
                objects.put(&entry.meta.name, expected, Bytes::from(value))
            }
            _ => objects.get(name),
        };
        let response = Response::builder().status(status);
        response.body(body.into()).expect("a response")
    }
}

/// Returns an empty list of instances.
fn no_instances() -> String {
    let page = Page {
        items: Vec::new(),
        more: false,
        revision: 1,
    };
    serde_json::to_string(&page).expect("JSON")
}

/// Store that serves until the test process exits.
#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    objects: Arc<Mutex<Objects>>,
}

impl Store {
    /// Starts a store that injects `faults`, one for each of the first writes.
    pub(crate) fn start(faults: Vec<Fault>) -> Self {
        let objects = Arc::new(Mutex::new(Objects {
            faults,
            ..Objects::default()
        }));
        let routes = objects.clone();
        let (sender, addresses) = std::sync::mpsc::channel();
        thread::spawn(move || {
            let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
                .enable_timer()
                .build()
                .expect("a runtime");
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
                let address = listener.local_addr().expect("an address");
                sender.send(address).expect("a test that waits");
                let routes = Rc::new(Routes(routes));
                web::server::serve(listener, routes, Limits::default(), Stop::new()).await;
            });
        });
        let address = addresses.recv().expect("an address");
        Self { address, objects }
    }

    fn objects(&self) -> MutexGuard<'_, Objects> {
        self.objects.lock().expect("a lock")
    }

    /// Writes a value as another writer.
    pub(crate) fn put(&self, name: &str, value: &'static str) {
        self.objects().write_as_other(name, value);
    }

    /// Returns the current value of an object, or an empty string if it doesn't exist.
    pub(crate) fn value(&self, name: &str) -> String {
        let objects = self.objects();
        let value = objects.values.get(name);
        value.map_or_else(String::new, |(_, value)| {
            String::from_utf8_lossy(value).into_owned()
        })
    }

    /// Returns how many writes took effect.
    pub(crate) fn writes(&self) -> usize {
        self.objects().writes
    }
}

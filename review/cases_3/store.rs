//! Stand-in for the platform's metadata store: lists, watches, conditional writes.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json,
};

const PATH: &str = "/tanageryoke/objects/";

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Event {
    kind: String,
    revision: u64,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// When a watch of a kind last began.
    watched_at: BTreeMap<String, Instant>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

fn text(name: &str, object: &Object) -> String {
    let Object {
        revision,
        created,
        spec,
    } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            if known.spec == spec {
                return text(name, known);
            }
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |known| known.created);
        let object = Object {
            revision: self.revision,
            created,
            spec: spec.to_owned(),
        };
        let text = text(name, &object);
        self.objects.insert(key, object);
        self.record(kind, &text, false);
        text
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.revision += 1;
        object.revision = self.revision;
        let text = text(name, &object);
        self.record(kind, &text, true);
    }

    fn record(&mut self, kind: &str, object: &str, deleted: bool) {
        self.events.push(Event {
            kind: kind.to_owned(),
            revision: self.revision,
            text: format!("{{\"deleted\":{deleted},\"object\":{object}}}"),
        });
    }
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store can't listen");
        let store = Self {
            shared: Arc::default(),
            address: listener.local_addr().expect("the store has an address"),
        };
        store.lock().revision = 100;
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(|lock| lock.into_inner())
    }

    /// Writes an object as the operator or a backend server does; returns when the store acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.lock().put(kind, name, spec);
        self.shared.changed.notify_all();
        Instant::now()
    }

    /// Removes an object; returns when the store acknowledged it.
    pub fn delete(&self, kind: &str, name: &str) -> Instant {
        self.lock().delete(kind, name);
        self.shared.changed.notify_all();
        Instant::now()
    }

    /// Returns when a watch of a kind last began.
    pub fn watched_at(&self, kind: &str) -> Option<Instant> {
        self.lock().watched_at.get(kind).copied()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let response = Response {
                status,
                headers: vec![
                    ("Content-Type".to_owned(), "application/json".to_owned()),
                    ("Store-Era".to_owned(), "1".to_owned()),
                ],
                body: body.into_bytes(),
            };
            if http::write_response(&mut writer, &response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let Some(rest) = path.strip_prefix(PATH) else {
            return (404, "{}".to_owned());
        };
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut named = pairs.filter(|(one, _)| *one == name);
            named.next().map(|(_, value)| value.to_owned())
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method.as_str(), rest.split_once('/')) {
            ("GET", None) => match parameter("watch") {
                Some(after) => {
                    let wait = parameter("wait_ms").and_then(|wait| wait.parse().ok());
                    self.watch(rest, after.parse().unwrap_or(0), wait.unwrap_or(0))
                }
                None => self.list(rest),
            },
            ("GET", Some((kind, name))) => {
                let key = (kind.to_owned(), name.to_owned());
                match self.lock().objects.get(&key) {
                    Some(object) => (200, text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => self.write(rest, None, &body),
            ("PUT", Some((kind, name))) => self.write(kind, Some(name), &body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = self.lock();
        let objects = state.objects.iter().filter(|((one, _), _)| one == kind);
        let items: Vec<String> = objects.map(|((_, name), object)| text(name, object)).collect();
        let revision = state.revision;
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"more\":false,\"current_rev\":{revision}}}"))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        state.watched_at.insert(kind.to_owned(), Instant::now());
        loop {
            let events: Vec<String> = {
                let newer = |event: &&Event| event.kind == kind && event.revision > after;
                state.events.iter().filter(newer).map(|event| event.text.clone()).collect()
            };
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            state = match self.shared.changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(lock) => lock.into_inner().0,
            };
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &str) -> (u16, String) {
        let meta = json::member(body, "meta").unwrap_or("{}");
        let stated = json::member(meta, "name").and_then(json::unquoted);
        let Some(name) = name.or(stated) else {
            return (400, "{}".to_owned());
        };
        let expected = json::member(meta, "revision").and_then(|text| text.parse::<u64>().ok());
        let spec = json::member(body, "spec").unwrap_or("null");
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        let is_create = json::member(meta, "revision").is_none();
        let result = match known {
            Some(known) if is_create || expected.is_some_and(|one| one != known.revision) => {
                (409, text(name, &known))
            }
            None if !is_create => (404, "{}".to_owned()),
            _ => (200, state.put(kind, name, spec)),
        };
        drop(state);
        self.shared.changed.notify_all();
        result
    }
}

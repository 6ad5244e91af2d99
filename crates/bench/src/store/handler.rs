//! The HTTP interface of the platform's stand-in.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use ::platform::{
    Listing,
    Object, //
};
use adapter::{
    wire::{
        Changes,
        Entry,
        Event,
        Page,
        OBJECTS, //
    },
    Directory,
};
use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use monoio::time::{
    sleep,
    timeout_at,
    Instant, //
};
use relay::follow::Directory as _;
use serde::Serialize;
use serde_json::value::{
    to_raw_value,
    RawValue, //
};
use web::Stop;

use super::{
    calls::{
        Kind,
        Meter, //
    },
    fault::{
        Down,
        Faults, //
    },
    objects::{
        Condition,
        Objects,
        Refusal, //
    },
    roster::Roster,
    Options,
};
use crate::{
    answer,
    parameter,
    socket::Socket, //
};

/// Pause between looks at whether a dead store is back.
const DEAD_PAUSE: Duration = Duration::from_millis(20);
/// Looks for silent servers in the time that one may be silent.
const EXPIRE_LOOKS: u32 = 10;
/// Longest wait of a watch.
const WATCH_MAX: Duration = Duration::from_secs(60);

/// Objects on one page of a listing.
const PAGE: usize = 500;
/// Kind that the list of instances is shown as.
const INSTANCES: &str = "instances";

/// The state of the store.
#[derive(Debug)]
pub struct Platform {
    objects: RefCell<Objects>,
    meter: RefCell<Meter>,
    faults: RefCell<Faults>,
    roster: RefCell<Roster>,
    /// Set and replaced on every change.
    changed: RefCell<Stop>,
    /// When the entry of each server was written last.
    touched: RefCell<HashMap<Arc<str>, Instant>>,
}

impl Platform {
    /// Makes an empty store.
    pub fn new(options: &Options) -> Self {
        let delay = Duration::from_millis(options.delay_ms);
        let lag = Duration::from_millis(options.list_lag_ms);
        Self {
            objects: RefCell::default(),
            meter: RefCell::new(Meter::new(options.reads, options.writes)),
            faults: RefCell::new(Faults::new(delay)),
            roster: RefCell::new(Roster::new(lag)),
            changed: RefCell::default(),
            touched: RefCell::default(),
        }
    }

    fn touch(&self, kind: &str, name: &str) {
        if kind == Directory::SERVERS {
            let mut touched = self.touched.borrow_mut();
            touched.insert(Arc::from(name), Instant::now());
        }
    }

    /// Removes the entries of servers that are silent for longer than `silence`, for ever.
    pub async fn expire(&self, silence: Duration) {
        loop {
            sleep(silence / EXPIRE_LOOKS).await;
            let mut gone = Vec::new();
            self.touched.borrow_mut().retain(|name, at| {
                let lives = at.elapsed() <= silence;
                if !lives {
                    gone.push(name.clone());
                }
                lives
            });
            for name in gone {
                let mut objects = self.objects.borrow_mut();
                let version = objects
                    .read(Directory::SERVERS, &name)
                    .map_or(0, |entry| entry.version);
                let deleted =
                    objects.delete(Directory::SERVERS, &name, Condition::Version(version));
                drop(objects);
                match deleted {
                    Ok(_) => self.announce(),
                    Err(refusal) => tracing::warn!("store: {name} can't be removed: {refusal:?}."),
                }
            }
        }
    }

    fn announce(&self) {
        self.changed.replace(Stop::new()).set();
    }
}

/// Answers the calls of one connection.
#[derive(Debug)]
pub struct Handler {
    platform: Rc<Platform>,
    socket: Socket,
}

impl Handler {
    /// Makes the handler of the connection on `socket`.
    pub fn new(platform: Rc<Platform>, socket: Socket) -> Self {
        Self { platform, socket }
    }

    fn control(&self, path: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let platform = &self.platform;
        let object = path
            .strip_prefix("accepted/")
            .and_then(|rest| rest.split_once('/'));
        if let (&Method::GET, Some((kind, name))) = (request.method(), object) {
            let accepted = platform.objects.borrow().accepted(kind, name);
            return answer::json(StatusCode::OK, &accepted);
        }
        match (request.method(), path) {
            (&Method::POST, "fault") => match serde_json::from_slice(request.body()) {
                Ok(fault) => self.fault(&fault),
                Err(_) => answer::empty(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, "calls") => {
                answer::json(StatusCode::OK, &platform.meter.borrow_mut().calls())
            }
            (&Method::PUT, "instances") => match serde_json::from_slice(request.body()) {
                Ok(instances) => {
                    platform.roster.borrow_mut().set(instances);
                    answer::empty(StatusCode::OK)
                }
                Err(_) => answer::empty(StatusCode::BAD_REQUEST),
            },
            _ => answer::empty(StatusCode::NOT_FOUND),
        }
    }

    fn fault(&self, fault: &super::Fault) -> Response<Bytes> {
        self.platform.faults.borrow_mut().apply(fault);
        if let Some(lag) = fault.list_lag_ms {
            let lag = Duration::from_millis(lag);
            self.platform.roster.borrow_mut().set_lag(lag);
        }
        if fault.forget {
            self.platform.objects.borrow_mut().forget();
            self.platform.announce();
        }
        answer::empty(StatusCode::OK)
    }

    async fn call(&self, path: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let Some(kind) = kind(request, path) else {
            return answer::empty(StatusCode::NOT_FOUND);
        };
        let admitted = self.platform.meter.borrow_mut().admit(kind);
        if !admitted {
            self.platform.meter.borrow_mut().refuse();
            return answer::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        if let Some(refused) = self.outage().await {
            return refused;
        }
        let query = request.uri().query().unwrap_or_default();
        let segments: Vec<_> = path.split('/').collect();
        match (kind, &segments[..]) {
            (Kind::Read, [kind, name]) => self.read(kind, name),
            (Kind::List, [kind]) => self.list(kind, parameter::text(query, "after")),
            (Kind::Instances, [kind]) if self.platform.roster.borrow().is_unset() => {
                self.list(kind, parameter::text(query, "after"))
            }
            (Kind::Instances, _) => self.instances(),
            (Kind::Write, [kind, rest @ ..]) => self.write(kind, rest.first(), request).await,
            (Kind::Watch, [kind]) => self.watch(kind, query).await,
            _ => answer::empty(StatusCode::NOT_FOUND),
        }
    }

    /// Waits for the added delay; returns the answer of a store that is down.
    async fn outage(&self) -> Option<Response<Bytes>> {
        let delay = self.platform.faults.borrow().delay();
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let down = self.platform.faults.borrow().down()?;
        self.platform.meter.borrow_mut().refuse();
        if down == Down::Dead {
            while self.platform.faults.borrow().down().is_some() {
                sleep(DEAD_PAUSE).await;
            }
            self.socket.shutdown();
        }
        Some(answer::empty(StatusCode::SERVICE_UNAVAILABLE))
    }

    fn read(&self, kind: &str, name: &str) -> Response<Bytes> {
        match self.platform.objects.borrow().read(kind, name) {
            Some(object) => answer::json(StatusCode::OK, &entry(object)),
            None => answer::empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Response<Bytes> {
        let listing = self.platform.objects.borrow().list(kind);
        let behind = |object: &&Object| after.is_none_or(|after| &*object.name > after);
        let rest: Vec<&Object> = listing.objects.iter().filter(behind).collect();
        let shown = rest.iter().take(PAGE);
        let page = Page {
            items: shown.filter_map(|object| raw(&entry(object))).collect(),
            more: rest.len() > PAGE,
            revision: listing.revision,
        };
        answer::json(StatusCode::OK, &page)
    }

    /// Shows the lagging list of instances as objects.
    fn instances(&self) -> Response<Bytes> {
        let mut roster = self.platform.roster.borrow_mut();
        let revision = self.platform.objects.borrow().revision().max(1);
        let shown = roster.shown().iter().filter_map(|instance| {
            let value = to_raw_value(instance).ok()?;
            raw(&Entry::new(
                instance.name.clone(),
                Some(revision),
                Arc::from(value),
            ))
        });
        let page = Page {
            items: shown.collect(),
            more: false,
            revision,
        };
        answer::json(StatusCode::OK, &page)
    }

    async fn write(
        &self,
        kind: &str,
        name: Option<&&str>,
        request: &Request<Bytes>,
    ) -> Response<Bytes> {
        let Ok(body) = serde_json::from_slice::<Entry>(request.body()) else {
            return answer::empty(StatusCode::BAD_REQUEST);
        };
        let named = name.map_or(&*body.meta.name, |name| name).to_owned();
        let condition = match (request.method(), body.meta.revision) {
            (&Method::POST, None) => Condition::Absent,
            (&Method::PUT, Some(revision)) => Condition::Version(revision),
            // The system never writes without a condition; the stand-in holds it to that.
            _ => return answer::empty(StatusCode::BAD_REQUEST),
        };
        let null = || Arc::from(RawValue::NULL.to_owned());
        let value = body.spec.unwrap_or_else(null);
        let written = {
            let mut objects = self.platform.objects.borrow_mut();
            objects.write(kind, &named, condition, value)
        };
        match written {
            Ok(_) => {
                self.platform.touch(kind, &named);
                self.platform.announce();
                if self.platform.faults.borrow_mut().loses_reply() {
                    self.socket.shutdown();
                }
                self.read(kind, &named)
            }
            Err(Refusal::Conflict { current: 0 }) => answer::empty(StatusCode::NOT_FOUND),
            Err(Refusal::Conflict { .. }) => {
                let mut conflict = self.read(kind, &named);
                *conflict.status_mut() = StatusCode::CONFLICT;
                conflict
            }
            Err(_) => answer::empty(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }

    async fn watch(&self, kind: &str, query: &str) -> Response<Bytes> {
        let after = parameter::number(query, "watch").unwrap_or(0);
        let wait = Duration::from_millis(parameter::number(query, "wait_ms").unwrap_or(0));
        let end = Instant::now() + wait.min(WATCH_MAX);
        loop {
            let changed = self.platform.objects.borrow().changed(kind, after);
            match changed {
                Ok(Some(listing)) => return answer::json(StatusCode::OK, &changes(&listing)),
                Ok(None) => {}
                Err(_) => return answer::empty(StatusCode::GONE),
            }
            let next = self.platform.changed.borrow().wait();
            let ended = timeout_at(end, next).await.is_err();
            if self.platform.faults.borrow().down().is_some() {
                self.socket.shutdown();
                return answer::empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            if ended {
                let listing = Listing {
                    revision: self.platform.objects.borrow().revision(),
                    ..Listing::default()
                };
                return answer::json(StatusCode::OK, &changes(&listing));
            }
        }
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().to_owned();
        let objects = path.strip_prefix(OBJECTS);
        match (objects, path.strip_prefix("/control/")) {
            (Some(rest), _) => self.call(rest.trim_start_matches('/'), &request).await,
            (_, Some(rest)) => self.control(rest, &request),
            _ => answer::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn kind(request: &Request<Bytes>, path: &str) -> Option<Kind> {
    let segments: Vec<_> = path.split('/').collect();
    let query = request.uri().query().unwrap_or_default();
    let watches = parameter::number(query, "watch").is_some();
    match (request.method(), &segments[..]) {
        (&Method::GET, [_]) if watches => Some(Kind::Watch),
        (&Method::GET, [INSTANCES]) => Some(Kind::Instances),
        (&Method::GET, [_]) => Some(Kind::List),
        (&Method::GET, [_, _]) => Some(Kind::Read),
        (&Method::POST, [_]) | (&Method::PUT, [_, _]) => Some(Kind::Write),
        _ => None,
    }
}

fn entry(object: &Object) -> Entry {
    Entry::new(
        object.name.clone(),
        Some(object.version),
        object.value.clone(),
    )
}

fn raw<T: Serialize>(value: &T) -> Option<Box<RawValue>> {
    to_raw_value(value).ok()
}

fn changes(listing: &Listing) -> Changes {
    let changed = listing.objects.iter().map(|object| Event {
        object: entry(object),
        deleted: false,
    });
    let null = || Arc::from(RawValue::NULL.to_owned());
    let deleted = listing.deleted.iter().map(|name| Event {
        object: Entry::new(name.clone(), Some(listing.revision), null()),
        deleted: true,
    });
    Changes {
        events: changed
            .chain(deleted)
            .filter_map(|event| raw(&event))
            .collect(),
        revision: listing.revision,
    }
}

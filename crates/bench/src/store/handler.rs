//! The HTTP interface of the stand-in of the object store.

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
        OBJECTS_PATH, //
    },
    Directory,
};
use bytes::Bytes;
use http::{
    HeaderValue,
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
        RateLimiter, //
    },
    fault::{
        Faults,
        Outage, //
    },
    instances::InstanceList,
    objects::{
        Condition,
        Objects,
        Refusal, //
    },
    Options,
};
use crate::{
    parameter,
    response,
    socket::Socket, //
};

/// Interval at which a held call checks whether the outage has ended.
const DEAD_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Checks for expired entries per time to live.
const EXPIRY_CHECKS: u32 = 10;
/// Longest time that a watch waits for a change.
const MAX_WATCH: Duration = Duration::from_secs(60);

/// Objects on one page of a listing.
const PAGE_SIZE: usize = 500;
/// Kind of the objects that make up the list of instances.
const INSTANCES_KIND: &str = "instances";

/// State of the store, shared by all connections.
#[derive(Debug)]
pub struct Platform {
    objects: RefCell<Objects>,
    limiter: RefCell<RateLimiter>,
    faults: RefCell<Faults>,
    instance_list: RefCell<InstanceList>,
    /// Wakes the waiting watches: set and replaced on every change.
    changed: RefCell<Stop>,
    /// When the entry of each server was last written.
    written_at: RefCell<HashMap<Arc<str>, Instant>>,
}

impl Platform {
    /// Makes an empty store.
    pub fn new(options: &Options) -> Self {
        let delay = Duration::from_millis(options.delay_ms);
        let lag = Duration::from_millis(options.list_lag_ms);
        Self {
            objects: RefCell::default(),
            limiter: RefCell::new(RateLimiter::new(options.reads, options.writes)),
            faults: RefCell::new(Faults::new(delay)),
            instance_list: RefCell::new(InstanceList::new(lag)),
            changed: RefCell::default(),
            written_at: RefCell::default(),
        }
    }

    fn record_write(&self, kind: &str, name: &str) {
        if kind == Directory::SERVERS {
            let mut written_at = self.written_at.borrow_mut();
            written_at.insert(Arc::from(name), Instant::now());
        }
    }

    /// Removes server entries that weren't written for `time_to_live`; runs until the process ends.
    pub async fn expire(&self, time_to_live: Duration) {
        loop {
            sleep(time_to_live / EXPIRY_CHECKS).await;
            let mut expired = Vec::new();
            self.written_at.borrow_mut().retain(|name, at| {
                let is_live = at.elapsed() <= time_to_live;
                if !is_live {
                    expired.push(name.clone());
                }
                is_live
            });
            for name in expired {
                let mut objects = self.objects.borrow_mut();
                let version = objects
                    .read(Directory::SERVERS, &name)
                    .map_or(0, |entry| entry.version);
                let deleted =
                    objects.delete(Directory::SERVERS, &name, Condition::Version(version));
                drop(objects);
                match deleted {
                    Ok(_) => self.notify_watches(),
                    Err(refusal) => tracing::warn!(
                        "store: expired entry of {name} can't be removed: {refusal:?}."
                    ),
                }
            }
        }
    }

    fn notify_watches(&self) {
        self.changed.replace(Stop::new()).set();
    }
}

/// Handles the calls of one connection.
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

    fn handle_control(&self, path: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let platform = &self.platform;
        let object = path
            .strip_prefix("accepted/")
            .and_then(|rest| rest.split_once('/'));
        if let (&Method::GET, Some((kind, name))) = (request.method(), object) {
            let accepted = platform.objects.borrow().accepted(kind, name);
            return response::json(StatusCode::OK, &accepted);
        }
        match (request.method(), path) {
            (&Method::POST, "fault") => match serde_json::from_slice(request.body()) {
                Ok(change) => self.change_faults(&change),
                Err(_) => response::empty(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, "calls") => {
                response::json(StatusCode::OK, &platform.limiter.borrow_mut().calls())
            }
            (&Method::PUT, "instances") => match serde_json::from_slice(request.body()) {
                Ok(instances) => {
                    platform.instance_list.borrow_mut().set(instances);
                    response::empty(StatusCode::OK)
                }
                Err(_) => response::empty(StatusCode::BAD_REQUEST),
            },
            _ => response::empty(StatusCode::NOT_FOUND),
        }
    }

    fn change_faults(&self, change: &super::FaultChange) -> Response<Bytes> {
        self.platform.faults.borrow_mut().apply(change);
        if let Some(lag) = change.list_lag_ms {
            let lag = Duration::from_millis(lag);
            self.platform.instance_list.borrow_mut().set_lag(lag);
        }
        if let Some(age) = change.restore_ms {
            self.platform
                .objects
                .borrow_mut()
                .restore(Duration::from_millis(age));
            self.platform.notify_watches();
        }
        if change.forget {
            self.platform.objects.borrow_mut().clear_history();
            self.platform.notify_watches();
        }
        response::empty(StatusCode::OK)
    }

    async fn handle_call(&self, path: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let Some(kind) = call_kind(request, path) else {
            return response::empty(StatusCode::NOT_FOUND);
        };
        let admitted = self.platform.limiter.borrow_mut().admit(kind);
        if !admitted {
            self.platform.limiter.borrow_mut().refuse();
            return response::empty(StatusCode::TOO_MANY_REQUESTS);
        }
        if let Some(refusal) = self.apply_outage().await {
            return refusal;
        }
        let query = request.uri().query().unwrap_or_default();
        let segments: Vec<_> = path.split('/').collect();
        match (kind, &segments[..]) {
            (Kind::Read, [kind, name]) => self.read(kind, name),
            (Kind::List, [kind]) => self.list(kind, parameter::text(query, "after").as_deref()),
            (Kind::Instances, [kind]) if self.platform.instance_list.borrow().is_unset() => {
                self.list(kind, parameter::text(query, "after").as_deref())
            }
            (Kind::Instances, _) => self.list_instances(),
            (Kind::Write, [kind, rest @ ..]) => self.write(kind, rest.first(), request).await,
            (Kind::Watch, [kind]) => self.watch(kind, query).await,
            _ => response::empty(StatusCode::NOT_FOUND),
        }
    }

    /// Applies the added delay, then returns the reply of an unavailable store, if there is an outage.
    ///
    /// A dead store holds the call until the outage ends and then closes the connection.
    async fn apply_outage(&self) -> Option<Response<Bytes>> {
        let delay = self.platform.faults.borrow().delay();
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let outage = self.platform.faults.borrow().outage()?;
        self.platform.limiter.borrow_mut().refuse();
        if outage == Outage::Dead {
            while self.platform.faults.borrow().outage().is_some() {
                sleep(DEAD_POLL_INTERVAL).await;
            }
            self.socket.shutdown();
        }
        Some(response::empty(StatusCode::SERVICE_UNAVAILABLE))
    }

    fn read(&self, kind: &str, name: &str) -> Response<Bytes> {
        match self.platform.objects.borrow().read(kind, name) {
            Some(object) => response::json(StatusCode::OK, &entry(object)),
            None => response::empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Response<Bytes> {
        let listing = self.platform.objects.borrow().list(kind);
        let is_after = |object: &&Object| after.is_none_or(|after| &*object.name > after);
        let rest: Vec<&Object> = listing.objects.iter().filter(is_after).collect();
        let shown = rest.iter().take(PAGE_SIZE);
        let page = Page {
            items: shown.filter_map(|object| to_raw(&entry(object))).collect(),
            more: rest.len() > PAGE_SIZE,
            revision: listing.revision,
        };
        response::json(StatusCode::OK, &page)
    }

    /// Lists the visible instances as objects.
    fn list_instances(&self) -> Response<Bytes> {
        let mut instance_list = self.platform.instance_list.borrow_mut();
        let revision = self.platform.objects.borrow().revision().max(1);
        let shown = instance_list.visible().iter().filter_map(|instance| {
            let value = to_raw_value(instance).ok()?;
            to_raw(&Entry::new(
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
        response::json(StatusCode::OK, &page)
    }

    async fn write(
        &self,
        kind: &str,
        name: Option<&&str>,
        request: &Request<Bytes>,
    ) -> Response<Bytes> {
        let Ok(body) = serde_json::from_slice::<Entry>(request.body()) else {
            return response::empty(StatusCode::BAD_REQUEST);
        };
        let object_name = name.map_or(&*body.meta.name, |name| name).to_owned();
        let condition = match (request.method(), body.meta.revision) {
            (&Method::POST, None) => Condition::Absent,
            (&Method::PUT, Some(revision)) => Condition::Version(revision),
            // The system must make every write conditional; a write without a condition is rejected.
            _ => return response::empty(StatusCode::BAD_REQUEST),
        };
        let null = || Arc::from(RawValue::NULL.to_owned());
        let value = body.spec.unwrap_or_else(null);
        let written = {
            let mut objects = self.platform.objects.borrow_mut();
            objects.write(kind, &object_name, condition, value)
        };
        match written {
            Ok(_) => {
                self.platform.record_write(kind, &object_name);
                self.platform.notify_watches();
                if self.platform.faults.borrow_mut().take_lost_reply() {
                    self.socket.shutdown();
                }
                self.read(kind, &object_name)
            }
            Err(Refusal::Conflict { current: 0 }) => response::empty(StatusCode::NOT_FOUND),
            Err(Refusal::Conflict { .. }) => {
                let mut conflict = self.read(kind, &object_name);
                *conflict.status_mut() = StatusCode::CONFLICT;
                conflict
            }
            Err(_) => response::empty(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }

    async fn watch(&self, kind: &str, query: &str) -> Response<Bytes> {
        let after = parameter::number(query, "watch").unwrap_or(0);
        let wait = Duration::from_millis(parameter::number(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait.min(MAX_WATCH);
        loop {
            let changed = self.platform.objects.borrow().changes_after(kind, after);
            match changed {
                Ok(Some(listing)) => return response::json(StatusCode::OK, &changes(&listing)),
                Ok(None) => {}
                Err(_) => return response::empty(StatusCode::GONE),
            }
            let next = self.platform.changed.borrow().wait();
            let timed_out = timeout_at(deadline, next).await.is_err();
            if self.platform.faults.borrow().outage().is_some() {
                self.socket.shutdown();
                return response::empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            if timed_out {
                let listing = Listing {
                    era: self.platform.objects.borrow().era(),
                    revision: self.platform.objects.borrow().revision(),
                    ..Listing::default()
                };
                return response::json(StatusCode::OK, &changes(&listing));
            }
        }
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().to_owned();
        let objects = path.strip_prefix(OBJECTS_PATH);
        match (objects, path.strip_prefix("/control/")) {
            (Some(rest), _) => {
                let mut reply = self
                    .handle_call(rest.trim_start_matches('/'), &request)
                    .await;
                let era = self.platform.objects.borrow().era();
                reply
                    .headers_mut()
                    .insert(adapter::names::ERA_HEADER, HeaderValue::from(era));
                reply
            }
            (_, Some(rest)) => self.handle_control(rest, &request),
            _ => response::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn call_kind(request: &Request<Bytes>, path: &str) -> Option<Kind> {
    let segments: Vec<_> = path.split('/').collect();
    let query = request.uri().query().unwrap_or_default();
    let watches = parameter::number(query, "watch").is_some();
    match (request.method(), &segments[..]) {
        (&Method::GET, [_]) if watches => Some(Kind::Watch),
        (&Method::GET, [INSTANCES_KIND]) => Some(Kind::Instances),
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

fn to_raw<T: Serialize>(value: &T) -> Option<Box<RawValue>> {
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
            .filter_map(|event| to_raw(&event))
            .collect(),
        revision: listing.revision,
    }
}

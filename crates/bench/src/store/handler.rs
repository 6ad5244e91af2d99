//! The HTTP interface of the platform's stand-in.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use ::platform::Listing;
use bytes::Bytes;
use http::{
    header::{
        IF_MATCH,
        IF_NONE_MATCH, //
    },
    HeaderMap,
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
use serde::Serialize;
use serde_json::value::RawValue;
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
/// Longest wait of a watch.
const WATCH_MAX: Duration = Duration::from_secs(60);

#[derive(Debug, Serialize)]
struct Version {
    version: u64,
}

#[derive(Debug, Serialize)]
struct Instances<'a> {
    instances: &'a [::platform::Instance],
}

/// The state of the store.
#[derive(Debug)]
pub struct Platform {
    objects: RefCell<Objects>,
    meter: RefCell<Meter>,
    faults: RefCell<Faults>,
    roster: RefCell<Roster>,
    /// Set and replaced on every change.
    changed: RefCell<Stop>,
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
        answer::empty(StatusCode::OK)
    }

    async fn call(&self, path: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let Some(kind) = kind(request.method(), path) else {
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
        let segments: Vec<_> = path.split('/').collect();
        match (kind, &segments[..]) {
            (Kind::Read, ["objects", kind, name]) => self.read(kind, name),
            (Kind::List, ["objects", kind]) => self.list(kind),
            (Kind::Write, ["objects", kind, name]) => self.write(kind, name, request).await,
            (Kind::Watch, ["watch", kind]) => self.watch(kind, request).await,
            (Kind::Instances, _) => {
                let mut roster = self.platform.roster.borrow_mut();
                let instances = roster.shown();
                answer::json(StatusCode::OK, &Instances { instances })
            }
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
            Some(object) => answer::json(StatusCode::OK, object),
            None => answer::empty(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str) -> Response<Bytes> {
        answer::json(StatusCode::OK, &self.platform.objects.borrow().list(kind))
    }

    async fn write(&self, kind: &str, name: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let Some(condition) = condition(request.headers()) else {
            return answer::empty(StatusCode::PRECONDITION_REQUIRED);
        };
        let written = match request.method() {
            &Method::DELETE => {
                let mut objects = self.platform.objects.borrow_mut();
                objects.delete(kind, name, condition)
            }
            _ => match serde_json::from_slice::<Box<RawValue>>(request.body()) {
                Ok(value) => {
                    let mut objects = self.platform.objects.borrow_mut();
                    objects.write(kind, name, condition, Arc::from(value))
                }
                Err(_) => return answer::empty(StatusCode::BAD_REQUEST),
            },
        };
        match written {
            Ok(version) => {
                self.platform.announce();
                if self.platform.faults.borrow_mut().loses_reply() {
                    self.socket.shutdown();
                }
                answer::json(StatusCode::OK, &Version { version })
            }
            Err(Refusal::Conflict { current }) => answer::json(
                StatusCode::PRECONDITION_FAILED,
                &Version { version: current },
            ),
            Err(_) => answer::empty(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }

    async fn watch(&self, kind: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let query = request.uri().query().unwrap_or_default();
        let after = parameter::number(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(parameter::number(query, "wait_ms").unwrap_or(0));
        let end = Instant::now() + wait.min(WATCH_MAX);
        loop {
            let changed = self.platform.objects.borrow().changed(kind, after);
            match changed {
                Ok(Some(listing)) => return answer::json(StatusCode::OK, &listing),
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
                return answer::json(StatusCode::OK, &listing);
            }
        }
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().to_owned();
        match path.strip_prefix('/').and_then(|path| path.split_once('/')) {
            Some(("control", rest)) => self.control(rest, &request),
            Some(("v1", rest)) => self.call(rest, &request).await,
            _ => answer::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn kind(method: &Method, path: &str) -> Option<Kind> {
    let segments: Vec<_> = path.split('/').collect();
    match (method, &segments[..]) {
        (&Method::GET, ["objects", _, _]) => Some(Kind::Read),
        (&Method::GET, ["objects", _]) => Some(Kind::List),
        (&Method::PUT | &Method::DELETE, ["objects", _, _]) => Some(Kind::Write),
        (&Method::GET, ["watch", _]) => Some(Kind::Watch),
        (&Method::GET, ["instances"]) => Some(Kind::Instances),
        _ => None,
    }
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(Condition::Absent);
    }
    let value = headers.get(IF_MATCH)?.to_str().ok()?;
    value.trim_matches('"').parse().ok().map(Condition::Version)
}

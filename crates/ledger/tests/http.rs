//! Keyed calls with a store over HTTP.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

use adapter::{
    wire::{
        Entry,
        OBJECTS_PATH, //
    },
    Client, //
};
use bytes::Bytes;
use http::{
    Method,
    Request,
    Response, //
};
use ledger::{
    Dispatch,
    Ledger, //
};
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use uuid::{
    NoContext,
    Timestamp,
    Uuid, //
};
use web::{
    server::Handler,
    Limits,
    Stop, //
};
use wire::{
    CallReply,
    CallRequest, //
};

/// A store that truncates the reply to every write whose number is in `lost`.
#[derive(Default)]
struct Objects {
    objects: RefCell<HashMap<String, (u64, Bytes)>>,
    writes: Cell<u64>,
    lost: Vec<u64>,
}

impl Objects {
    fn get(&self, path: &str) -> (u16, String) {
        match self.objects.borrow().get(path) {
            Some((version, value)) => {
                let name = path.rsplit('/').next().unwrap_or_default();
                (200, entry(name, *version, value))
            }
            None => (404, String::new()),
        }
    }

    fn put(&self, request: &Request<Bytes>) -> (u16, String) {
        let body: Entry = serde_json::from_slice(request.body()).expect("an object");
        let name = body.meta.name;
        let path = match *request.method() {
            Method::POST => format!("{}/{name}", request.uri().path()),
            _ => request.uri().path().to_owned(),
        };
        assert!(path.starts_with(OBJECTS_PATH), "{path}");
        let current = self
            .objects
            .borrow()
            .get(&path)
            .map_or(0, |object| object.0);
        if body.meta.revision.unwrap_or(0) != current {
            let status = if current == 0 { 404 } else { 409 };
            return (status, entry(&name, current, b"null"));
        }
        let number = self.writes.get() + 1;
        self.writes.set(number);
        let value = body.spec.expect("a value").get().to_owned();
        let written = entry(&name, number, value.as_bytes());
        let object = (number, Bytes::from(value));
        self.objects.borrow_mut().insert(path, object);
        match self.lost.contains(&number) {
            true => (200, "{\"me".to_owned()),
            false => (200, written),
        }
    }
}

fn entry(name: &str, revision: u64, value: &[u8]) -> String {
    let value = String::from_utf8_lossy(value);
    format!("{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":{value}}}")
}

impl Handler for Objects {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let (status, body) = match *request.method() {
            Method::PUT | Method::POST => self.put(&request),
            _ => self.get(request.uri().path()),
        };
        let response = Response::builder().status(status);
        response.body(body.into()).expect("a response")
    }
}

#[derive(Default)]
struct Server(Cell<u64>);

impl Dispatch for Server {
    async fn send(&self, _: CallRequest, _: Instant) -> CallReply {
        self.0.set(self.0.get() + 1);
        CallReply {
            status: 200,
            payload: Bytes::from_static(b"{\"held\":true}"),
            server: "booking-desk-a".to_owned(),
            ..CallReply::default()
        }
    }
}

fn new_key() -> String {
    let now = SystemTime::UNIX_EPOCH.elapsed().expect("a time of day");
    let time = Timestamp::from_unix(NoContext, now.as_secs(), now.subsec_nanos());
    Uuid::new_v7(time).to_string()
}

fn request(key: &str) -> CallRequest {
    CallRequest {
        service: "booking-desk".to_owned(),
        key: key.to_owned(),
        body: Bytes::from_static(b"{\"room\":7}"),
        ..CallRequest::default()
    }
}

/// Runs three calls with two keys; returns the replies and the number of calls sent.
fn calls(lost: Vec<u64>) -> (Vec<CallReply>, u64) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address: SocketAddr = listener.local_addr().expect("an address");
        let objects = Rc::new(Objects {
            lost,
            ..Objects::default()
        });
        let stop = Stop::new();
        monoio::spawn(web::server::serve(
            listener,
            objects,
            Limits::default(),
            stop,
        ));
        let store = Rc::new(Client::new(address, Duration::from_secs(5)));
        let server = Rc::new(Server::default());
        let ledger = Ledger::new(store, server.clone(), "a".into());
        let deadline = Instant::now() + Duration::from_secs(30);
        let (first, second) = (new_key(), new_key());
        let mut replies = Vec::new();
        for key in [&first, &first, &second] {
            replies.push(ledger.call(request(key), deadline).await);
        }
        ledger.close(deadline).await;
        (replies, server.0.get())
    })
}

#[test]
fn repeated_key_returns_the_recorded_reply() {
    let (replies, sent) = calls(Vec::new());
    assert_eq!(sent, 2);
    assert!(replies.iter().all(|reply| reply.failure.is_none()));
    let recorded = replies.iter().map(|reply| reply.recorded);
    assert_eq!(recorded.collect::<Vec<_>>(), [false, true, false]);
    assert_eq!(replies[0].payload, replies[1].payload);
}

#[test]
fn lost_write_replies_cause_no_second_run() {
    let (replies, sent) = calls(vec![1, 2, 4]);
    assert_eq!(sent, 2);
    assert!(replies.iter().all(|reply| reply.failure.is_none()));
}

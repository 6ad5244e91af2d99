//! A fake instance that serves the caller interface on its own thread.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io::{
        Read,
        Write, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::mpsc,
    thread::JoinHandle, //
};

use bytes::Bytes;
use futures_channel::oneshot;
use http::{
    Request,
    Response, //
};
use monoio::{
    net::TcpListener,
    LegacyDriver,
    RuntimeBuilder, //
};
use serde_json::json;
use web::{
    server::{
        self,
        Handler, //
    },
    Limits,
    Stop, //
};

/// Behavior of the fake.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Script {
    /// Number of requests that have to arrive before the first is answered.
    pub(crate) hold_until: usize,
}

/// A running fake instance.
#[derive(Debug)]
pub(crate) struct Fake {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Fake {
    /// Starts the fake on a free port.
    pub(crate) fn start(script: Script) -> Self {
        let (address_sender, address_receiver) = mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
                .enable_timer()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                address_sender.send(listener.local_addr().unwrap()).unwrap();
                serve(listener, script, stopped).await;
            });
        });
        Self {
            address: address_receiver.recv().unwrap(),
            stop,
            thread,
        }
    }

    /// Returns the address that the fake listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the fake and waits until its thread has ended.
    pub(crate) fn close(self) {
        let _ = self.stop.send(());
        self.thread.join().unwrap();
    }
}

async fn serve(listener: TcpListener, script: Script, stopped: oneshot::Receiver<()>) {
    let handler = Rc::new(FakeHandler {
        script,
        arrived: Cell::default(),
        held: RefCell::default(),
    });
    let stop = Stop::new();
    let signal = stop.clone();
    monoio::spawn(async move {
        let _ = stopped.await;
        signal.set();
    });
    server::serve(listener, handler, Limits::default(), stop).await;
}

struct FakeHandler {
    script: Script,
    arrived: Cell<usize>,
    held: RefCell<Vec<oneshot::Sender<()>>>,
}

impl FakeHandler {
    async fn wait_for_arrivals(&self) {
        self.arrived.set(self.arrived.get() + 1);
        if self.arrived.get() >= self.script.hold_until {
            for sender in self.held.take() {
                let _ = sender.send(());
            }
            return;
        }
        let (sender, release) = oneshot::channel();
        self.held.borrow_mut().push(sender);
        let _ = release.await;
    }
}

impl Handler for FakeHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.wait_for_arrivals().await;
        let id = request.headers()["x-request-id"].to_str().unwrap();
        let target = request.uri().path().split('/').nth(2).unwrap();
        let (status, body) = answer(target, id);
        Response::builder()
            .status(status)
            .header("x-request-id", id)
            .body(body.into())
            .unwrap()
    }
}

fn answer(target: &str, id: &str) -> (u16, String) {
    let part = |shard: &str| {
        let payload =
            json!({"request": format!("{id}-0"), "shard": shard, "snapshot": 7, "hits": []});
        json!({"shard": shard, "server": format!("{shard}-a"), "payload": payload})
    };
    let query = |missing: serde_json::Value, parts: Vec<serde_json::Value>| {
        let coverage = json!({"shards": 2, "answered": parts.len(), "missing": missing});
        json!({
            "request": id, "group": target, "snapshot": 7, "coverage": coverage, "parts": parts,
            "preset": {"name": "ordinary", "version": 3},
        })
    };
    let problem = |kind: &str, run: &str, status: u16| json!({"type": kind, "title": "", "status": status, "detail": "", "run": run, "request": id});
    let complete = query(json!([]), vec![part("s0"), part("s1")]).to_string();
    match target {
        "tallyroom" => {
            let call =
                json!({"request": id, "service": target, "server": "t", "payload": {"n": 1}});
            (200, call.to_string())
        }
        "partial" => {
            let missing = json!([{"shard": "s1", "reason": "deadline"}]);
            (200, query(missing, vec![part("s0")]).to_string())
        }
        "refused" => (
            503,
            problem("/problems/overloaded", "not_run", 503).to_string(),
        ),
        "unknown" => (
            504,
            problem("/problems/outcome", "may_have_run", 504).to_string(),
        ),
        "garbled" => (200, complete[..complete.len() / 2].to_owned()),
        _ => (200, complete),
    }
}

/// Starts a server that accepts one connection, sends `bytes` regardless of the request, and closes the
/// connection.
pub(crate) fn respond_and_close(bytes: &'static [u8]) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).unwrap();
        stream.write_all(bytes).unwrap();
    });
    address
}

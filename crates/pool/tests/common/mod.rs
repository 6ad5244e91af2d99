//! Fake backend servers on the test's own thread, whose replies each test sets.
#![allow(dead_code)] // No test file uses all of it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use config::{
    catalog::{
        Server,
        Service, //
    },
    preset::Class,
    Catalog,
    Marks,
    Preset,
    View, //
};
use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
};
use monoio::{
    io::{
        AsyncReadRent,
        AsyncWriteRentExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::sleep,
    LegacyDriver,
    RuntimeBuilder, //
};
use uuid::Uuid;
use wire::{
    CallRequest,
    Head, //
};

/// Runs a test on a new runtime on the current thread.
pub(crate) fn run<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(future)
}

/// A request that a server received.
#[derive(Debug, Clone, Default)]
pub(crate) struct Request {
    pub(crate) path: String,
    pub(crate) id: String,
    pub(crate) attempt: u32,
    pub(crate) snapshot: u64,
    pub(crate) key: String,
    /// Number of the request on its server, from 1; cancellations aren't counted.
    pub(crate) number: usize,
}

impl Request {
    pub(crate) fn shard(&self) -> &str {
        self.path.split('/').nth(2).unwrap_or("")
    }
}

/// How a fake server replies to a request.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    /// With the right reply, after a delay.
    After(Duration),
    /// With these bytes.
    Raw(String),
    /// With a status and a body.
    Status(u16, &'static str),
    /// By closing the connection.
    Close,
    /// Not until it is cancelled, and then with 499.
    Hang,
}

/// The right reply at once.
pub(crate) const IMMEDIATE: Reply = Reply::After(Duration::ZERO);

/// Returns the body that the protocol requires.
pub(crate) fn body(request: &Request) -> String {
    let Request { id, attempt, .. } = request;
    if request.path == "/call" {
        return format!(
            r#"{{"request":"{id}","attempt":{attempt},"server":"x","result":{{"ok":true}}}}"#
        );
    }
    format!(
        r#"{{"request":"{id}","attempt":{attempt},"shard":"{}","snapshot":{},"server":"x","hits":[]}}"#,
        request.shard(),
        request.snapshot
    )
}

/// Formats an HTTP response.
pub(crate) fn response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

type Behavior = Box<dyn Fn(&Request) -> Reply>;

/// A fake backend server.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    /// Connections above this number are closed when accepted.
    pub(crate) max_connections: Cell<usize>,
    pub(crate) requests: RefCell<Vec<Request>>,
    pub(crate) cancelled: RefCell<Vec<String>>,
    pub(crate) open: Cell<usize>,
    pub(crate) open_peak: Cell<usize>,
    pub(crate) accepted: Cell<usize>,
    pub(crate) busy: Cell<usize>,
    pub(crate) busy_peak: Cell<usize>,
    /// Whether cancellations are ignored.
    pub(crate) ignores_cancel: Cell<bool>,
    /// Number of times that all open connections were closed.
    close_rounds: Cell<usize>,
    /// Number of open connections by the value of `close_rounds` when they were accepted.
    open_by_round: RefCell<BTreeMap<usize, usize>>,
    behavior: RefCell<Behavior>,
}

impl FakeServer {
    pub(crate) fn start(behavior: impl Fn(&Request) -> Reply + 'static) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let fake = Rc::new(Self {
            address: listener.local_addr().expect("an address"),
            max_connections: Cell::new(usize::MAX),
            requests: RefCell::default(),
            cancelled: RefCell::default(),
            open: Cell::new(0),
            open_peak: Cell::new(0),
            accepted: Cell::new(0),
            busy: Cell::new(0),
            busy_peak: Cell::new(0),
            ignores_cancel: Cell::new(false),
            close_rounds: Cell::new(0),
            open_by_round: RefCell::default(),
            behavior: RefCell::new(Box::new(behavior)),
        });
        monoio::spawn(accept(fake.clone(), listener));
        fake
    }

    /// Changes how the server replies.
    pub(crate) fn set_behavior(&self, behavior: impl Fn(&Request) -> Reply + 'static) {
        *self.behavior.borrow_mut() = Box::new(behavior);
    }

    /// Closes every open connection, and waits until they are closed.
    pub(crate) async fn close_connections(&self) {
        let round = self.close_rounds.get() + 1;
        self.close_rounds.set(round);
        wait_until(|| {
            self.open_by_round
                .borrow()
                .range(..round)
                .all(|(_, open)| *open == 0)
        })
        .await;
    }

    /// Returns the number of requests received.
    pub(crate) fn count(&self) -> usize {
        self.requests.borrow().len()
    }
}

async fn accept(fake: Rc<FakeServer>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        fake.accepted.set(fake.accepted.get() + 1);
        if fake.open.get() >= fake.max_connections.get() {
            continue;
        }
        fake.open.set(fake.open.get() + 1);
        fake.open_peak
            .set(fake.open_peak.get().max(fake.open.get()));
        let fake = fake.clone();
        let round = fake.close_rounds.get();
        *fake.open_by_round.borrow_mut().entry(round).or_default() += 1;
        monoio::spawn(async move {
            serve(&fake, round, stream).await;
            *fake.open_by_round.borrow_mut().entry(round).or_default() -= 1;
            fake.open.set(fake.open.get() - 1);
        });
    }
}

async fn serve(fake: &FakeServer, round: usize, mut stream: TcpStream) {
    let mut buffer = String::new();
    loop {
        let Some(mut request) = receive_unless_closed(fake, round, &mut stream, &mut buffer).await
        else {
            return;
        };
        if let Some(name) = request.path.strip_prefix("/cancel/") {
            fake.cancelled.borrow_mut().push(name.to_owned());
            write(&mut stream, response(200, "{}")).await;
            continue;
        }
        request.number = fake.count() + 1;
        fake.requests.borrow_mut().push(request.clone());
        let reply = (fake.behavior.borrow())(&request);
        fake.busy.set(fake.busy.get() + 1);
        fake.busy_peak
            .set(fake.busy_peak.get().max(fake.busy.get()));
        let bytes = reply_bytes(fake, &request, reply).await;
        fake.busy.set(fake.busy.get() - 1);
        match bytes {
            Some(bytes) => write(&mut stream, bytes).await,
            None => return,
        }
    }
}

async fn receive_unless_closed(
    fake: &FakeServer,
    round: usize,
    stream: &mut TcpStream,
    buffer: &mut String,
) -> Option<Request> {
    let received = receive(stream, buffer);
    let closed = async {
        while fake.close_rounds.get() == round {
            sleep(Duration::from_millis(1)).await;
        }
    };
    pin_mut!(received, closed);
    match select(received, closed).await {
        Either::Left((request, _)) => request,
        Either::Right(_) => None,
    }
}

async fn reply_bytes(fake: &FakeServer, request: &Request, reply: Reply) -> Option<String> {
    match reply {
        Reply::After(delay) if delay.is_zero() => Some(response(200, &body(request))),
        Reply::After(delay) => {
            Some(simulate_work(fake, request, Some(Instant::now() + delay)).await)
        }
        Reply::Raw(bytes) => Some(bytes),
        Reply::Status(status, body) => Some(response(status, body)),
        Reply::Close => None,
        Reply::Hang => Some(simulate_work(fake, request, None).await),
    }
}

/// Simulates work until `until` or a cancellation; returns the reply.
async fn simulate_work(fake: &FakeServer, request: &Request, until: Option<Instant>) -> String {
    let name = format!("{}/{}", request.id, request.attempt);
    loop {
        if !fake.ignores_cancel.get() && fake.cancelled.borrow().contains(&name) {
            return response(499, r#"{"error":"cancelled"}"#);
        }
        if until.is_some_and(|until| Instant::now() >= until) {
            return response(200, &body(request));
        }
        sleep(Duration::from_millis(1)).await;
    }
}

async fn write(stream: &mut TcpStream, bytes: String) {
    let _ = stream.write_all(bytes.into_bytes()).await;
}

async fn receive(stream: &mut TcpStream, buffer: &mut String) -> Option<Request> {
    loop {
        if let Some((request, length)) = parse(buffer) {
            buffer.drain(..length);
            return Some(request);
        }
        let (read, bytes) = stream.read(vec![0u8; 4096]).await;
        let read = read.ok().filter(|read| *read > 0)?;
        buffer.push_str(std::str::from_utf8(&bytes[..read]).ok()?);
    }
}

fn parse(buffer: &str) -> Option<(Request, usize)> {
    let end = buffer.find("\r\n\r\n")? + 4;
    let mut lines = buffer[..end].lines();
    let path = lines.next()?.split(' ').nth(1)?.to_owned();
    let headers: BTreeMap<String, &str> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value))
        .collect();
    let text = |name: &str| headers.get(name).copied().unwrap_or("");
    let length: usize = text("content-length").parse().unwrap_or(0);
    let request = Request {
        path,
        id: text("x-request-id").to_owned(),
        attempt: text("x-attempt").parse().unwrap_or(0),
        snapshot: text("x-snapshot").parse().unwrap_or(0),
        key: text("idempotency-key").to_owned(),
        number: 0,
    };
    (buffer.len() >= end + length).then_some((request, end + length))
}

/// Makes the catalog entry of a server.
pub(crate) fn server(name: &str, address: SocketAddr) -> Arc<Server> {
    Arc::new(Server {
        name: Arc::from(name),
        address,
        zone: Arc::from("a"),
        slots: 2,
        connections: 25,
        leaving: false,
    })
}

/// Makes a view in which the service `s` has the servers `a`, `b` and so on, and those in `leaving`
/// are marked as leaving.
pub(crate) fn view(fakes: &[&Rc<FakeServer>], preset: Preset, leaving: &[&str]) -> Arc<View> {
    let servers = fakes
        .iter()
        .zip(["a", "b", "c", "d"])
        .map(|(fake, name)| server(name, fake.address))
        .collect();
    let mut catalog = Catalog::default();
    catalog
        .services
        .insert(Arc::from("s"), Arc::new(Service { servers }));
    let mut marks = Marks::default();
    for name in leaving {
        marks
            .servers
            .insert(Arc::from(*name), config::marks::Mark::Leaving);
    }
    Arc::new(View {
        versions: config::view::Versions {
            presets: 1,
            catalog: 1,
            marks: 1,
        },
        preset: Arc::new(preset),
        catalog: Arc::new(catalog),
        marks: Arc::new(marks),
        ..View::default()
    })
}

/// Makes a pool that owns the service `s`, with its connections open.
pub(crate) async fn pool(fakes: &[&Rc<FakeServer>], preset: Preset) -> Rc<pool::Pool> {
    let pool = pool::Pool::new(Arc::from("a"));
    pool.update(view(fakes, preset, &[]), &|_| true);
    sleep(Duration::from_millis(20)).await;
    pool
}

/// Makes a pool with enough latency samples to hedge, which hasn't sent a hedge yet.
pub(crate) async fn pool_with_latencies(fakes: &[&Rc<FakeServer>]) -> Rc<pool::Pool> {
    // The long hedge delay keeps a stall of the machine from causing a hedge.
    let without_hedges = Preset {
        hedge_min_ms: 10_000,
        ..Preset::default()
    };
    let pool = pool(fakes, without_hedges).await;
    for number in 1_000..1_200 {
        pool.run_part(part(number, 0, LONG_TIMEOUT)).await;
    }
    pool.update(view(fakes, Preset::default(), &[]), &|_| true);
    pool
}

/// Makes part `index` of request `number`.
pub(crate) fn part(number: u128, index: u32, time_left: Duration) -> pool::PartRequest {
    pool::PartRequest {
        head: head(number),
        index,
        shard: Arc::from(format!("shard-{index}")),
        service: Arc::from("s"),
        body: Bytes::from_static(b"{\"query\":1}"),
        deadline: Instant::now() + time_left,
    }
}

/// Makes call `number`.
pub(crate) fn call(number: u128, key: &str) -> CallRequest {
    CallRequest {
        head: Some(head(number)),
        service: "s".to_owned(),
        key: key.to_owned(),
        body: Bytes::from_static(b"{}"),
    }
}

fn head(number: u128) -> Head {
    Head {
        request: Bytes::copy_from_slice(Uuid::from_u128(number).as_bytes()),
        attempt: 1,
        snapshot: 7,
        budget_us: 0,
        presets: 1,
        class: Class::Normal.number(),
    }
}

/// Waits until `condition` holds; panics after [`LONG_TIMEOUT`].
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + LONG_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met in time");
        sleep(Duration::from_millis(1)).await;
    }
}

/// Time to a deadline that no test is expected to reach.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the reason of a failure, and whether the work is known not to have run.
pub(crate) fn reason(failure: &Option<wire::Failure>) -> Option<(wire::Reason, bool)> {
    failure
        .as_ref()
        .map(|failure| (failure.reason(), failure.not_run))
}

//! Backend servers in the test's own thread, which answer as each test says.
#![allow(dead_code)] // Each test file uses a part of it.

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

/// Runs a test on a thread of its own kind of runtime.
pub(crate) fn run<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime")
        .block_on(future)
}

/// A request that a server received.
#[derive(Debug, Clone, Default)]
pub(crate) struct Seen {
    pub(crate) path: String,
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) snapshot: u64,
    pub(crate) key: String,
    /// Number of the request on its server, from 1; cancellations aren't counted.
    pub(crate) number: usize,
}

impl Seen {
    pub(crate) fn shard(&self) -> &str {
        self.path.split('/').nth(2).unwrap_or("")
    }
}

/// How a server answers.
#[derive(Debug, Clone)]
pub(crate) enum Act {
    /// With the right reply, after a time.
    After(Duration),
    /// With these bytes.
    Raw(String),
    /// With a status and a body.
    Status(u16, &'static str),
    /// By closing the connection.
    Close,
    /// Not at all, until it is cancelled; then with 499.
    Hang,
}

/// Answers at once.
pub(crate) const NOW: Act = Act::After(Duration::ZERO);

/// Returns the body that the protocol asks for.
pub(crate) fn body(seen: &Seen) -> String {
    let Seen {
        request, attempt, ..
    } = seen;
    if seen.path == "/call" {
        return format!(
            r#"{{"request":"{request}","attempt":{attempt},"server":"x","result":{{"ok":true}}}}"#
        );
    }
    format!(
        r#"{{"request":"{request}","attempt":{attempt},"shard":"{}","snapshot":{},"server":"x","hits":[]}}"#,
        seen.shard(),
        seen.snapshot
    )
}

/// Makes the bytes of a response.
pub(crate) fn response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

type Behave = Box<dyn Fn(&Seen) -> Act>;

/// A backend server.
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    pub(crate) limit: Cell<usize>,
    pub(crate) seen: RefCell<Vec<Seen>>,
    pub(crate) cancelled: RefCell<Vec<String>>,
    pub(crate) open: Cell<usize>,
    pub(crate) open_peak: Cell<usize>,
    pub(crate) accepted: Cell<usize>,
    pub(crate) busy: Cell<usize>,
    pub(crate) busy_peak: Cell<usize>,
    /// Whether cancellations are ignored.
    pub(crate) deaf: Cell<bool>,
    /// Number of the last round of connections that were cut.
    cuts: Cell<usize>,
    /// Open connections by the round of cuts before they were accepted.
    rounds: RefCell<BTreeMap<usize, usize>>,
    behave: RefCell<Behave>,
}

impl Fake {
    pub(crate) fn start(behave: impl Fn(&Seen) -> Act + 'static) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let fake = Rc::new(Self {
            address: listener.local_addr().expect("an address"),
            limit: Cell::new(usize::MAX),
            seen: RefCell::default(),
            cancelled: RefCell::default(),
            open: Cell::new(0),
            open_peak: Cell::new(0),
            accepted: Cell::new(0),
            busy: Cell::new(0),
            busy_peak: Cell::new(0),
            deaf: Cell::new(false),
            cuts: Cell::new(0),
            rounds: RefCell::default(),
            behave: RefCell::new(Box::new(behave)),
        });
        monoio::spawn(accept(fake.clone(), listener));
        fake
    }

    /// Changes how the server answers.
    pub(crate) fn behave(&self, behave: impl Fn(&Seen) -> Act + 'static) {
        *self.behave.borrow_mut() = Box::new(behave);
    }

    /// Closes every connection that is open.
    pub(crate) async fn cut(&self) {
        let round = self.cuts.get() + 1;
        self.cuts.set(round);
        until(|| {
            self.rounds
                .borrow()
                .range(..round)
                .all(|(_, open)| *open == 0)
        })
        .await;
    }

    /// Returns how many requests arrived.
    pub(crate) fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

async fn accept(fake: Rc<Fake>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        fake.accepted.set(fake.accepted.get() + 1);
        if fake.open.get() >= fake.limit.get() {
            continue;
        }
        fake.open.set(fake.open.get() + 1);
        fake.open_peak
            .set(fake.open_peak.get().max(fake.open.get()));
        let fake = fake.clone();
        let round = fake.cuts.get();
        *fake.rounds.borrow_mut().entry(round).or_default() += 1;
        monoio::spawn(async move {
            serve(&fake, round, stream).await;
            *fake.rounds.borrow_mut().entry(round).or_default() -= 1;
            fake.open.set(fake.open.get() - 1);
        });
    }
}

async fn serve(fake: &Fake, cuts: usize, mut stream: TcpStream) {
    let mut buffer = String::new();
    loop {
        let Some(mut seen) = receive_unless_cut(fake, cuts, &mut stream, &mut buffer).await else {
            return;
        };
        if let Some(name) = seen.path.strip_prefix("/cancel/") {
            fake.cancelled.borrow_mut().push(name.to_owned());
            write(&mut stream, response(200, "{}")).await;
            continue;
        }
        seen.number = fake.count() + 1;
        fake.seen.borrow_mut().push(seen.clone());
        let act = (fake.behave.borrow())(&seen);
        fake.busy.set(fake.busy.get() + 1);
        fake.busy_peak
            .set(fake.busy_peak.get().max(fake.busy.get()));
        let bytes = perform(fake, &seen, act).await;
        fake.busy.set(fake.busy.get() - 1);
        match bytes {
            Some(bytes) => write(&mut stream, bytes).await,
            None => return,
        }
    }
}

async fn receive_unless_cut(
    fake: &Fake,
    cuts: usize,
    stream: &mut TcpStream,
    buffer: &mut String,
) -> Option<Seen> {
    let received = receive(stream, buffer);
    let cut = async {
        while fake.cuts.get() == cuts {
            sleep(Duration::from_millis(1)).await;
        }
    };
    pin_mut!(received, cut);
    match select(received, cut).await {
        Either::Left((seen, _)) => seen,
        Either::Right(_) => None,
    }
}

async fn perform(fake: &Fake, seen: &Seen, act: Act) -> Option<String> {
    match act {
        Act::After(wait) if wait.is_zero() => Some(response(200, &body(seen))),
        Act::After(wait) => Some(work(fake, seen, Some(Instant::now() + wait)).await),
        Act::Raw(bytes) => Some(bytes),
        Act::Status(status, body) => Some(response(status, body)),
        Act::Close => None,
        Act::Hang => Some(work(fake, seen, None).await),
    }
}

/// Works until `until` or until it is cancelled.
async fn work(fake: &Fake, seen: &Seen, until: Option<Instant>) -> String {
    let name = format!("{}/{}", seen.request, seen.attempt);
    loop {
        if !fake.deaf.get() && fake.cancelled.borrow().contains(&name) {
            return response(499, r#"{"error":"cancelled"}"#);
        }
        if until.is_some_and(|until| Instant::now() >= until) {
            return response(200, &body(seen));
        }
        sleep(Duration::from_millis(1)).await;
    }
}

async fn write(stream: &mut TcpStream, bytes: String) {
    let _ = stream.write_all(bytes.into_bytes()).await;
}

async fn receive(stream: &mut TcpStream, buffer: &mut String) -> Option<Seen> {
    loop {
        if let Some((seen, length)) = parse(buffer) {
            buffer.drain(..length);
            return Some(seen);
        }
        let (read, bytes) = stream.read(vec![0u8; 4096]).await;
        let read = read.ok().filter(|read| *read > 0)?;
        buffer.push_str(std::str::from_utf8(&bytes[..read]).ok()?);
    }
}

fn parse(buffer: &str) -> Option<(Seen, usize)> {
    let end = buffer.find("\r\n\r\n")? + 4;
    let mut lines = buffer[..end].lines();
    let path = lines.next()?.split(' ').nth(1)?.to_owned();
    let headers: BTreeMap<String, &str> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value))
        .collect();
    let text = |name: &str| headers.get(name).copied().unwrap_or("");
    let length: usize = text("content-length").parse().unwrap_or(0);
    let seen = Seen {
        path,
        request: text("x-request-id").to_owned(),
        attempt: text("x-attempt").parse().unwrap_or(0),
        snapshot: text("x-snapshot").parse().unwrap_or(0),
        key: text("idempotency-key").to_owned(),
        number: 0,
    };
    (buffer.len() >= end + length).then_some((seen, end + length))
}

/// Makes the catalog's entry of a server.
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

/// Makes a view in which the service `s` has the servers `a`, `b`, and so on.
pub(crate) fn view(fakes: &[&Rc<Fake>], preset: Preset, leaving: &[&str]) -> Arc<View> {
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
pub(crate) async fn pool(fakes: &[&Rc<Fake>], preset: Preset) -> Rc<pool::Pool> {
    let pool = pool::Pool::new(Arc::from("a"));
    pool.update(view(fakes, preset, &[]), &|_| true);
    sleep(Duration::from_millis(20)).await;
    pool
}

/// Makes a pool that knows how long its servers take, and hasn't sent a hedge yet.
pub(crate) async fn warm_pool(fakes: &[&Rc<Fake>]) -> Rc<pool::Pool> {
    // A stall of the machine must not lead to a hedge.
    let patient = Preset {
        hedge_min_ms: 10_000,
        ..Preset::default()
    };
    let pool = pool(fakes, patient).await;
    for number in 1_000..1_200 {
        pool.part(job(number, 0, LONG)).await;
    }
    pool.update(view(fakes, Preset::default(), &[]), &|_| true);
    pool
}

/// Makes part `index` of request `number`.
pub(crate) fn job(number: u128, index: u32, left: Duration) -> pool::Job {
    pool::Job {
        head: head(number),
        index,
        shard: Arc::from(format!("shard-{index}")),
        service: Arc::from("s"),
        body: Bytes::from_static(b"{\"query\":1}"),
        deadline: Instant::now() + left,
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

/// Waits until `holds` does.
pub(crate) async fn until(holds: impl Fn() -> bool) {
    let latest = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < latest, "waited in vain");
        sleep(Duration::from_millis(1)).await;
    }
}

/// A deadline that no test reaches.
pub(crate) const LONG: Duration = Duration::from_secs(5);

/// Returns the reason of a failure.
pub(crate) fn reason(failure: &Option<wire::Failure>) -> Option<(wire::Reason, bool)> {
    failure
        .as_ref()
        .map(|failure| (failure.reason(), failure.not_run))
}

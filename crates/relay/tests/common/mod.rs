//! Backend servers that act as they are told, callers that speak plain bytes, and a relay between.

#![allow(dead_code, unreachable_pub)]

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use http::HeaderName;
use monoio::{
    io::{
        AsyncReadRent,
        AsyncWriteRentExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
    LegacyDriver, RuntimeBuilder,
};
use policy::extra::Bound;
use relay::{
    caller::{
        self,
        Origin, //
    },
    meter::Meter,
    peer::Member,
    registry::{
        self,
        Registry, //
    },
    server::Description,
    Headers,
    Relay, //
};
use route::{
    Gather,
    Kind,
    Limits,
    Route,
    Service,
    Table,
    Target, //
};
use web::Stop;

/// Longest time that anything in a test may take.
const LONGEST: Duration = Duration::from_secs(20);

/// Runs a test on a runtime of its own.
pub fn run<F: Future<Output = ()>>(test: F) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        timeout(LONGEST, test).await.expect("an end in time");
    });
    // Tasks that still hold a stream can lock its connection twice while they are dropped.
    std::mem::forget(runtime);
}

/// Header names of the tests.
pub fn names() -> Headers {
    Headers {
        request: HeaderName::from_static("id"),
        deadline: HeaderName::from_static("wait-ms"),
        target: HeaderName::from_static("meant-for"),
        server: HeaderName::from_static("i-am"),
        signature: HeaderName::from_static("signed"),
        not_run: HeaderName::from_static("not-run"),
        parts: HeaderName::from_static("parts"),
        missing: HeaderName::from_static("missing"),
    }
}

/// A message as it was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(other, _)| other == name);
        named.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection that reads whole messages with a length, and writes bytes.
pub struct Plain {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Plain {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Writes `bytes`.
    pub async fn write(&mut self, bytes: impl Into<Vec<u8>>) -> bool {
        self.stream.write_all(bytes.into()).await.0.is_ok()
    }

    async fn fill(&mut self) -> bool {
        let (read, bytes) = self.stream.read(vec![0; 64 * 1024]).await;
        let read = read.unwrap_or(0);
        self.buffer.extend_from_slice(&bytes[..read]);
        read > 0
    }

    /// Reads the next message; none once the other end has closed.
    pub async fn read(&mut self) -> Option<Message> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            match found {
                Some(at) => break at + 4,
                None if self.fill().await => {}
                None => return None,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.trim_end().split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        let fields = lines.filter_map(|line| line.split_once(':'));
        message.headers = fields
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
            .collect();
        let length = message.header("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.buffer.len() < end + length {
            if !self.fill().await {
                return None;
            }
        }
        message.body = self.buffer[end..end + length].to_vec();
        self.buffer.drain(..end + length);
        Some(message)
    }

    /// Waits until the other end has closed.
    pub async fn closed(&mut self) {
        while self.fill().await {}
    }
}

/// What a server does with a request.
#[derive(Debug, Clone)]
pub enum Act {
    /// Serves it with the body, after a while.
    Serve(Duration, Vec<u8>),
    /// Serves it and names somebody else's request.
    Foreign,
    /// Serves it, then sends a second answer.
    Twice,
    /// Serves it without a signature.
    Unsigned,
    /// Serves it with a body that ends with the connection.
    Unframed(Vec<u8>),
    /// Promises more bytes than it sends, and closes.
    Truncate,
    /// Sends bytes that are no answer.
    Noise,
    /// States that it hasn't run it.
    Shed,
    /// States that it is another server.
    Misplaced,
    /// Runs it and fails.
    Fail,
    /// Closes the connection without a word.
    Close,
    /// Says nothing until the other end closes.
    Silent,
}

/// Serves at once.
pub fn serve(body: &str) -> Act {
    Act::Serve(Duration::ZERO, body.as_bytes().to_vec())
}

/// A backend server.
pub struct Fake {
    /// Id.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
    /// Requests that arrived.
    pub seen: RefCell<Vec<Message>>,
    /// Connections that were accepted.
    pub accepted: Cell<usize>,
    /// Connections that it holds at the same time; those beyond are closed at once.
    pub room: Cell<usize>,
    /// Connections that it holds.
    pub held: Cell<usize>,
    /// When the other end closed a connection on which nothing was answered.
    pub abandoned: Cell<Option<Instant>>,
    acts: Box<dyn Fn(usize) -> Act>,
}

impl Fake {
    /// Starts a server that does `acts(n)` with its `n`th request, from 0.
    pub fn start(id: &str, acts: impl Fn(usize) -> Act + 'static) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let fake = Rc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            seen: RefCell::default(),
            accepted: Cell::new(0),
            abandoned: Cell::new(None),
            room: Cell::new(usize::MAX),
            held: Cell::new(0),
            acts: Box::new(acts),
        });
        let server = fake.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if server.held.get() >= server.room.get() {
                    continue;
                }
                server.accepted.set(server.accepted.get() + 1);
                server.held.set(server.held.get() + 1);
                let server = server.clone();
                monoio::spawn(async move {
                    server.connection(stream).await;
                    server.held.set(server.held.get() - 1);
                });
            }
        });
        fake
    }

    /// Returns how many requests arrived.
    pub fn arrivals(&self) -> usize {
        self.seen.borrow().len()
    }

    async fn connection(&self, stream: TcpStream) {
        let mut plain = Plain {
            stream,
            buffer: Vec::new(),
        };
        while let Some(request) = plain.read().await {
            let number = self.arrivals();
            let id = request.header("id").unwrap_or_default().to_owned();
            self.seen.borrow_mut().push(request);
            let act = (self.acts)(number);
            if !self.act(&mut plain, act, &id, number).await {
                return;
            }
        }
    }

    async fn act(&self, plain: &mut Plain, act: Act, id: &str, number: usize) -> bool {
        let signed = format!("id: {id}\r\nsigned: {}-{number}\r\n", self.id);
        let answer = |status: &str, fields: &str, body: &[u8]| {
            let mut bytes = format!(
                "HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            bytes.extend_from_slice(body);
            bytes
        };
        match act {
            Act::Serve(wait, body) => {
                sleep(wait).await;
                plain.write(answer("200 OK", &signed, &body)).await
            }
            Act::Foreign => {
                let fields = "id: another\r\nsigned: x\r\n";
                plain.write(answer("200 OK", fields, b"foreign")).await
            }
            Act::Twice => {
                let mut bytes = answer("200 OK", &signed, b"first");
                bytes.extend(answer("200 OK", &signed, b"second"));
                plain.write(bytes).await
            }
            Act::Unsigned => plain.write(answer("200 OK", "", b"unsigned")).await,
            Act::Unframed(body) => {
                let mut bytes = format!("HTTP/1.1 200 OK\r\n{signed}\r\n").into_bytes();
                bytes.extend(body);
                plain.write(bytes).await;
                false
            }
            Act::Truncate => {
                let bytes = format!("HTTP/1.1 200 OK\r\n{signed}content-length: 100\r\n\r\nhalf");
                plain.write(bytes).await;
                false
            }
            Act::Noise => {
                plain.write("nonsense nonsense\r\n\r\n").await;
                false
            }
            Act::Shed => {
                let fields = "not-run: 1\r\n";
                plain
                    .write(answer("503 Service Unavailable", fields, b""))
                    .await
            }
            Act::Misplaced => {
                plain
                    .write(answer("421 Misdirected Request", "", b""))
                    .await
            }
            Act::Fail => {
                let status = "500 Internal Server Error";
                plain.write(answer(status, &signed, b"failed")).await
            }
            Act::Close => false,
            Act::Silent => {
                plain.closed().await;
                self.abandoned.set(Some(Instant::now()));
                false
            }
        }
    }

    /// Returns the entry of this server as one of `service`.
    pub fn entry(&self, service: &str) -> Description {
        Description {
            id: Arc::from(self.id.as_str()),
            service: Arc::from(service),
            address: self.address,
            zone: Arc::from("here"),
            slots: 2,
            draining: false,
            warmup: Duration::ZERO,
            born: Some(1),
        }
    }
}

/// A route to one service at `/NAME/`.
pub fn route(name: &str, kind: Kind, target: Target) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_millis(1_500),
        objective: Duration::from_millis(300),
        rank: 1,
        attempts: 2,
        target,
    }
}

/// A route that may be repeated, and one that may not, to the service `one`.
pub fn routes() -> Vec<Route> {
    let to = || Target::Service("one".into());
    vec![
        route("read", Kind::Idempotent, to()),
        route("write", Kind::Once, to()),
    ]
}

/// A query at `/all/` over the services, of which `min_share` must answer.
pub fn query(services: &[&str], top: usize, min_share: f64) -> Route {
    let services = services.iter().map(|name| Arc::from(*name)).collect();
    let gather = Gather {
        services,
        top,
        min_share,
    };
    route("all", Kind::Idempotent, Target::Gather(gather))
}

/// A table of the routes, with as many connections to each service as anyone needs.
pub fn table(version: u64, routes: Vec<Route>) -> Table {
    let mut services: Vec<Service> = Vec::new();
    for name in routes.iter().flat_map(Route::services) {
        services.push(Service {
            name: name.clone(),
            health_path: "/health".into(),
            connections: 20,
        });
    }
    Table::new(version, routes, services, Limits::default())
}

/// An instance under test.
pub struct Instance {
    /// The relay.
    pub relay: Rc<Relay>,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances connect.
    pub peers: SocketAddr,
    /// Stops both listeners.
    pub stop: Stop,
}

/// Starts an instance of the given power that counts as one that has run for long.
pub fn instance(name: &str, power: f64) -> Instance {
    let long_ago = Instant::now().checked_sub(Duration::from_secs(10));
    instance_since(name, power, long_ago.expect("a clock that runs for long"))
}

/// Starts an instance of the given power that counts as started at `started`.
pub fn instance_since(name: &str, power: f64, started: Instant) -> Instance {
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a listener"));
    let addresses = listeners.each_ref().map(TcpListener::local_addr);
    let [address, peers] = addresses.map(|address| address.expect("an address"));
    let settings = registry::Settings {
        me: Member {
            name: name.into(),
            address: peers,
            zone: "here".into(),
            power,
        },
        extra: Bound {
            ratio: 0.2,
            allowance: 50.0,
            span: Duration::from_secs(10),
        },
        drain: Duration::from_secs(3),
    };
    let registry = Registry::new(settings, started);
    registry.set_members(Vec::new());
    let provider = opentelemetry::metrics::noop::NoopMeterProvider::new();
    let source = opentelemetry::metrics::MeterProvider::meter(&provider, "test");
    let margin = Duration::from_millis(50);
    let relay = Relay::new(names(), margin, registry, Meter::new(&source));
    let stop = Stop::new();
    for (listener, origin) in listeners.into_iter().zip([Origin::Caller, Origin::Peer]) {
        monoio::spawn(caller::serve(listener, origin, relay.clone(), stop.clone()));
    }
    Instance {
        relay,
        address,
        peers,
        stop,
    }
}

impl Instance {
    /// Returns the instance as others see it.
    pub fn member(&self, name: &str, power: f64) -> Member {
        Member {
            name: name.into(),
            address: self.peers,
            zone: "here".into(),
            power,
        }
    }

    /// Sends one request on a connection of its own.
    pub async fn ask(&self, request: &str) -> Message {
        let mut plain = Plain::open(self.address).await;
        plain.write(request).await;
        plain.read().await.unwrap_or_default()
    }

    /// Sends `GET path` with an id and a wait.
    pub async fn get(&self, path: &str) -> Message {
        self.ask(&get(path)).await
    }
}

/// Starts an instance with routes and servers, `(service, server)` each.
pub fn started(routes: Vec<Route>, servers: &[(&str, &Rc<Fake>)]) -> Instance {
    let instance = instance("under-test", 1.0);
    let entries = servers.iter().map(|(service, fake)| fake.entry(service));
    let registry = instance.relay.registry();
    registry.replace(entries.collect(), Instant::now());
    instance.relay.set_table(Arc::new(table(1, routes)));
    instance
}

/// Makes `GET path` with an id and a wait of two seconds.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: 2000\r\n\r\n")
}

/// Makes `POST path` with a body.
pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: host\r\nid: q1\r\nwait-ms: 2000\r\ncontent-length: {length}\r\n\r\n{body}")
}

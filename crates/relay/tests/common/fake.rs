//! Scripted backend servers, and connections that send raw bytes.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Arc,
    },
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::future::{
    select,
    Either, //
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
};
use relay::server::Description;
use web::Stop;

/// A request or reply as it was received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Start line.
    pub start: String,
    /// Lower-case names and their values.
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

    /// Returns the status of a reply, or 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection that reads messages with a `Content-Length` and writes raw bytes.
pub struct RawConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl RawConnection {
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

/// Behavior of a server on a request.
#[derive(Debug, Clone)]
pub enum Behavior {
    /// Serves it with the body after a delay.
    Serve(Duration, Vec<u8>),
    /// Serves it with the id of another request.
    Foreign,
    /// Serves it, then sends a second reply.
    Twice,
    /// Serves it without a signature.
    Unsigned,
    /// Serves it with a body that is delimited by the end of the connection.
    Unframed(Vec<u8>),
    /// Closes the connection before the body is complete.
    Truncate,
    /// Sends these bytes and closes the connection.
    Cut(Vec<u8>),
    /// Sends bytes that aren't HTTP.
    Noise,
    /// States that it didn't run it.
    Shed,
    /// Serves it with the body after a delay. If it didn't run an earlier request of the connection, it first sends the
    /// reply that states that once more.
    ServeAfterCopy(Duration, Vec<u8>),
    /// States that it is another server.
    Misplaced,
    /// Replies with an error.
    Fail,
    /// Closes the connection without a reply.
    Close,
    /// Ends the server: all of its connections are closed, and new ones are refused.
    Crash(Duration),
    /// Sends nothing until the other end closes.
    Silent,
    /// Replies with this status, these additional header lines and this body, signed and with the id.
    Reply(&'static str, String, &'static str),
    /// Sends the first text, then the second one again and again until the other end closes.
    Endless(&'static str, &'static str),
}

/// Serves the body without delay.
pub fn serve(body: &str) -> Behavior {
    Behavior::Serve(Duration::ZERO, body.as_bytes().to_vec())
}

/// Length of one write of an endless reply.
const ENDLESS_BLOCK_BYTES: usize = 64 * 1024;

/// Returns an address with any free port on an IP address of its own: a port that a server gives up goes to no other test.
pub fn any_address() -> SocketAddr {
    static SERVERS: AtomicU32 = AtomicU32::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = SERVERS.fetch_add(1, Ordering::Relaxed) % 254 + 1;
    SocketAddr::from(([127, high, low, number as u8], 0))
}

/// Behavior on the `n`th request.
type Script = Box<dyn Fn(usize, &Message) -> Behavior>;

/// A backend server.
pub struct FakeServer {
    /// Id.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
    /// Requests that arrived.
    pub requests: RefCell<Vec<Message>>,
    /// Connections that were accepted.
    pub accepted: Cell<usize>,
    /// Connection limit; connections beyond it are closed at once.
    pub max_connections: Cell<usize>,
    /// Open connections.
    pub connections: Cell<usize>,
    /// Bytes of endless replies that were sent.
    pub endless_bytes: Cell<usize>,
    /// When the other end closed a connection whose request got no reply.
    pub abandoned_at: Cell<Option<Instant>>,
    /// Whether it is running a request.
    pub is_busy: Cell<bool>,
    /// Set when the server has ended.
    pub crashed: Stop,
    behaviors: Script,
}

impl FakeServer {
    /// Starts a server that handles its `n`th request, counted from 0, by `behaviors(n)`.
    pub fn start(id: &str, behaviors: impl Fn(usize) -> Behavior + 'static) -> Rc<Self> {
        Self::start_by_request(id, move |number, _| behaviors(number))
    }

    /// Starts a server that handles its `n`th request, counted from 0, by `behaviors(n, request)`.
    pub fn start_by_request(
        id: &str,
        behaviors: impl Fn(usize, &Message) -> Behavior + 'static,
    ) -> Rc<Self> {
        let listener = TcpListener::bind(any_address()).expect("a listener");
        let fake = Rc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            requests: RefCell::default(),
            accepted: Cell::new(0),
            abandoned_at: Cell::new(None),
            endless_bytes: Cell::new(0),
            max_connections: Cell::new(usize::MAX),
            connections: Cell::new(0),
            is_busy: Cell::new(false),
            crashed: Stop::new(),
            behaviors: Box::new(behaviors),
        });
        let server = fake.clone();
        monoio::spawn(async move {
            loop {
                let accept = pin!(listener.accept());
                let Either::Left((Ok((stream, _)), _)) =
                    select(accept, server.crashed.wait()).await
                else {
                    return;
                };
                if server.connections.get() >= server.max_connections.get() {
                    continue;
                }
                server.accepted.set(server.accepted.get() + 1);
                server.connections.set(server.connections.get() + 1);
                let server = server.clone();
                monoio::spawn(async move {
                    let connection = pin!(server.serve_connection(stream));
                    select(connection, server.crashed.wait()).await;
                    server.connections.set(server.connections.get() - 1);
                });
            }
        });
        fake
    }

    /// Returns the number of requests that arrived.
    pub fn arrivals(&self) -> usize {
        self.requests.borrow().len()
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let mut connection = RawConnection {
            stream,
            buffer: Vec::new(),
        };
        let mut shed_id = None;
        while let Some(request) = connection.read().await {
            let number = self.arrivals();
            let id = request.header("id").unwrap_or_default().to_owned();
            let behavior = (self.behaviors)(number, &request);
            self.requests.borrow_mut().push(request);
            self.is_busy.set(true);
            match (&behavior, shed_id.take()) {
                (Behavior::Shed, _) => shed_id = Some(id.clone()),
                (Behavior::ServeAfterCopy(..), Some(shed_id)) => {
                    let copy = self.rejection(&shed_id);
                    connection.write(copy).await;
                }
                _ => {}
            }
            let is_open = self.respond(&mut connection, behavior, &id, number).await;
            self.is_busy.set(false);
            if !is_open {
                return;
            }
        }
    }

    async fn respond(
        &self,
        connection: &mut RawConnection,
        behavior: Behavior,
        id: &str,
        number: usize,
    ) -> bool {
        let own_headers = format!("id: {id}\r\nsigned: {}-{number}\r\n", self.id);
        let reply = |status: &str, fields: &str, body: &[u8]| {
            let mut bytes = format!(
                "HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            bytes.extend_from_slice(body);
            bytes
        };
        match behavior {
            Behavior::Serve(wait, body) | Behavior::ServeAfterCopy(wait, body) => {
                sleep(wait).await;
                connection.write(reply("200 OK", &own_headers, &body)).await
            }
            Behavior::Foreign => {
                let fields = "id: another\r\nsigned: x\r\n";
                connection.write(reply("200 OK", fields, b"foreign")).await
            }
            Behavior::Twice => {
                let mut bytes = reply("200 OK", &own_headers, b"first");
                bytes.extend(reply("200 OK", &own_headers, b"second"));
                connection.write(bytes).await
            }
            Behavior::Unsigned => connection.write(reply("200 OK", "", b"unsigned")).await,
            Behavior::Unframed(body) => {
                let mut bytes = format!("HTTP/1.1 200 OK\r\n{own_headers}\r\n").into_bytes();
                bytes.extend(body);
                connection.write(bytes).await;
                false
            }
            Behavior::Truncate => {
                let bytes =
                    format!("HTTP/1.1 200 OK\r\n{own_headers}content-length: 100\r\n\r\nhalf");
                connection.write(bytes).await;
                false
            }
            Behavior::Cut(bytes) => {
                connection.write(bytes).await;
                false
            }
            Behavior::Noise => {
                connection.write("nonsense nonsense\r\n\r\n").await;
                false
            }
            Behavior::Shed => {
                let rejection = self.rejection(id);
                connection.write(rejection).await
            }
            Behavior::Misplaced => {
                connection
                    .write(reply("421 Misdirected Request", "", b""))
                    .await
            }
            Behavior::Fail => {
                let status = "500 Internal Server Error";
                connection
                    .write(reply(status, &own_headers, b"failed"))
                    .await
            }
            Behavior::Reply(status, fields, body) => {
                let fields = format!("{own_headers}{fields}");
                connection
                    .write(reply(status, &fields, body.as_bytes()))
                    .await
            }
            Behavior::Endless(start, repeated) => {
                let mut is_open = connection.write(start).await;
                let block = repeated.repeat((ENDLESS_BLOCK_BYTES / repeated.len()).max(1));
                while is_open {
                    is_open = connection.write(block.as_str()).await;
                    self.endless_bytes
                        .set(self.endless_bytes.get() + block.len());
                }
                false
            }
            Behavior::Close => false,
            Behavior::Crash(after) => {
                sleep(after).await;
                self.crashed.set();
                false
            }
            Behavior::Silent => {
                connection.closed().await;
                self.abandoned_at.set(Some(Instant::now()));
                false
            }
        }
    }

    /// Returns the reply that states that the request with this id wasn't run.
    fn rejection(&self, id: &str) -> String {
        format!("HTTP/1.1 503 Service Unavailable\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n")
    }

    /// Returns the description of this server as one of `service`.
    pub fn description(&self, service: &str) -> Description {
        Description {
            id: Arc::from(self.id.as_str()),
            service: Arc::from(service),
            address: self.address,
            zone: Arc::from("here"),
            slots: 2,
            draining: false,
            warmup: Duration::ZERO,
            started_at_ms: Some(1),
        }
    }
}

//! Backend servers that act as they are told, and connections that carry plain bytes.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
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

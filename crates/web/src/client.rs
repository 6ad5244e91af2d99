//! The client side: one exchange at a time on one connection.

use std::{
    net::SocketAddr,
    os::fd::{
        AsRawFd,
        FromRawFd,
        RawFd, //
    },
    time::Duration,
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use monoio::{
    io::{
        sink::SinkExt,
        stream::Stream,
        OwnedReadHalf,
        OwnedWriteHalf,
        Splitable, //
    },
    net::TcpStream,
    time::timeout,
};
use monoio_http::{
    common::body::BodyExt,
    h1::{
        codec::{
            decoder::ClientResponseDecoder,
            encoder::GenericEncoder, //
        },
        BorrowFramedRead,
    },
};

use crate::{
    body::{
        closes,
        payload, //
    },
    bounded::{
        Budget,
        Reader, //
    },
    framing,
    limits::Limits, //
};

/// Unanswered probes after which a silent connection ends.
const PROBES: u32 = 2;

/// Why an exchange has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The peer can't be connected to in time.
    Connect,
    /// The request can't be written.
    Write,
    /// The peer closed the connection before the response was whole.
    Closed,
    /// The response didn't arrive in time.
    Timeout,
    /// The response is malformed, ambiguous or over its bound.
    Malformed,
}

/// A failed exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What failed.
    pub kind: Kind,
    /// Whether a byte of the request may have left.
    pub sent: bool,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "exchange failed: {:?}, sent: {}", self.kind, self.sent)
    }
}

impl std::error::Error for Failure {}

impl Failure {
    fn unsent(kind: Kind) -> Self {
        Self { kind, sent: false }
    }

    fn sent(kind: Kind) -> Self {
        Self { kind, sent: true }
    }
}

/// A finished exchange.
#[derive(Debug)]
pub struct Exchange {
    /// The whole response.
    pub response: Response<Bytes>,
    /// The connection, if the peer keeps it open.
    pub connection: Option<Connection>,
}

type ReadHalf = Reader<OwnedReadHalf<TcpStream>>;

struct Parts {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    decoder: ClientResponseDecoder<ReadHalf>,
}

/// A connection with no exchange on it.
///
/// An exchange consumes the connection and gives it back when the response is whole, so that an
/// abandoned exchange closes it.
pub struct Connection {
    parts: Box<Parts>,
    budget: Budget,
    limits: Limits,
    fd: RawFd,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").field("fd", &self.fd).finish()
    }
}

impl Connection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::Connect`] if the peer refuses or takes longer than `limits.connect`.
    pub async fn open(address: SocketAddr, limits: Limits) -> Result<Self, Failure> {
        let stream = timeout(limits.connect, TcpStream::connect(address))
            .await
            .map_err(|_| Failure::unsent(Kind::Connect))?
            .map_err(|_| Failure::unsent(Kind::Connect))?;
        // The response to a small request must not wait for an acknowledgement.
        stream
            .set_nodelay(true)
            .map_err(|_| Failure::unsent(Kind::Connect))?;
        if let Some(probe) = limits.probe {
            stream
                .set_tcp_keepalive(Some(probe), Some(probe), Some(PROBES))
                .map_err(|_| Failure::unsent(Kind::Connect))?;
        }
        let fd = stream.as_raw_fd();
        let budget = Budget::new(0);
        let (read, write) = stream.into_split();
        Ok(Self {
            parts: Box::new(Parts {
                encoder: GenericEncoder::new(write),
                decoder: ClientResponseDecoder::new(Reader::new(read, budget.clone())),
            }),
            budget,
            limits,
            fd,
        })
    }

    /// Returns whether the peer has closed the connection or sent bytes that nobody asked for.
    ///
    /// A request that must run at most once isn't written to such a connection.
    pub fn is_stale(&self) -> bool {
        // SAFETY: The descriptor is open for as long as `self` lives, and `ManuallyDrop` keeps the
        // borrowed stream from closing it.
        let stream =
            std::mem::ManuallyDrop::new(unsafe { std::net::TcpStream::from_raw_fd(self.fd) });
        let mut byte = [0];
        match stream.peek(&mut byte) {
            Ok(_) => true,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Sends `request` and waits for the whole response for at most `wait`.
    ///
    /// # Errors
    ///
    /// The failure tells whether a byte of the request may have left. The connection is closed.
    pub async fn exchange(
        self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Exchange, Failure> {
        timeout(wait, self.run(request))
            .await
            .unwrap_or(Err(Failure::sent(Kind::Timeout)))
    }

    async fn run(mut self, request: Request<Bytes>) -> Result<Exchange, Failure> {
        self.budget.reset(self.limits.head + self.limits.body);
        let request = request.map(payload);
        self.parts
            .encoder
            .send_and_flush(request)
            .await
            .map_err(|_| Failure::sent(Kind::Write))?;
        let head = match self.parts.decoder.next().await {
            Some(Ok(head)) => head,
            Some(Err(_)) => return Err(Failure::sent(Kind::Malformed)),
            None => return Err(Failure::sent(Kind::Closed)),
        };
        framing::check(head.headers(), &self.limits).map_err(|_| Failure::sent(Kind::Malformed))?;
        let (head, body) = head.into_parts();
        let body = body
            .with_io(&mut self.parts.decoder)
            .bytes()
            .await
            .map_err(|_| Failure::sent(Kind::Closed))?;
        let response = Response::from_parts(head, body);
        let connection = (keeps_open(&response) && self.is_drained()).then_some(self);
        Ok(Exchange {
            response,
            connection,
        })
    }

    /// Returns whether nothing was read beyond the response.
    ///
    /// What is there would be taken for the response to the next request.
    fn is_drained(&mut self) -> bool {
        self.parts.decoder.framed_mut().read_buffer().is_empty()
    }

    /// Closes the connection.
    pub fn close(self) {}
}

fn keeps_open(response: &Response<Bytes>) -> bool {
    !closes(response.headers()) && response.version() == http::Version::HTTP_11
}

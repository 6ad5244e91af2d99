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
        closes_connection,
        payload, //
    },
    bounded::{
        Budget,
        Reader, //
    },
    framing,
    limits::Limits, //
};

/// Number of unanswered keepalive probes after which a silent connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// Connecting failed or timed out.
    Connect,
    /// Writing the request failed.
    Write,
    /// The server closed the connection before the response was complete.
    Closed,
    /// The response wasn't complete in time.
    Timeout,
    /// The response is malformed, declares an ambiguous length or exceeds a size limit.
    Malformed,
}

/// A failed exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What failed.
    pub kind: FailureKind,
    /// Whether any byte of the request may have been sent.
    pub sent: bool,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "exchange failed: {:?}, sent: {}", self.kind, self.sent)
    }
}

impl std::error::Error for Failure {}

impl Failure {
    fn unsent(kind: FailureKind) -> Self {
        Self { kind, sent: false }
    }

    fn sent(kind: FailureKind) -> Self {
        Self { kind, sent: true }
    }
}

/// A finished exchange.
#[derive(Debug)]
pub struct Exchange {
    /// The complete response.
    pub response: Response<Bytes>,
    /// The connection, if the server keeps it open.
    pub connection: Option<Connection>,
}

type ReadHalf = Reader<OwnedReadHalf<TcpStream>>;

struct Parts {
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    decoder: ClientResponseDecoder<ReadHalf>,
}

/// A connection without an exchange in progress.
///
/// An exchange takes ownership of the connection and returns it only after the complete response,
/// so that dropping an unfinished exchange closes it.
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
    /// Fails with [`FailureKind::Connect`] if the server refuses or takes longer than `limits.connect_timeout`.
    pub async fn open(address: SocketAddr, limits: Limits) -> Result<Self, Failure> {
        let stream = timeout(limits.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| Failure::unsent(FailureKind::Connect))?
            .map_err(|_| Failure::unsent(FailureKind::Connect))?;
        // Disables Nagle's algorithm: a small request must not wait for an acknowledgement.
        stream
            .set_nodelay(true)
            .map_err(|_| Failure::unsent(FailureKind::Connect))?;
        if let Some(interval) = limits.keepalive_interval {
            stream
                .set_tcp_keepalive(Some(interval), Some(interval), Some(KEEPALIVE_PROBES))
                .map_err(|_| Failure::unsent(FailureKind::Connect))?;
        }
        let fd = stream.as_raw_fd();
        let budget = Budget::default();
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

    /// Returns whether the server has closed the connection or sent unsolicited bytes.
    ///
    /// A request that must run at most once isn't sent on such a connection.
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

    /// Sends `request` and waits at most `wait` for the complete response.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete, valid response in time. The failure says whether any byte of
    /// the request may have been sent. The connection is closed.
    pub async fn exchange(
        self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Exchange, Failure> {
        timeout(wait, self.run_exchange(request))
            .await
            .unwrap_or(Err(Failure::sent(FailureKind::Timeout)))
    }

    async fn run_exchange(mut self, request: Request<Bytes>) -> Result<Exchange, Failure> {
        self.budget.start_head(&self.limits);
        let request = request.map(payload);
        self.parts
            .encoder
            .send_and_flush(request)
            .await
            .map_err(|_| Failure::sent(FailureKind::Write))?;
        let head = match self.parts.decoder.next().await {
            Some(Ok(head)) => head,
            Some(Err(_)) => return Err(Failure::sent(FailureKind::Malformed)),
            None => return Err(Failure::sent(FailureKind::Closed)),
        };
        self.budget.start_body(&self.limits);
        if !framing::is_final(head.status()) {
            return Err(Failure::sent(FailureKind::Malformed));
        }
        framing::check(head.headers(), &self.limits)
            .map_err(|_| Failure::sent(FailureKind::Malformed))?;
        let (head, body) = head.into_parts();
        let body = body
            .with_io(&mut self.parts.decoder)
            .bytes()
            .await
            .map_err(|_| Failure::sent(FailureKind::Closed))?;
        let response = Response::from_parts(head, body);
        let connection = (keeps_alive(&response) && self.is_read_buffer_empty()).then_some(self);
        Ok(Exchange {
            response,
            connection,
        })
    }

    /// Returns whether no bytes were read beyond the response.
    ///
    /// Such bytes would be parsed as the response to the next request.
    fn is_read_buffer_empty(&mut self) -> bool {
        self.parts.decoder.framed_mut().read_buffer().is_empty()
    }

    /// Closes the connection.
    pub fn close(self) {}
}

fn keeps_alive(response: &Response<Bytes>) -> bool {
    !closes_connection(response.headers()) && response.version() == http::Version::HTTP_11
}

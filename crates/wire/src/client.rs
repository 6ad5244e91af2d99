//! The client side: one connection to each peer, opened when it is first needed.

use std::{
    cell::RefCell,
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use hyper::client::conn::http2::SendRequest;
use monoio::{
    io::IntoPollIo,
    net::TcpStream,
    time::timeout, //
};
use monoio_compat::hyper::{
    MonoioExecutor,
    MonoioIo,
    MonoioTimer, //
};
use tonic::{
    body::Body,
    Streaming, //
};

use crate::{
    gen::peer_client::PeerClient,
    CallReply,
    CallRequest,
    CancelRequest,
    GossipMessage,
    Partial,
    ProbeReply,
    ProbeRequest,
    ScatterRequest,
    SyncReply,
    SyncRequest,
    MESSAGE_MAX, //
};

/// Longest time to connect to a peer.
const CONNECT: Duration = Duration::from_millis(500);
/// Time after a failed connect in which the peer isn't dialled again.
const BACKOFF: Duration = Duration::from_millis(200);

/// Why a call to a peer has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection: nothing was sent.
    Unreachable,
    /// The connection broke or the peer refused: the call may have been received.
    Broken,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable => f.write_str("peer can't be reached"),
            Self::Broken => f.write_str("call to peer broke"),
        }
    }
}

impl std::error::Error for Error {}

#[derive(Debug, Clone)]
struct Channel(SendRequest<Body>);

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}

type Client = PeerClient<Channel>;

#[derive(Debug, Default)]
struct Slot {
    client: RefCell<Option<(SendRequest<Body>, Client)>>,
    failed: RefCell<Option<Instant>>,
    opening: futures_util::lock::Mutex<()>,
}

/// Connections to peers, by address.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    slots: Rc<RefCell<HashMap<SocketAddr, Rc<Slot>>>>,
}

impl Peers {
    /// Makes an empty set of connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops the connection to `address`, if there is one.
    pub fn forget(&self, address: SocketAddr) {
        self.slots.borrow_mut().remove(&address);
    }

    /// Runs the parts of one query at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the connection breaks before the stream starts.
    pub async fn scatter(
        &self,
        address: SocketAddr,
        request: ScatterRequest,
    ) -> Result<Streaming<Partial>, Error> {
        let mut client = self.client(address).await?;
        client.scatter(request).await.map(reply).map_err(broken)
    }

    /// Abandons parts at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the connection breaks.
    pub async fn cancel(&self, address: SocketAddr, request: CancelRequest) -> Result<(), Error> {
        let mut client = self.client(address).await?;
        client.cancel(request).await.map(drop).map_err(broken)
    }

    /// Runs a call at its home instance at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the connection breaks.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: CallRequest,
    ) -> Result<CallReply, Error> {
        let mut client = self.client(address).await?;
        client.call(request).await.map(reply).map_err(broken)
    }

    /// Sends a call once through the owner at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the connection breaks.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: CallRequest,
    ) -> Result<CallReply, Error> {
        let mut client = self.client(address).await?;
        client.send(request).await.map(reply).map_err(broken)
    }

    /// Exchanges heartbeats with `address`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the connection breaks.
    pub async fn gossip(
        &self,
        address: SocketAddr,
        message: GossipMessage,
    ) -> Result<GossipMessage, Error> {
        let mut client = self.client(address).await?;
        client.gossip(message).await.map(reply).map_err(broken)
    }

    /// Asks `address` to probe another instance.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the connection breaks.
    pub async fn probe(
        &self,
        address: SocketAddr,
        request: ProbeRequest,
    ) -> Result<ProbeReply, Error> {
        let mut client = self.client(address).await?;
        client.probe(request).await.map(reply).map_err(broken)
    }

    /// Fetches documents and members from `address`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or the connection breaks.
    pub async fn sync(
        &self,
        address: SocketAddr,
        request: SyncRequest,
    ) -> Result<SyncReply, Error> {
        let mut client = self.client(address).await?;
        client.sync(request).await.map(reply).map_err(broken)
    }

    async fn client(&self, address: SocketAddr) -> Result<Client, Error> {
        let slot = self.slots.borrow_mut().entry(address).or_default().clone();
        if let Some(client) = slot.open() {
            return Ok(client);
        }
        let _opening = slot.opening.lock().await;
        if let Some(client) = slot.open() {
            return Ok(client);
        }
        if slot.is_backing_off() {
            return Err(Error::Unreachable);
        }
        match open(address).await {
            Some((sender, client)) => {
                *slot.client.borrow_mut() = Some((sender, client.clone()));
                Ok(client)
            }
            None => {
                *slot.failed.borrow_mut() = Some(Instant::now());
                Err(Error::Unreachable)
            }
        }
    }
}

impl Slot {
    fn open(&self) -> Option<Client> {
        let client = self.client.borrow();
        match &*client {
            Some((sender, client)) if !sender.is_closed() => Some(client.clone()),
            _ => None,
        }
    }

    fn is_backing_off(&self) -> bool {
        self.failed
            .borrow()
            .is_some_and(|failed| failed.elapsed() < BACKOFF)
    }
}

async fn open(address: SocketAddr) -> Option<(SendRequest<Body>, Client)> {
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let io = MonoioIo::new(stream.into_poll_io().ok()?);
    let handshake = hyper::client::conn::http2::Builder::new(MonoioExecutor)
        .timer(MonoioTimer)
        .handshake(io);
    let (sender, connection) = timeout(CONNECT, handshake).await.ok()?.ok()?;
    monoio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!("wire: connection to {address} ended: {error}.");
        }
    });
    let origin = http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query("/")
        .build()
        .ok()?;
    let client = PeerClient::with_origin(Channel(sender.clone()), origin)
        .max_decoding_message_size(MESSAGE_MAX);
    Some((sender, client))
}

fn reply<T>(response: tonic::Response<T>) -> T {
    response.into_inner()
}

fn broken(_: tonic::Status) -> Error {
    Error::Broken
}

//! Client side of the protocol: one connection to each peer, opened on first use.

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
    MAX_MESSAGE_BYTES, //
};

/// Timeout of the TCP connect, and of the HTTP/2 handshake that follows it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed connect in which calls to the peer fail without a new attempt.
const CONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Error of a call to a peer that got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// There is no connection to the peer; nothing was sent.
    Unreachable,
    /// The connection broke or the peer refused the call, which it may have received.
    Broken,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable => f.write_str("no connection to the peer"),
            Self::Broken => f.write_str("the call to the peer failed and may have been received"),
        }
    }
}

impl std::error::Error for Error {}

/// Adapts a hyper sender to the service that the generated client expects.
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

/// The connection to one peer, absent until it is needed.
#[derive(Debug, Default)]
struct Slot {
    client: RefCell<Option<(SendRequest<Body>, Client)>>,
    failed_at: RefCell<Option<Instant>>,
    /// Held while connecting, so that concurrent calls share one attempt.
    connecting: futures_util::lock::Mutex<()>,
}

/// Connections to peers, by address. Clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    slots: Rc<RefCell<HashMap<SocketAddr, Rc<Slot>>>>,
}

impl Peers {
    /// Creates a set without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops the connection to `address` and its connect backoff, if there are any.
    pub fn forget(&self, address: SocketAddr) {
        self.slots.borrow_mut().remove(&address);
    }

    /// Runs the parts of one query at `address` and streams back their partials.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection to the peer, or if it breaks before the stream starts.
    pub async fn scatter(
        &self,
        address: SocketAddr,
        request: ScatterRequest,
    ) -> Result<Streaming<Partial>, Error> {
        let mut client = self.client(address).await?;
        client
            .scatter(request)
            .await
            .map(into_message)
            .map_err(to_broken)
    }

    /// Cancels parts of a query at `address`.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection to the peer, or if it breaks before the reply.
    pub async fn cancel(&self, address: SocketAddr, request: CancelRequest) -> Result<(), Error> {
        let mut client = self.client(address).await?;
        client.cancel(request).await.map(drop).map_err(to_broken)
    }

    /// Runs a keyed call at its home instance at `address`.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection to the peer, or if it breaks before the reply.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: CallRequest,
    ) -> Result<CallReply, Error> {
        let mut client = self.client(address).await?;
        client
            .call(request)
            .await
            .map(into_message)
            .map_err(to_broken)
    }

    /// Has the owner at `address` send a call once to a backend server.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection to the peer, or if it breaks before the reply.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: CallRequest,
    ) -> Result<CallReply, Error> {
        let mut client = self.client(address).await?;
        client
            .send(request)
            .await
            .map(into_message)
            .map_err(to_broken)
    }

    /// Sends a heartbeat to `address` and returns the heartbeat of that instance.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection to the peer, or if it breaks before the reply.
    pub async fn gossip(
        &self,
        address: SocketAddr,
        message: GossipMessage,
    ) -> Result<GossipMessage, Error> {
        let mut client = self.client(address).await?;
        client
            .gossip(message)
            .await
            .map(into_message)
            .map_err(to_broken)
    }

    /// Asks `address` to probe the target of `request`, which may be `address` itself.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection to the peer, or if it breaks before the reply.
    pub async fn probe(
        &self,
        address: SocketAddr,
        request: ProbeRequest,
    ) -> Result<ProbeReply, Error> {
        let mut client = self.client(address).await?;
        client
            .probe(request)
            .await
            .map(into_message)
            .map_err(to_broken)
    }

    /// Fetches the documents and members that this instance lacks from `address`.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection to the peer, or if it breaks before the reply.
    pub async fn sync(
        &self,
        address: SocketAddr,
        request: SyncRequest,
    ) -> Result<SyncReply, Error> {
        let mut client = self.client(address).await?;
        client
            .sync(request)
            .await
            .map(into_message)
            .map_err(to_broken)
    }

    async fn client(&self, address: SocketAddr) -> Result<Client, Error> {
        let slot = self.slots.borrow_mut().entry(address).or_default().clone();
        if let Some(client) = slot.open_client() {
            return Ok(client);
        }
        let _connecting = slot.connecting.lock().await;
        if let Some(client) = slot.open_client() {
            return Ok(client);
        }
        if slot.is_backing_off() {
            return Err(Error::Unreachable);
        }
        match connect(address).await {
            Some((sender, client)) => {
                *slot.client.borrow_mut() = Some((sender, client.clone()));
                Ok(client)
            }
            None => {
                *slot.failed_at.borrow_mut() = Some(Instant::now());
                Err(Error::Unreachable)
            }
        }
    }
}

impl Slot {
    fn open_client(&self) -> Option<Client> {
        let client = self.client.borrow();
        match &*client {
            Some((sender, client)) if !sender.is_closed() => Some(client.clone()),
            _ => None,
        }
    }

    fn is_backing_off(&self) -> bool {
        self.failed_at
            .borrow()
            .is_some_and(|failed_at| failed_at.elapsed() < CONNECT_BACKOFF)
    }
}

async fn connect(address: SocketAddr) -> Option<(SendRequest<Body>, Client)> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let io = MonoioIo::new(stream.into_poll_io().ok()?);
    let handshake = hyper::client::conn::http2::Builder::new(MonoioExecutor)
        .timer(MonoioTimer)
        .handshake(io);
    let (sender, connection) = timeout(CONNECT_TIMEOUT, handshake).await.ok()?.ok()?;
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
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    Some((sender, client))
}

fn into_message<T>(response: tonic::Response<T>) -> T {
    response.into_inner()
}

fn to_broken(_: tonic::Status) -> Error {
    Error::Broken
}

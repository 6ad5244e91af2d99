//! Server side of the protocol: passes every call to a handler on the local thread.
//!
//! The generated server trait requires `Send` futures, but a `monoio` socket isn't `Send`. Calls
//! therefore go through a channel to a task on the same thread, which spawns the handler's future.

use std::{
    future::Future,
    rc::Rc, //
};

use futures_channel::{
    mpsc,
    oneshot, //
};
use futures_util::{
    future::{
        select,
        Either, //
    },
    pin_mut,
    FutureExt,
    StreamExt, //
};
use monoio::{
    io::IntoPollIo,
    net::{
        TcpListener,
        TcpStream, //
    },
};
use monoio_compat::hyper::{
    MonoioExecutor,
    MonoioIo,
    MonoioTimer, //
};
use tonic::{
    Request,
    Response,
    Status, //
};
use tower_service::Service as _;

use crate::{
    gen::peer_server::{
        Peer,
        PeerServer, //
    },
    CallReply,
    CallRequest,
    CancelReply,
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

/// Sends the partials of one scatter call back to the peer that made it.
#[derive(Debug, Clone)]
pub struct Sink(mpsc::UnboundedSender<Result<Partial, Status>>);

impl Sink {
    /// Sends one partial; returns false if the calling peer has disconnected.
    pub fn send(&self, partial: Partial) -> bool {
        self.0.unbounded_send(Ok(partial)).is_ok()
    }

    /// Returns whether the calling peer has disconnected.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Handles the calls of peers on the local thread.
pub trait Handler: 'static {
    /// Runs the parts of one query; the stream of partials ends when the future completes.
    fn scatter(&self, request: ScatterRequest, sink: Sink) -> impl Future<Output = ()>;
    /// Cancels parts of a query.
    fn cancel(&self, request: CancelRequest) -> impl Future<Output = CancelReply>;
    /// Runs a keyed call as its home instance.
    fn call(&self, request: CallRequest) -> impl Future<Output = CallReply>;
    /// Sends a call once to a backend server.
    fn send(&self, request: CallRequest) -> impl Future<Output = CallReply>;
    /// Merges the peer's heartbeat and replies with this instance's.
    fn gossip(&self, message: GossipMessage) -> impl Future<Output = GossipMessage>;
    /// Probes the target of the request.
    fn probe(&self, request: ProbeRequest) -> impl Future<Output = ProbeReply>;
    /// Replies with the documents and members that the peer lacks.
    fn sync(&self, request: SyncRequest) -> impl Future<Output = SyncReply>;
}

/// A call of a peer, with the channel for its reply.
enum PeerCall {
    Scatter(ScatterRequest, Sink),
    Cancel(CancelRequest, oneshot::Sender<CancelReply>),
    Call(CallRequest, oneshot::Sender<CallReply>),
    Send(CallRequest, oneshot::Sender<CallReply>),
    Gossip(GossipMessage, oneshot::Sender<GossipMessage>),
    Probe(ProbeRequest, oneshot::Sender<ProbeReply>),
    Sync(SyncRequest, oneshot::Sender<SyncReply>),
}

/// The generated service, which forwards each call to the task that runs [`dispatch`].
#[derive(Debug)]
struct Bridge {
    calls: mpsc::UnboundedSender<PeerCall>,
}

impl Bridge {
    async fn forward<Q, R>(
        &self,
        request: Request<Q>,
        wrap: fn(Q, oneshot::Sender<R>) -> PeerCall,
    ) -> Result<Response<R>, Status> {
        let (sender, receiver) = oneshot::channel();
        self.calls
            .unbounded_send(wrap(request.into_inner(), sender))
            .map_err(|_| Status::unavailable("stopping"))?;
        receiver
            .await
            .map(Response::new)
            .map_err(|_| Status::unavailable("stopping"))
    }
}

#[tonic::async_trait]
impl Peer for Bridge {
    type ScatterStream = mpsc::UnboundedReceiver<Result<Partial, Status>>;

    async fn scatter(
        &self,
        request: Request<ScatterRequest>,
    ) -> Result<Response<Self::ScatterStream>, Status> {
        let (sender, receiver) = mpsc::unbounded();
        self.calls
            .unbounded_send(PeerCall::Scatter(request.into_inner(), Sink(sender)))
            .map_err(|_| Status::unavailable("stopping"))?;
        Ok(Response::new(receiver))
    }

    async fn cancel(
        &self,
        request: Request<CancelRequest>,
    ) -> Result<Response<CancelReply>, Status> {
        self.forward(request, PeerCall::Cancel).await
    }

    async fn call(&self, request: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        self.forward(request, PeerCall::Call).await
    }

    async fn send(&self, request: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        self.forward(request, PeerCall::Send).await
    }

    async fn gossip(
        &self,
        request: Request<GossipMessage>,
    ) -> Result<Response<GossipMessage>, Status> {
        self.forward(request, PeerCall::Gossip).await
    }

    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        self.forward(request, PeerCall::Probe).await
    }

    async fn sync(&self, request: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        self.forward(request, PeerCall::Sync).await
    }
}

/// Adapts the generated service to hyper.
struct Service(PeerServer<Bridge>);

impl hyper::service::Service<http::Request<hyper::body::Incoming>> for Service {
    type Response = http::Response<tonic::body::Body>;
    type Error = std::convert::Infallible;
    type Future = <PeerServer<Bridge> as tower_service::Service<
        http::Request<hyper::body::Incoming>,
    >>::Future;

    fn call(&self, request: http::Request<hyper::body::Incoming>) -> Self::Future {
        self.0.clone().call(request)
    }
}

/// Accepts connections of peers until `stop` resolves, then drops all of them.
///
/// Replies of calls still in flight are lost, so this is to be stopped last, once no peer has work
/// here.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    stop: impl Future<Output = ()>,
) {
    let (calls, receiver) = mpsc::unbounded();
    // The task ends when the last connection drops its sender of calls.
    monoio::spawn(dispatch(receiver, handler));
    let service = PeerServer::new(Bridge { calls }).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let (close, closed) = oneshot::channel::<()>();
    let closed = closed.map(drop).shared();
    pin_mut!(stop);
    loop {
        let accept = listener.accept();
        pin_mut!(accept);
        match select(accept, &mut stop).await {
            Either::Left((Ok((stream, _)), _)) => {
                let connection = connection(stream, Service(service.clone()));
                let closed = closed.clone();
                monoio::spawn(async move {
                    pin_mut!(connection);
                    select(connection, closed).await;
                });
            }
            Either::Left((Err(error), _)) => {
                tracing::warn!("wire: accept failed: {error}.");
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            Either::Right(_) => break,
        }
    }
    drop(close);
}

async fn connection(stream: TcpStream, service: Service) {
    let _ = stream.set_nodelay(true);
    let stream = match stream.into_poll_io() {
        Ok(stream) => stream,
        Err(error) => return tracing::warn!("wire: connection failed: {error}."),
    };
    let served = hyper::server::conn::http2::Builder::new(MonoioExecutor)
        .timer(MonoioTimer)
        .serve_connection(MonoioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!("wire: connection ended: {error}.");
    }
}

async fn dispatch<H: Handler>(mut calls: mpsc::UnboundedReceiver<PeerCall>, handler: Rc<H>) {
    while let Some(call) = calls.next().await {
        let handler = handler.clone();
        monoio::spawn(async move { run(call, &*handler).await });
    }
}

async fn run<H: Handler>(call: PeerCall, handler: &H) {
    match call {
        PeerCall::Scatter(request, sink) => handler.scatter(request, sink).await,
        PeerCall::Cancel(request, reply) => drop(reply.send(handler.cancel(request).await)),
        PeerCall::Call(request, reply) => drop(reply.send(handler.call(request).await)),
        PeerCall::Send(request, reply) => drop(reply.send(handler.send(request).await)),
        PeerCall::Gossip(request, reply) => drop(reply.send(handler.gossip(request).await)),
        PeerCall::Probe(request, reply) => drop(reply.send(handler.probe(request).await)),
        PeerCall::Sync(request, reply) => drop(reply.send(handler.sync(request).await)),
    }
}

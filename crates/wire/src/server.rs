//! The server side: every call is handed to a handler on the local thread.
//!
//! Generated server traits want `Send` futures and a `monoio` socket isn't `Send`. A call therefore
//! crosses a channel to a task of the same thread, which spawns the handler's future.

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
    MESSAGE_MAX, //
};

/// Where the partials of one scatter go.
#[derive(Debug, Clone)]
pub struct Sink(mpsc::UnboundedSender<Result<Partial, Status>>);

impl Sink {
    /// Sends one partial; returns false if the caller has gone.
    pub fn send(&self, partial: Partial) -> bool {
        self.0.unbounded_send(Ok(partial)).is_ok()
    }

    /// Returns whether the caller has gone.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Answers the calls of peers on the local thread.
pub trait Handler: 'static {
    /// Runs the parts of one query; the stream ends when the future does.
    fn scatter(&self, request: ScatterRequest, sink: Sink) -> impl Future<Output = ()>;
    /// Abandons parts.
    fn cancel(&self, request: CancelRequest) -> impl Future<Output = CancelReply>;
    /// Runs a call at its home instance.
    fn call(&self, request: CallRequest) -> impl Future<Output = CallReply>;
    /// Sends a call once to a backend server.
    fn send(&self, request: CallRequest) -> impl Future<Output = CallReply>;
    /// Takes in a heartbeat and answers with one.
    fn gossip(&self, message: GossipMessage) -> impl Future<Output = GossipMessage>;
    /// Probes another instance.
    fn probe(&self, request: ProbeRequest) -> impl Future<Output = ProbeReply>;
    /// Hands out documents and members.
    fn sync(&self, request: SyncRequest) -> impl Future<Output = SyncReply>;
}

enum Job {
    Scatter(ScatterRequest, Sink),
    Cancel(CancelRequest, oneshot::Sender<CancelReply>),
    Call(CallRequest, oneshot::Sender<CallReply>),
    Send(CallRequest, oneshot::Sender<CallReply>),
    Gossip(GossipMessage, oneshot::Sender<GossipMessage>),
    Probe(ProbeRequest, oneshot::Sender<ProbeReply>),
    Sync(SyncRequest, oneshot::Sender<SyncReply>),
}

#[derive(Debug)]
struct Bridge {
    jobs: mpsc::UnboundedSender<Job>,
}

impl Bridge {
    async fn ask<Q, R>(
        &self,
        request: Request<Q>,
        wrap: fn(Q, oneshot::Sender<R>) -> Job,
    ) -> Result<Response<R>, Status> {
        let (reply, answer) = oneshot::channel();
        self.jobs
            .unbounded_send(wrap(request.into_inner(), reply))
            .map_err(|_| Status::unavailable("stopping"))?;
        answer
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
        self.jobs
            .unbounded_send(Job::Scatter(request.into_inner(), Sink(sender)))
            .map_err(|_| Status::unavailable("stopping"))?;
        Ok(Response::new(receiver))
    }

    async fn cancel(
        &self,
        request: Request<CancelRequest>,
    ) -> Result<Response<CancelReply>, Status> {
        self.ask(request, Job::Cancel).await
    }

    async fn call(&self, request: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        self.ask(request, Job::Call).await
    }

    async fn send(&self, request: Request<CallRequest>) -> Result<Response<CallReply>, Status> {
        self.ask(request, Job::Send).await
    }

    async fn gossip(
        &self,
        request: Request<GossipMessage>,
    ) -> Result<Response<GossipMessage>, Status> {
        self.ask(request, Job::Gossip).await
    }

    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        self.ask(request, Job::Probe).await
    }

    async fn sync(&self, request: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        self.ask(request, Job::Sync).await
    }
}

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

/// Accepts peers' connections until `stop` resolves, then drops those connections.
///
/// The caller stops the server last, once no peer has work here.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    stop: impl Future<Output = ()>,
) {
    let (jobs, receiver) = mpsc::unbounded();
    // The dispatcher ends with the last connection.
    monoio::spawn(dispatch(receiver, handler));
    let service = PeerServer::new(Bridge { jobs }).max_decoding_message_size(MESSAGE_MAX);
    let (open, closed) = oneshot::channel::<()>();
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
    drop(open);
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

async fn dispatch<H: Handler>(mut jobs: mpsc::UnboundedReceiver<Job>, handler: Rc<H>) {
    while let Some(job) = jobs.next().await {
        let handler = handler.clone();
        monoio::spawn(async move { run(job, &*handler).await });
    }
}

async fn run<H: Handler>(job: Job, handler: &H) {
    match job {
        Job::Scatter(request, sink) => handler.scatter(request, sink).await,
        Job::Cancel(request, reply) => drop(reply.send(handler.cancel(request).await)),
        Job::Call(request, reply) => drop(reply.send(handler.call(request).await)),
        Job::Send(request, reply) => drop(reply.send(handler.send(request).await)),
        Job::Gossip(request, reply) => drop(reply.send(handler.gossip(request).await)),
        Job::Probe(request, reply) => drop(reply.send(handler.probe(request).await)),
        Job::Sync(request, reply) => drop(reply.send(handler.sync(request).await)),
    }
}

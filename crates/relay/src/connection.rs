//! A connection to a backend server or peer: a task that runs one exchange at a time.
//!
//! `hyper` frames the messages. It accepts replies that are delimited by a length, in chunks or by the
//! end of the connection, and closes a connection on which unsolicited bytes arrive.

use std::{
    future::{
        poll_fn,
        Future, //
    },
    pin::{
        pin,
        Pin, //
    },
    rc::Rc,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    task::{
        Context,
        Poll, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};
use futures_channel::{
    mpsc,
    oneshot, //
};
use futures_util::{
    FutureExt,
    StreamExt, //
};
use http::{
    header::CONNECTION,
    HeaderMap,
    HeaderName,
    HeaderValue,
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    client::conn::http1,
};
use monoio::{
    io::IntoPollIo,
    net::TcpStream,
    time::{
        sleep_until,
        timeout,
        Sleep, //
    },
};
use monoio_compat::hyper::MonoioIo;
use web::framing;

pub use crate::metered::peak_buffered_bytes;
use crate::{
    metered::{
        Allowance,
        Metered,
        Reservation, //
    },
    quarantine::Witness,
    reply::is_foreign,
    server::Server,
};

/// Maximum length of a reply's body, in bytes.
///
/// A reply is buffered until it is complete, so that a truncated one is never passed on.
pub const MAX_REPLY_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of a body after which other tasks run; a server that sends without end would keep them waiting.
const MAX_BYTES_WITHOUT_YIELD: usize = 64 * 1024;
/// Bytes that a shorter frame of a body counts as, since each takes processor time.
const MIN_FRAME_COST_BYTES: usize = 1024;
/// Time within which a server at its connection limit closes a new connection: a few round trips.
const ACCEPT_GRACE: Duration = Duration::from_millis(4);
/// Time in which a host whose process has ended resets a new connection: a few round trips, and the time for which this
/// instance may wait for the processor.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum age at which the end of an unused connection means that the server refused it.
const MAX_NEW_CONNECTION_AGE: Duration = Duration::from_millis(100);
/// Maximum time for which a connection stays idle.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Share of the server's `Keep-Alive` timeout after which an idle connection is closed, so that the
/// server doesn't close it first.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection can't be opened.
    Connect,
    /// A new connection was closed before its first reply: the server is at its connection limit.
    Refused,
    /// The connection ended before the reply was complete.
    Closed,
    /// The reply didn't arrive in time.
    Timeout,
    /// The reply isn't valid HTTP.
    Malformed,
    /// The reply exceeds a limit: its body [`MAX_REPLY_BODY_BYTES`], or what is buffered in all.
    Oversized,
}

/// A failed exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Kind of failure.
    pub kind: FailureKind,
    /// Whether any byte of the request may have been sent.
    pub sent: bool,
}

impl Failure {
    /// Returns whether the connection ended after the request was sent and before any reply to it: the server may
    /// have crashed.
    pub(crate) fn is_without_reply(&self) -> bool {
        self.sent && matches!(self.kind, FailureKind::Closed | FailureKind::Refused)
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}, sent: {}", self.kind, self.sent)
    }
}

impl std::error::Error for Failure {}

/// A complete reply.
pub type Reply = Response<Bytes>;

/// One exchange to run.
pub(crate) struct Job {
    /// The request.
    pub(crate) request: Request<Full<Bytes>>,
    /// Id of the request, and the header that carries it.
    pub(crate) id: (HeaderName, HeaderValue),
    /// Whether the request must run at most once.
    pub(crate) is_at_most_once: bool,
    /// When the reply is no longer of use.
    pub(crate) deadline: Instant,
    /// Receives the result; dropping the receiver abandons the exchange.
    pub(crate) reply: oneshot::Sender<Result<Reply, Failure>>,
    /// Is told if the connection ends without a reply after its caller has left; none for a peer.
    pub(crate) witness: Option<Witness>,
}

impl Job {
    fn fail(self, kind: FailureKind) {
        // The receiver was dropped if nobody waits for the result.
        let _ = self.reply.send(Err(Failure { kind, sent: false }));
    }
}

/// Identifies a connection within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Id(u64);

impl Id {
    fn next() -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        Self(LAST.fetch_add(1, Ordering::Relaxed))
    }
}

/// Sends jobs to a connection's task.
///
/// Each connection has exactly one. It is moved to the task with each job and back to the server when
/// the connection is idle, so that dropping the handle of an idle connection ends its task.
#[derive(Debug)]
pub(crate) struct Handle {
    id: Id,
    sender: mpsc::UnboundedSender<Assignment>,
}

struct Assignment {
    job: Job,
    handle: Handle,
}

impl Handle {
    /// Returns the id of the connection.
    pub(crate) fn id(&self) -> Id {
        self.id
    }

    /// Sends a job to the task.
    ///
    /// # Errors
    ///
    /// Returns the job if the connection has ended.
    pub(crate) fn send(self, job: Job) -> Result<(), Box<Job>> {
        let sender = self.sender.clone();
        let assignment = Assignment { job, handle: self };
        sender
            .unbounded_send(assignment)
            .map_err(|error| Box::new(error.into_inner().job))
    }

    /// Returns whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Spawns the task of a new connection, with an optional job to run as soon as it is open.
pub(crate) fn spawn(server: Rc<Server>, first_job: Option<Job>) -> Id {
    let id = Id::next();
    server.connection_opened();
    monoio::spawn(run(server, id, first_job));
    id
}

/// Returns whether a server accepts a connection, which is closed at once; none if that isn't known in time.
pub(crate) async fn probe(server: &Server) -> Option<bool> {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(server.address())).await;
    connected.ok().map(|stream| stream.is_ok())
}

async fn run(server: Rc<Server>, id: Id, first_job: Option<Job>) {
    let (sender, mut jobs) = mpsc::unbounded();
    match connect(&server).await {
        Ok(mut connection) => {
            server.record_contact();
            connection
                .serve(&server, Handle { id, sender }, &mut jobs, first_job)
                .await
        }
        Err(kind) => {
            server.connection_refused();
            server.record_silence();
            if let Some(job) = first_job {
                job.fail(kind);
                server.exchange_ended();
            }
        }
    }
    jobs.close();
    while let Ok(assignment) = jobs.try_recv() {
        assignment.job.fail(FailureKind::Closed);
        server.exchange_ended();
    }
    server.connection_closed();
}

async fn connect(server: &Server) -> Result<Connection, FailureKind> {
    let stream = timeout(
        server.connect_timeout(),
        TcpStream::connect(server.address()),
    )
    .await
    .map_err(|_| FailureKind::Connect)?
    .map_err(|_| FailureKind::Connect)?;
    stream.set_nodelay(true).map_err(|_| FailureKind::Connect)?;
    let allowance = Allowance::default();
    allowance.start_head();
    let io = MonoioIo::new(stream.into_poll_io().map_err(|_| FailureKind::Connect)?);
    let io = Metered::new(io, allowance.clone());
    let (sender, driver) = http1::Builder::new()
        .handshake(io)
        .await
        .map_err(|_| FailureKind::Connect)?;
    Ok(Connection {
        sender,
        driver,
        allowance,
        has_ended: false,
    })
}

type Socket = Metered<MonoioIo<monoio::net::tcp::stream_poll::TcpStreamPoll>>;
type Driver = http1::Connection<Socket, Full<Bytes>>;

struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    /// Bytes that the current reply may still have.
    allowance: Allowance,
    has_ended: bool,
}

/// Whether a connection can be used again after an exchange.
enum Reuse {
    /// It can be used again until then.
    Until(Instant),
    Never,
}

impl Connection {
    async fn serve(
        &mut self,
        server: &Rc<Server>,
        mut handle: Handle,
        jobs: &mut mpsc::UnboundedReceiver<Assignment>,
        first_job: Option<Job>,
    ) {
        let mut next = first_job;
        let mut was_used = false;
        let opened_at = Instant::now();
        let mut expires_at = Instant::now() + MAX_IDLE_TIMEOUT;
        loop {
            let job = match next.take() {
                Some(job) => job,
                None => {
                    server.connection_idle(handle);
                    let Some(assignment) = self.idle(jobs, expires_at).await else {
                        if !was_used {
                            server.connection_refused();
                        }
                        return;
                    };
                    handle = assignment.handle;
                    assignment.job
                }
            };
            let is_new = !was_used && opened_at.elapsed() < MAX_NEW_CONNECTION_AGE;
            if is_new && job.is_at_most_once && !self.stays_open(opened_at).await {
                server.connection_refused();
                job.fail(FailureKind::Refused);
                server.exchange_ended();
                return;
            }
            let (reuse, was_refused) = self.exchange(job, server, is_new).await;
            if was_refused {
                server.connection_refused();
            }
            server.exchange_ended();
            was_used = true;
            match reuse {
                Reuse::Until(until) if !server.is_closed() => expires_at = until,
                _ => return,
            }
        }
    }

    /// Waits for a job; returns none once the connection ends or expires.
    async fn idle(
        &mut self,
        jobs: &mut mpsc::UnboundedReceiver<Assignment>,
        expires_at: Instant,
    ) -> Option<Assignment> {
        let mut timer = pin!(sleep_until(expires_at.into()));
        poll_fn(|cx| {
            if let Poll::Ready(assignment) = jobs.poll_next_unpin(cx) {
                return Poll::Ready(assignment);
            }
            if self.poll_driver(cx) || timer.poll_unpin(cx).is_ready() {
                return Poll::Ready(None);
            }
            Poll::Pending
        })
        .await
    }

    /// Drives the connection; returns whether it has ended.
    fn poll_driver(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.has_ended {
            self.has_ended = self.driver.poll_unpin(cx).is_ready();
        }
        self.has_ended
    }

    /// Waits until a server at its connection limit would have closed the new connection; returns whether
    /// it is still open.
    ///
    /// Otherwise a request that must not be repeated could be sent on a refused connection and lost.
    async fn stays_open(&mut self, opened_at: Instant) -> bool {
        let mut timer = pin!(sleep_until((opened_at + ACCEPT_GRACE).into()));
        poll_fn(|cx| match self.poll_driver(cx) {
            true => Poll::Ready(false),
            false => timer.poll_unpin(cx).map(|()| true),
        })
        .await
    }

    /// Runs one exchange; returns whether the connection can be reused, and whether it was refused.
    async fn exchange(&mut self, job: Job, server: &Rc<Server>, is_new: bool) -> (Reuse, bool) {
        let ready = poll_fn(|cx| {
            self.poll_driver(cx);
            self.sender.poll_ready(cx)
        });
        // A connection that is still busy with the previous exchange isn't waited for.
        if !matches!(ready.now_or_never(), Some(Ok(()))) {
            job.fail(if is_new {
                FailureKind::Refused
            } else {
                FailureKind::Closed
            });
            return (Reuse::Never, is_new);
        }
        let Job {
            request,
            id: (id_header, id),
            deadline,
            mut reply,
            witness,
            ..
        } = job;
        let mut watch = DeadlineWatch {
            timer: Box::pin(sleep_until(deadline.into())),
            server,
            is_abandoned: false,
        };
        self.allowance.start_head();
        let sent_at = Instant::now();
        let response = self.sender.try_send_request(request);
        let mut result = self.receive_reply(response, &mut watch, &mut reply).await;
        result = result.map_err(|failure| match failure.kind {
            FailureKind::Closed if is_new => Failure {
                kind: FailureKind::Refused,
                ..failure
            },
            _ => failure,
        });
        let was_refused = matches!(&result, Err(failure) if failure.kind == FailureKind::Refused);
        match &result {
            Ok(reply) => {
                server.record_reply();
                let (status, headers) = (reply.status(), reply.headers());
                server.record_notices(status, headers, sent_at, Instant::now());
            }
            Err(failure) => match failure.kind {
                FailureKind::Timeout => {
                    server.record_silence();
                    server.record_timeout(sent_at);
                }
                FailureKind::Closed => server.record_silence(),
                // The server has accepted a connection or sent bytes.
                _ => {}
            },
        }
        let reuse = match &result {
            // The reply to this request may still arrive.
            Ok(reply) if is_foreign(reply, &id, &id_header) => Reuse::Never,
            Ok(reply) if self.is_reusable(reply.headers()) => {
                Reuse::Until(Instant::now() + idle_timeout(reply.headers()))
            }
            _ => Reuse::Never,
        };
        match (reply.send(result), witness) {
            (Err(Err(failure)), Some(witness)) if failure.is_without_reply() => {
                monoio::spawn(witness.report_lost(server.clone(), failure.kind));
            }
            // The receiver handles a failure; a reply without a receiver is dropped.
            _ => {}
        }
        (reuse, was_refused)
    }

    async fn receive_reply<F>(
        &mut self,
        response: F,
        watch: &mut DeadlineWatch<'_>,
        reply: &mut oneshot::Sender<Result<Reply, Failure>>,
    ) -> Result<Reply, Failure>
    where
        F: Future<
            Output = Result<
                Response<Incoming>,
                hyper::client::conn::TrySendError<Request<Full<Bytes>>>,
            >,
        >,
    {
        let sent = |kind| Failure { kind, sent: true };
        let mut response = pin!(response);
        let response = self
            .drive(watch, reply, |cx| response.as_mut().poll(cx))
            .await
            .ok_or(sent(FailureKind::Timeout))?
            .map_err(|error| Failure {
                kind: self.failure_kind(error.error()),
                sent: error.message().is_none(),
            })?;
        if !framing::is_final(response.status()) {
            return Err(sent(FailureKind::Malformed));
        }
        let (head, mut body) = response.into_parts();
        self.allowance.start_body();
        let mut since_yield = 0;
        let mut reservation = Reservation::default();
        let mut buffered = BytesMut::new();
        loop {
            let frame = self
                .drive(watch, reply, |cx| Pin::new(&mut body).poll_frame(cx))
                .await
                .ok_or(sent(FailureKind::Timeout))?;
            match frame {
                None => break,
                Some(Err(error)) => return Err(sent(self.failure_kind(&error))),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let is_too_long = buffered.len() + data.len() > MAX_REPLY_BODY_BYTES;
                    if is_too_long || !reservation.reserve(data.len()) {
                        return Err(sent(FailureKind::Oversized));
                    }
                    buffered.extend_from_slice(&data);
                    self.allowance.extend_body(data.len());
                    since_yield += data.len().max(MIN_FRAME_COST_BYTES);
                    if since_yield > MAX_BYTES_WITHOUT_YIELD {
                        since_yield = 0;
                        yield_now().await;
                    }
                }
            }
        }
        Ok(Response::from_parts(head, buffered.freeze()))
    }

    /// Polls `step` together with the connection until it is ready; returns none once `watch` times out.
    async fn drive<T>(
        &mut self,
        watch: &mut DeadlineWatch<'_>,
        reply: &mut oneshot::Sender<Result<Reply, Failure>>,
        mut step: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Option<T> {
        poll_fn(|cx| {
            self.poll_driver(cx);
            if let Poll::Ready(value) = step(cx) {
                return Poll::Ready(Some(value));
            }
            // The step may have requested more data, which the connection may already have.
            self.poll_driver(cx);
            if let Poll::Ready(value) = step(cx) {
                return Poll::Ready(Some(value));
            }
            watch.poll(cx, reply)
        })
        .await
    }

    fn failure_kind(&self, error: &hyper::Error) -> FailureKind {
        match error.is_parse() {
            _ if self.allowance.is_used_up() => FailureKind::Oversized,
            true => FailureKind::Malformed,
            false => FailureKind::Closed,
        }
    }

    fn is_reusable(&mut self, headers: &HeaderMap) -> bool {
        let has_close = headers
            .get_all(CONNECTION)
            .iter()
            .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let mut idle = pin!(poll_fn(|cx| {
            self.poll_driver(cx);
            self.sender.poll_ready(cx)
        }));
        !has_close && matches!(idle.as_mut().now_or_never(), Some(Ok(())))
    }
}

/// Deadline of an exchange; it is shortened once the exchange is abandoned.
struct DeadlineWatch<'a> {
    timer: Pin<Box<Sleep>>,
    server: &'a Server,
    is_abandoned: bool,
}

impl DeadlineWatch<'_> {
    fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        reply: &mut oneshot::Sender<Result<Reply, Failure>>,
    ) -> Poll<Option<T>> {
        if !self.is_abandoned && reply.poll_canceled(cx).is_ready() {
            self.is_abandoned = true;
            let now = Instant::now();
            let until = monoio::time::Instant::from(now + self.server.linger(now));
            let deadline = self.timer.deadline();
            self.timer.as_mut().reset(deadline.min(until));
        }
        self.timer.as_mut().poll(cx).map(|()| None)
    }
}

/// Lets other tasks run.
async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

fn idle_timeout(headers: &HeaderMap) -> Duration {
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(parse_timeout);
    stated.map_or(MAX_IDLE_TIMEOUT, |stated| {
        stated.mul_f64(KEEP_ALIVE_SHARE).min(MAX_IDLE_TIMEOUT)
    })
}

fn parse_timeout(parameters: &str) -> Option<Duration> {
    let parameters = parameters.split(',');
    let pairs = parameters.filter_map(|parameter| parameter.split_once('='));
    let named = |(name, _): &(&str, &str)| name.trim().eq_ignore_ascii_case("timeout");
    let (_, seconds) = pairs.into_iter().find(named)?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

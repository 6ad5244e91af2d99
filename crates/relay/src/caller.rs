//! Server side of connections from callers and peers: a task for each, one request at a time.

use std::{
    cell::Cell,
    convert::Infallible,
    pin::pin,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{
    future::{
        select,
        Either, //
    },
    StreamExt,
};
use http::{
    header::HOST,
    uri::Authority,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use monoio::{
    io::IntoPollIo,
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use monoio_compat::hyper::{
    MonoioIo,
    MonoioTimer, //
};
use policy::completion;
use route::{
    Kind,
    Route,
    Table, //
};
use tracing::{
    debug,
    warn, //
};
use web::Stop;

use crate::{
    answer,
    feed,
    hop,
    in_flight::InFlight,
    liveness,
    peer::{
        self,
        Decline,
        Delegation, //
    },
    relay::Relay,
    request::CallerRequest, //
};

/// Who opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance.
    Peer,
}

/// Maximum time to receive the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, so that running out of file descriptors doesn't cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Text of the answer to a request that a peer may have run.
const NO_PEER_ANSWER: &str = "no answer of a peer";
/// Text of the answer to a request that was still running when the instance ended.
const SHUT_DOWN: &str = "the instance has shut down";
/// Minimum read buffer that `hyper` accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts connections until `stop` is set, then waits for the requests in flight.
pub async fn serve(listener: TcpListener, origin: Origin, relay: Rc<Relay>, stop: Stop) {
    let (alive, mut ended) = mpsc::channel::<()>(0);
    loop {
        let accept = pin!(listener.accept());
        match select(accept, stop.wait()).await {
            Either::Left((Ok((stream, _)), _)) => {
                let (relay, stop, alive) = (relay.clone(), stop.clone(), alive.clone());
                monoio::spawn(async move {
                    connection(stream, origin, relay, stop).await;
                    drop(alive);
                });
            }
            Either::Left((Err(error), _)) => {
                warn!(%error, "caller: accept failed.");
                sleep(ACCEPT_PAUSE).await;
            }
            Either::Right(_) => break,
        }
    }
    drop((listener, alive));
    // Nothing is sent on the channel; it closes when the last connection's task drops its sender.
    let _ = ended.next().await;
}

async fn connection(stream: TcpStream, origin: Origin, relay: Rc<Relay>, stop: Stop) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "caller: connection closed before its first request.");
        return;
    }
    let stream = match stream.into_poll_io() {
        Ok(stream) => stream,
        Err(error) => {
            warn!(%error, "caller: connection can't be polled.");
            return;
        }
    };
    let limits = relay.limits();
    let activity = Rc::new(Activity::default());
    let service = service_fn(|request| {
        let (relay, activity) = (relay.clone(), activity.clone());
        async move { Ok::<_, Infallible>(handle(&relay, origin, &activity, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(None)
        .max_buf_size(limits.max_head_bytes.max(MIN_READ_BUFFER_BYTES) + MIN_READ_BUFFER_BYTES)
        .serve_connection(MonoioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = {
        let idle = pin!(idle(&relay, &activity));
        let closing = select(idle, stop.wait());
        match select(connection.as_mut(), closing).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        }
    };
    let result = match ended {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(%error, "caller: connection failed.");
    }
}

/// Use of a connection so far.
#[derive(Debug)]
struct Activity {
    /// Whether no request has arrived yet.
    is_new: Cell<bool>,
    is_busy: Cell<bool>,
    last_used_at: Cell<Instant>,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            is_new: Cell::new(true),
            is_busy: Cell::new(false),
            last_used_at: Cell::new(Instant::now()),
        }
    }
}

/// Waits until the connection has been idle for the timeout of the current configuration.
async fn idle(relay: &Relay, activity: &Activity) {
    loop {
        let limits = relay.limits();
        let idle_left = match activity.is_busy.get() {
            true => limits.idle_timeout,
            false => limits
                .idle_timeout
                .saturating_sub(activity.last_used_at.get().elapsed()),
        };
        if idle_left.is_zero() {
            return;
        }
        sleep(idle_left).await;
    }
}

async fn handle(
    relay: &Rc<Relay>,
    origin: Origin,
    activity: &Activity,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let arrived_at = Instant::now();
    activity.is_busy.set(true);
    // A caller may choose any method and path, also those of a call between instances.
    if origin == Origin::Peer && !hop::is_passed_on(request.headers()) {
        let answer = answer_instance(relay, &request).await;
        activity.is_busy.set(false);
        activity.last_used_at.set(Instant::now());
        return answer.map(Full::new);
    }
    let id = request.headers().get(&relay.names().request);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
    let in_flight = InFlight::new(relay.clone(), id.to_owned());
    let waited = match activity.is_new.replace(false) {
        true => completion::connection_wait(relay.margin()),
        false => Duration::ZERO,
    };
    let arrival = Arrival {
        arrived_at,
        waited,
        origin,
    };
    let id = in_flight.request_id();
    let mut answer = {
        let answer = async {
            match origin {
                Origin::Caller => respond(relay, request, id, arrival).await,
                Origin::Peer => respond_to_peer(relay, request, id, arrived_at).await,
            }
        };
        match select(pin!(answer), pin!(relay.drained())).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => refuse(relay, id, StatusCode::GATEWAY_TIMEOUT, SHUT_DOWN),
        }
    };
    in_flight.complete();
    activity.is_busy.set(false);
    activity.last_used_at.set(Instant::now());
    if relay.is_draining() {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    answer.map(Full::new)
}

/// Answers a call of another instance on its own behalf.
///
/// A poll waits for seconds, so it isn't one of the requests in flight that a shutdown waits for.
async fn answer_instance(relay: &Relay, request: &Request<Incoming>) -> Response<Bytes> {
    match feed::Query::parse(request.uri()) {
        Some(query) => feed::answer(relay, query).await,
        None if liveness::is_probe(request) => answer::with_text(StatusCode::OK, "alive"),
        None => answer::with_text(StatusCode::BAD_REQUEST, "expected a call of an instance"),
    }
}

/// Arrival of a request.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    arrived_at: Instant,
    /// Time that its caller had waited before it arrived.
    waited: Duration,
    origin: Origin,
}

async fn respond_to_peer(
    relay: &Rc<Relay>,
    mut request: Request<Incoming>,
    id: &str,
    arrived_at: Instant,
) -> Response<Bytes> {
    let Some(sender) = hop::Sender::take_from(request.headers_mut()) else {
        return answer::with_text(StatusCode::BAD_REQUEST, "the sender's state can't be read");
    };
    if let Err(decline) = peer::admit(relay, sender) {
        return peer::decline_answer(relay, decline);
    }
    let arrival = Arrival {
        arrived_at,
        waited: sender.waited,
        origin: Origin::Peer,
    };
    let mut answer = respond(relay, request, id, arrival).await;
    peer::mark_as_peer_answer(relay, &mut answer, arrived_at.elapsed());
    answer
}

async fn respond(
    relay: &Rc<Relay>,
    request: Request<Incoming>,
    id: &str,
    arrival: Arrival,
) -> Response<Bytes> {
    let refuse = |status, text| refuse(relay, id, status, text);
    let table = relay.table();
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let authority = request.uri().authority().map(Authority::as_str);
    let host = host.or(authority).unwrap_or_default();
    let route = table
        .as_ref()
        .and_then(|table| table.find(host, request.uri().path()))
        .cloned();
    let delegates = arrival.origin == Origin::Caller && !relay.registry().gathers_queries();
    let from_caller = arrival.origin == Origin::Caller;
    // Earlier requests of callers may have been answered by a later configuration; a peer states the one that it needs.
    let is_outdated = |table: &Table| from_caller && table.version() < relay.known_version();
    if route.is_none() && !delegates {
        return match table {
            Some(table) if is_outdated(&table) => relay.refuse_outdated(id),
            Some(_) => refuse(StatusCode::NOT_FOUND, "no route"),
            None => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                relay.record_unrouted(id, "no configuration yet", status);
                relay.unconfigured_answer()
            }
        };
    }
    let limits = table
        .as_ref()
        .map(|table| table.limits())
        .unwrap_or_default();
    let (head, body) = request.into_parts();
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    }
    let body = Limited::new(body, limits.max_body_bytes).collect();
    let body = match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        }
        Ok(Err(_)) => return refuse(StatusCode::BAD_REQUEST, "the body can't be read"),
        Err(_) => return refuse(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    let caller_request = match CallerRequest::new(head, body, arrival.arrived_at, relay.names()) {
        Ok(caller_request) => CallerRequest {
            waited: arrival.waited,
            ..caller_request
        },
        Err(fault) => return refuse(StatusCode::BAD_REQUEST, fault.text()),
    };
    if let Some(refusal) = relay.refuse_quarantined(&caller_request) {
        return refusal;
    }
    let route = route.as_deref();
    if from_caller && relay.registry().links().are_lost() {
        return pass_on(relay, &caller_request, route, false).await;
    }
    if delegates {
        match peer::delegate(relay, &caller_request, route).await {
            Delegation::Answered(answer) => return answer,
            Delegation::NotTaken { .. } => {}
            // The peer may have used up the attempts of the route.
            Delegation::MayHaveRun => return refuse(StatusCode::BAD_GATEWAY, NO_PEER_ANSWER),
        }
    }
    match (table, route) {
        (Some(table), _) if is_outdated(&table) => relay.refuse_outdated(id),
        (Some(table), Some(route)) => {
            let local = answer_while_linked(relay, &table, route, &caller_request).await;
            let may_have_run = match local {
                Local::Answered(answer) => return answer,
                Local::NotRun => false,
                Local::Abandoned => true,
            };
            match arrival.origin {
                Origin::Caller => pass_on(relay, &caller_request, Some(route), may_have_run).await,
                Origin::Peer if may_have_run => peer::decline_answer(relay, Decline::Abandoned),
                Origin::Peer => peer::decline_answer(relay, Decline::Unlinked),
            }
        }
        (Some(_), None) => refuse(StatusCode::NOT_FOUND, "no route"),
        (None, _) => relay.unconfigured_answer(),
    }
}

/// Answers a request itself, without routing it.
fn refuse(relay: &Relay, id: &str, status: StatusCode, text: &'static str) -> Response<Bytes> {
    relay.record_unrouted(id, text, status);
    answer::with_text(status, text)
}

/// Result of answering a request on this instance, whose links may be lost meanwhile.
enum Local {
    /// It was answered.
    Answered(Response<Bytes>),
    /// The links are lost, and no server has run it.
    NotRun,
    /// The links are lost. Servers may have run it, and it may run again.
    Abandoned,
}

async fn answer_while_linked(
    relay: &Relay,
    table: &Table,
    route: &Route,
    caller_request: &CallerRequest,
) -> Local {
    let links = relay.registry().links();
    let answer = pin!(relay.answer(table, route, caller_request));
    let loss = pin!(links.wait_for_loss());
    let answer = match select(answer, loss).await {
        Either::Left((answer, _)) => answer,
        Either::Right(_) if route.kind == Kind::Idempotent => return Local::Abandoned,
        Either::Right(((), answer)) => answer.await,
    };
    match links.are_lost() && answer::is_refusal(&answer) {
        true => Local::NotRun,
        false => Local::Answered(answer),
    }
}

/// Passes on a request that this instance can't serve, as its links are lost.
async fn pass_on(
    relay: &Relay,
    caller_request: &CallerRequest,
    route: Option<&Route>,
    may_have_run: bool,
) -> Response<Bytes> {
    match peer::delegate(relay, caller_request, route).await {
        Delegation::Answered(answer) => answer,
        Delegation::NotTaken {
            may_have_run: other,
        } if !may_have_run && !other => relay.refuse_unlinked(caller_request),
        Delegation::NotTaken { .. } | Delegation::MayHaveRun => {
            let id = caller_request.id.to_str().unwrap_or("unprintable");
            refuse(relay, id, StatusCode::BAD_GATEWAY, NO_PEER_ANSWER)
        }
    }
}

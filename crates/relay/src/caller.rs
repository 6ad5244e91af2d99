//! Connections of callers: a task each, one request at a time.

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
use policy::patience;
use tracing::{
    debug,
    warn, //
};
use web::Stop;

use crate::{
    answer,
    begun::Begun,
    peer::{
        self,
        Passed, //
    },
    relay::Relay,
    request::Asked, //
};

/// Who is at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another instance.
    Peer,
}

/// Longest time that the body of a request may take.
const BODY_TIME: Duration = Duration::from_secs(5);
/// Wait after a failed accept: a full descriptor table must not turn into a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Smallest read buffer that the codec library accepts, in bytes.
const BUFFER_MIN: usize = 8 * 1024;

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
    // The channel carries nothing; it ends with the last connection.
    let _ = ended.next().await;
}

async fn connection(stream: TcpStream, origin: Origin, relay: Rc<Relay>, stop: Stop) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "caller: connection ended before its first request.");
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
        .max_buf_size(limits.head.max(BUFFER_MIN) + BUFFER_MIN)
        .serve_connection(MonoioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = {
        let idle = pin!(idle(&relay, &activity));
        let quiet = select(idle, stop.wait());
        match select(connection.as_mut(), quiet).await {
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
        debug!(%error, "caller: connection broke.");
    }
}

/// What a connection was used for.
#[derive(Debug)]
struct Activity {
    /// Whether no request has come yet.
    new: Cell<bool>,
    busy: Cell<bool>,
    last: Cell<Instant>,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            new: Cell::new(true),
            busy: Cell::new(false),
            last: Cell::new(Instant::now()),
        }
    }
}

/// Waits until the connection was idle for as long as the configuration in force allows.
async fn idle(relay: &Relay, activity: &Activity) {
    loop {
        let limits = relay.limits();
        let left = match activity.busy.get() {
            true => limits.idle,
            false => limits.idle.saturating_sub(activity.last.get().elapsed()),
        };
        if left.is_zero() {
            return;
        }
        sleep(left).await;
    }
}

async fn handle(
    relay: &Rc<Relay>,
    origin: Origin,
    activity: &Activity,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let arrived = Instant::now();
    activity.busy.set(true);
    let id = request.headers().get(&relay.names().request);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("none");
    let begun = Begun::new(relay.clone(), id.to_owned());
    let waited = match activity.new.replace(false) {
        true => patience::opening(relay.margin()),
        false => Duration::ZERO,
    };
    let arrival = Arrival {
        at: arrived,
        waited,
        origin,
    };
    let mut answer = match origin {
        Origin::Caller => respond(relay, request, begun.request(), arrival).await,
        Origin::Peer => respond_to_peer(relay, request, begun.request(), arrived).await,
    };
    begun.end();
    activity.busy.set(false);
    activity.last.set(Instant::now());
    if relay.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    answer.map(Full::new)
}

/// How a request came.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Instant,
    /// Time that its caller had waited before.
    waited: Duration,
    origin: Origin,
}

async fn respond_to_peer(
    relay: &Rc<Relay>,
    mut request: Request<Incoming>,
    id: &str,
    arrived: Instant,
) -> Response<Bytes> {
    let Some(hop) = peer::take(request.headers_mut()) else {
        return answer::own(StatusCode::BAD_REQUEST, "expected a query of a peer");
    };
    if let Err(decline) = peer::admit(relay, hop) {
        return peer::declined(decline);
    }
    let arrival = Arrival {
        at: arrived,
        waited: hop.waited(),
        origin: Origin::Peer,
    };
    let mut answer = respond(relay, request, id, arrival).await;
    peer::mark(&mut answer, arrived.elapsed());
    answer
}

async fn respond(
    relay: &Rc<Relay>,
    request: Request<Incoming>,
    id: &str,
    arrival: Arrival,
) -> Response<Bytes> {
    let refuse = |status, text| {
        relay.note_unrouted(id, text, status);
        answer::own(status, text)
    };
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
    let passes_on = arrival.origin == Origin::Caller && !relay.registry().gathers();
    if route.is_none() && !passes_on {
        return match table {
            Some(_) => refuse(StatusCode::NOT_FOUND, "no route"),
            None => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                relay.note_unrouted(id, "no configuration yet", status);
                relay.unconfigured()
            }
        };
    }
    let limits = table
        .as_ref()
        .map(|table| table.limits())
        .unwrap_or_default();
    let (head, body) = request.into_parts();
    if body.size_hint().lower() > limits.body as u64 {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    }
    let body = Limited::new(body, limits.body).collect();
    let body = match timeout(BODY_TIME, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        }
        Ok(Err(_)) => return refuse(StatusCode::BAD_REQUEST, "the body can't be read"),
        Err(_) => return refuse(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    let asked = match Asked::new(head, body, arrival.at, relay.names()) {
        Ok(asked) => Asked {
            waited: arrival.waited,
            ..asked
        },
        Err(fault) => return refuse(StatusCode::BAD_REQUEST, fault.text()),
    };
    if passes_on {
        match peer::ask(relay, &asked, route.as_deref()).await {
            Passed::Answered(answer) => return answer,
            Passed::NotTaken => {}
            // The peer may have asked as many servers as the route allows.
            Passed::MayHaveRun => return refuse(StatusCode::BAD_GATEWAY, "no answer of a peer"),
        }
    }
    match (table, route) {
        (Some(table), Some(route)) => relay.answer(&table, &route, &asked).await,
        (Some(_), None) => refuse(StatusCode::NOT_FOUND, "no route"),
        (None, _) => relay.unconfigured(),
    }
}

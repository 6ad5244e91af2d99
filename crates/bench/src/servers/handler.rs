//! The HTTP interface of a backend server.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header::{
        HeaderName,
        CONNECTION,
        RETRY_AFTER, //
    },
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode, //
};
use monoio::time::{
    sleep,
    timeout, //
};
use rand::Rng;

use super::{
    content::{
        self,
        Signature,
        QUERY_PREFIX,
        READ_PREFIX, //
    },
    log::{
        Arrival,
        Disposition, //
    },
    Server,
};
use crate::{
    backends::now_us,
    socket::Socket, //
};

/// Longest time that a request without a deadline waits for a slot.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// Requests that are rejected with a pause, as a share of those that get a faulty reply.
const PAUSE_SHARE: f64 = 0.1;
/// Range of the pauses that the server asks for, in seconds.
const MIN_PAUSE_S: f64 = 0.1;
const MAX_PAUSE_S: f64 = 2.0;
/// Rejections that are sent a second time, late, as a multiple of the share of faulty replies: few requests are rejected.
const LATE_COPIES: f64 = 20.0;
/// Number of header lines of an endless head.
const ENDLESS_LINES: usize = 40_000;

/// Fault of a reply, injected at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyFault {
    /// Sends the complete reply to another request first.
    Foreign,
    /// Closes the connection in the middle of a reply.
    Truncate,
    /// Closes the connection before the reply.
    Close,
    /// Sends bytes that are not HTTP and closes the connection.
    Noise,
    /// Replies with a status of a failure, without stating that nothing has run.
    Fail,
    /// Omits the signature header.
    Unsigned,
    /// Replies late.
    Late,
    /// Sends as many header lines as fit in the socket buffer, without an end.
    Endless,
}

impl ReplyFault {
    const ALL: [Self; 8] = [
        Self::Foreign,
        Self::Truncate,
        Self::Close,
        Self::Noise,
        Self::Fail,
        Self::Unsigned,
        Self::Late,
        Self::Endless,
    ];
    /// Delay of a late reply.
    const LATE_DELAY: Duration = Duration::from_millis(700);
}

/// Handles the requests of one connection.
#[derive(Debug)]
pub struct Handler {
    server: Rc<Server>,
    socket: Socket,
    /// Id of the request that was rejected last, until the next one comes.
    rejected: RefCell<Option<String>>,
}

impl Handler {
    /// Makes the handler of the connection on `socket`.
    pub fn new(server: Rc<Server>, socket: Socket) -> Self {
        Self {
            server,
            socket,
            rejected: RefCell::default(),
        }
    }

    fn health(&self) -> Response<Bytes> {
        let status = match self.server.is_draining() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        };
        self.reply(status, &[(&self.server.names.server, &self.server.id)])
    }

    fn reply(&self, status: StatusCode, headers: &[(&HeaderName, &str)]) -> Response<Bytes> {
        let mut reply = Response::new(Bytes::new());
        *reply.status_mut() = status;
        for (name, value) in headers {
            match HeaderValue::from_str(value) {
                Ok(value) => drop(reply.headers_mut().insert(*name, value)),
                Err(error) => tracing::error!("servers: {name} can't be sent: {error}."),
            }
        }
        if self.server.is_draining() {
            let leaving = &self.server.names.leaving;
            let headers = reply.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
            headers.insert(leaving, HeaderValue::from_static("1"));
        }
        reply
    }

    fn log_arrival(
        &self,
        request: &Request<Bytes>,
        id: &str,
        at_us: u64,
        fate: Disposition,
    ) -> u64 {
        let server = &self.server;
        server.log.append(Arrival {
            at_us,
            request: id.to_owned(),
            service: server.options.service.clone(),
            server: server.id.clone(),
            started_at_ms: server.started_at_ms,
            fate,
            altered: is_altered(request, id),
        })
    }

    fn refuse(&self, status: StatusCode) -> Response<Bytes> {
        self.reply(status, &[(&self.server.names.not_run, "1")])
    }

    async fn serve(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let at_us = now_us();
        let server = &self.server;
        let header = |name| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let Some(id) = header(&server.names.request) else {
            return self.refuse(StatusCode::BAD_REQUEST);
        };
        if header(&server.names.target).is_some_and(|target| target != &*server.id) {
            self.log_arrival(request, id, at_us, Disposition::Misplaced);
            return self.refuse(StatusCode::MISDIRECTED_REQUEST);
        }
        if self.wants_pause() {
            self.log_arrival(request, id, at_us, Disposition::Refused);
            let mut reply = self.refuse(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = rand::rng().random_range(MIN_PAUSE_S..MAX_PAUSE_S);
            if let Ok(seconds) = HeaderValue::from_str(&format!("{seconds:.2}")) {
                reply.headers_mut().insert(RETRY_AFTER, seconds);
            }
            return reply;
        }
        let deadline = header(&server.names.deadline).and_then(|wait| wait.parse().ok());
        let wait = deadline.map_or(DEFAULT_WAIT, Duration::from_millis);
        let permit = match server.slots.acquire() {
            Some(queued) => timeout(wait, queued).await.ok().and_then(Result::ok),
            None => None,
        };
        let Some(permit) = permit else {
            self.log_arrival(request, id, at_us, Disposition::Refused);
            self.rejected.replace(Some(id.to_owned()));
            let mut reply = self.refuse(StatusCode::SERVICE_UNAVAILABLE);
            if let Ok(id) = HeaderValue::from_str(id) {
                reply.headers_mut().insert(&server.names.request, id);
            }
            return reply;
        };
        self.copy_rejection();
        let run = self.log_arrival(request, id, at_us, Disposition::Ran);
        sleep(server.draw_service_time()).await;
        let reply = self.run(request, id, run).await;
        drop(permit);
        reply
    }

    async fn run(&self, request: &Request<Bytes>, id: &str, run: u64) -> Response<Bytes> {
        let server = &self.server;
        let signature = Signature {
            service: server.options.service.to_string(),
            server: server.id.to_string(),
            run,
            request: id.to_owned(),
        };
        let body: Bytes = match request.uri().path().starts_with(QUERY_PREFIX) {
            true => content::records(id, &signature.service).concat().into(),
            false => content::reply_body(&signature),
        };
        let text = signature.to_string();
        let names = &server.names;
        let headers = [(&names.request, id), (&names.signature, text.as_str())];
        let mut reply = self.reply(StatusCode::OK, &headers);
        *reply.body_mut() = body;
        if let Some(fault) = self.draw_fault() {
            self.apply_fault(fault, &mut reply).await;
        }
        reply
    }

    /// Sends the rejection of the request before once more, in some of the cases.
    fn copy_rejection(&self) {
        let share = self.server.options.mischief * LATE_COPIES;
        let rejected = self.rejected.take();
        let rejected = rejected.filter(|_| rand::rng().random_bool(share.clamp(0.0, 1.0)));
        if let Some(id) = rejected {
            let (request, not_run) = (&self.server.names.request, &self.server.names.not_run);
            let head = format!("{request}: {id}\r\n{not_run}: 1\r\n");
            let copy =
                format!("HTTP/1.1 503 Service Unavailable\r\n{head}content-length: 0\r\n\r\n");
            self.socket.write(copy.as_bytes());
        }
    }

    /// Returns whether the server rejects the request and asks for a pause.
    fn wants_pause(&self) -> bool {
        let share = self.server.options.mischief * PAUSE_SHARE;
        rand::rng().random_bool(share.clamp(0.0, 1.0))
    }

    fn draw_fault(&self) -> Option<ReplyFault> {
        let mut rng = rand::rng();
        let is_faulty = rng.random_bool(self.server.options.mischief);
        is_faulty.then(|| ReplyFault::ALL[rng.random_range(..ReplyFault::ALL.len())])
    }

    async fn apply_fault(&self, fault: ReplyFault, reply: &mut Response<Bytes>) {
        let names = &self.server.names;
        let (request, signature) = (&names.request, &names.signature);
        match fault {
            ReplyFault::Foreign => {
                let head = format!("{request}: another\r\n{signature}: s:a:1:another\r\n");
                let foreign = format!("HTTP/1.1 200 OK\r\n{head}content-length: 7\r\n\r\nforeign");
                self.socket.write(foreign.as_bytes());
            }
            ReplyFault::Truncate => {
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
                self.socket.write(head.as_bytes());
                self.socket.shutdown();
            }
            ReplyFault::Close => self.socket.shutdown(),
            ReplyFault::Noise => {
                self.socket.write(b"\x00\xff?? this is no reply\r\n\r\n");
                self.socket.shutdown();
            }
            ReplyFault::Fail => {
                let signed = reply.headers().get(signature);
                let signed = signed.and_then(|signed| Signature::parse(signed.to_str().ok()?));
                let status = signed.map(|signed| content::failure_status(&signed));
                *reply.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            }
            ReplyFault::Unsigned => drop(reply.headers_mut().remove(signature)),
            ReplyFault::Endless => {
                self.socket.write(b"HTTP/1.1 200 OK\r\n");
                let lines = "name: value\r\n".repeat(ENDLESS_LINES);
                self.socket.write(lines.as_bytes());
                sleep(ReplyFault::LATE_DELAY).await;
                self.socket.shutdown();
            }
            ReplyFault::Late => sleep(ReplyFault::LATE_DELAY).await,
        }
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        match request.uri().path() {
            super::HEALTH => self.health(),
            _ => self.serve(&request).await,
        }
    }
}

fn is_altered(request: &Request<Bytes>, id: &str) -> bool {
    let path = request.uri().path();
    let expected = match path {
        _ if path.starts_with(QUERY_PREFIX) || path.starts_with(READ_PREFIX) => {
            (Method::GET, Bytes::new())
        }
        _ => (Method::POST, content::request_body(id)),
    };
    let ends_with_id = path.rsplit('/').next() == Some(id);
    !ends_with_id || *request.method() != expected.0 || *request.body() != expected.1
}

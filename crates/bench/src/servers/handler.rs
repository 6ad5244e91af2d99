//! Answers the requests of one connection.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header::{
        HeaderName,
        CONNECTION, //
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
        QUERIES,
        READS, //
    },
    log::{
        Arrival,
        Fate, //
    },
    Server,
};
use crate::{
    backends::now_us,
    socket::Socket, //
};

/// How long a request waits for a slot whose deadline isn't told.
const WAIT: Duration = Duration::from_secs(10);

/// What a faulty server does in place of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mischief {
    /// Puts the whole answer to another request in front.
    Foreign,
    /// Ends the connection in the middle of the answer.
    Truncate,
    /// Ends the connection before the answer.
    Close,
    /// Sends bytes that are no answer.
    Noise,
    /// Answers with a failure.
    Fail,
    /// Leaves the signature out.
    Unsigned,
    /// Answers very late.
    Late,
}

impl Mischief {
    const ALL: [Self; 7] = [
        Self::Foreign,
        Self::Truncate,
        Self::Close,
        Self::Noise,
        Self::Fail,
        Self::Unsigned,
        Self::Late,
    ];
    /// Delay of a late answer.
    const LATE: Duration = Duration::from_millis(700);
}

/// Answers the requests of one connection.
#[derive(Debug)]
pub struct Handler {
    server: Rc<Server>,
    socket: Socket,
}

impl Handler {
    /// Makes the handler of the connection on `socket`.
    pub fn new(server: Rc<Server>, socket: Socket) -> Self {
        Self { server, socket }
    }

    fn health(&self) -> Response<Bytes> {
        let status = match self.server.is_leaving() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        };
        self.answer(status, &[(&self.server.names.server, &self.server.id)])
    }

    fn answer(&self, status: StatusCode, headers: &[(&HeaderName, &str)]) -> Response<Bytes> {
        let mut answer = Response::new(Bytes::new());
        *answer.status_mut() = status;
        for (name, value) in headers {
            match HeaderValue::from_str(value) {
                Ok(value) => drop(answer.headers_mut().insert(*name, value)),
                Err(error) => tracing::error!("servers: {name} can't be sent: {error}."),
            }
        }
        if self.server.is_leaving() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        answer
    }

    fn note(&self, request: &Request<Bytes>, id: &str, at_us: u64, fate: Fate) -> u64 {
        let server = &self.server;
        server.log.add(Arrival {
            at_us,
            request: id.to_owned(),
            service: server.options.service.clone(),
            server: server.id.clone(),
            born: server.born,
            fate,
            altered: is_altered(request, id),
        })
    }

    fn refuse(&self, status: StatusCode) -> Response<Bytes> {
        self.answer(status, &[(&self.server.names.not_run, "1")])
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
            self.note(request, id, at_us, Fate::Misplaced);
            return self.refuse(StatusCode::MISDIRECTED_REQUEST);
        }
        let deadline = header(&server.names.deadline).and_then(|wait| wait.parse().ok());
        let wait = deadline.map_or(WAIT, Duration::from_millis);
        let permit = match server.slots.acquire() {
            Some(place) => timeout(wait, place).await.ok().and_then(Result::ok),
            None => None,
        };
        let Some(permit) = permit else {
            self.note(request, id, at_us, Fate::Refused);
            return self.refuse(StatusCode::SERVICE_UNAVAILABLE);
        };
        let run = self.note(request, id, at_us, Fate::Ran);
        sleep(server.work()).await;
        let answer = self.run(request, id, run).await;
        drop(permit);
        answer
    }

    async fn run(&self, request: &Request<Bytes>, id: &str, run: u64) -> Response<Bytes> {
        let server = &self.server;
        let signature = Signature {
            service: server.options.service.to_string(),
            server: server.id.to_string(),
            run,
            request: id.to_owned(),
        };
        let body: Bytes = match request.uri().path().starts_with(QUERIES) {
            true => content::records(id, &signature.service).concat().into(),
            false => content::body(&signature),
        };
        let text = signature.to_string();
        let names = &server.names;
        let headers = [(&names.request, id), (&names.signature, text.as_str())];
        let mut answer = self.answer(StatusCode::OK, &headers);
        *answer.body_mut() = body;
        if let Some(mischief) = self.mischief() {
            self.spoil(mischief, &mut answer).await;
        }
        answer
    }

    fn mischief(&self) -> Option<Mischief> {
        let mut rng = rand::rng();
        let spoilt = rng.random_bool(self.server.options.mischief);
        spoilt.then(|| Mischief::ALL[rng.random_range(..Mischief::ALL.len())])
    }

    async fn spoil(&self, mischief: Mischief, answer: &mut Response<Bytes>) {
        let names = &self.server.names;
        let (request, signature) = (&names.request, &names.signature);
        match mischief {
            Mischief::Foreign => {
                let head = format!("{request}: another\r\n{signature}: s:a:1:another\r\n");
                let foreign = format!("HTTP/1.1 200 OK\r\n{head}content-length: 7\r\n\r\nforeign");
                self.socket.write(foreign.as_bytes());
            }
            Mischief::Truncate => {
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
                self.socket.write(head.as_bytes());
                self.socket.shutdown();
            }
            Mischief::Close => self.socket.shutdown(),
            Mischief::Noise => {
                self.socket.write(b"\x00\xff?? this is no reply\r\n\r\n");
                self.socket.shutdown();
            }
            Mischief::Fail => *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
            Mischief::Unsigned => drop(answer.headers_mut().remove(signature)),
            Mischief::Late => sleep(Mischief::LATE).await,
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
        _ if path.starts_with(QUERIES) || path.starts_with(READS) => (Method::GET, Bytes::new()),
        _ => (Method::POST, content::payload(id)),
    };
    let ends = path.rsplit('/').next() == Some(id);
    !ends || *request.method() != expected.0 || *request.body() != expected.1
}

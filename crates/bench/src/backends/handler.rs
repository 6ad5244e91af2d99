//! The HTTP interface of one backend server.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header::RETRY_AFTER,
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode, //
};
use monoio::time::sleep;
use serde::Serialize;

use super::{
    hits,
    job::Job,
    log::Outcome,
    malformed,
    snapshots::Lookup,
    worker::LocalServer, //
};
use crate::{
    response,
    socket::Socket, //
};

/// Interval at which a frozen server checks whether the fault has ended.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reply body for a snapshot that the server doesn't hold.
#[derive(Debug, Serialize)]
struct SnapshotConflict {
    error: &'static str,
    held: Vec<u64>,
}

/// Answers the requests of one connection.
#[derive(Debug)]
pub struct Handler {
    local: Rc<LocalServer>,
    socket: Socket,
    /// Whether the connection has had no request yet; its first reply is delayed.
    is_new: Cell<bool>,
}

impl Handler {
    /// Makes the handler of the connection on `socket`.
    pub fn new(local: Rc<LocalServer>, socket: Socket) -> Self {
        Self {
            local,
            socket,
            is_new: Cell::new(true),
        }
    }

    async fn delay_reply(&self) {
        if self.is_new.replace(false) {
            sleep(self.local.server.spec.first_reply_delay).await;
        }
        self.wait_while_frozen().await;
    }

    async fn wait_while_frozen(&self) {
        while self.is_frozen() {
            sleep(FREEZE_POLL_INTERVAL).await;
        }
    }

    fn is_frozen(&self) -> bool {
        self.local.server.state().faults.freeze
    }

    async fn query(&self, shard: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let job = Job::query(&self.local, shard, request);
        let snapshot = job.snapshot();
        let lookup = self.local.server.state().snapshots.find(snapshot, shard);
        match lookup {
            Lookup::Found => {}
            Lookup::Elsewhere => {
                job.finish(Outcome::Snapshot);
                return error(StatusCode::NOT_FOUND, "shard");
            }
            Lookup::NotHeld => {
                job.finish(Outcome::Snapshot);
                let held = self.local.server.state().snapshots.numbers();
                let error = "snapshot";
                return response::json(StatusCode::CONFLICT, &SnapshotConflict { error, held });
            }
        }
        let (request_id, attempt) = job.id();
        if let Err(outcome) = job.run().await {
            return refusal(outcome);
        }
        let found = hits::hits(shard, snapshot, &hits::canonical(request.body()));
        let server = &self.local.server.spec.name;
        let mut body = format!(
            "{{\"request\":{},\"attempt\":{attempt},\"shard\":\"{shard}\",\
             \"snapshot\":{snapshot},\"server\":\"{server}\",\"hits\":",
            self.echoed_request(&request_id),
        );
        hits::write(&mut body, &found);
        body.push('}');
        self.send_reply(body).await
    }

    async fn call(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let job = Job::call(&self.local, request);
        let (request_id, attempt) = job.id();
        if let Err(outcome) = job.run().await {
            return refusal(outcome);
        }
        let server = &self.local.server.spec.name;
        let body = format!(
            "{{\"request\":{},\"attempt\":{attempt},\"server\":\"{server}\",\
             \"result\":{{\"ok\":true}}}}",
            self.echoed_request(&request_id),
        );
        self.send_reply(body).await
    }

    fn cancel(&self, path: &str) -> Response<Bytes> {
        let id = path
            .split_once('/')
            .and_then(|(request, attempt)| Some((request.to_owned(), attempt.parse().ok()?)));
        let stop = id.and_then(|id| self.local.running.borrow().get(&id).cloned());
        if let Some(stop) = stop {
            stop.set();
        }
        response::empty(StatusCode::OK)
    }

    /// Returns the request id that the reply repeats, as JSON text; a fault may replace it.
    fn echoed_request(&self, request: &str) -> String {
        let kind = self.local.server.state().faults.garble;
        let echoed = match kind {
            super::fault::MalformedReply::WrongRequest => "00000000-0000-7000-8000-000000000000-0",
            _ => request,
        };
        serde_json::Value::from(echoed).to_string()
    }

    async fn send_reply(&self, body: String) -> Response<Bytes> {
        let (late, kind) = {
            let state = self.local.server.state();
            (state.faults.late, state.faults.garble)
        };
        if late > 0 {
            sleep(Duration::from_millis(late)).await;
        }
        self.wait_while_frozen().await;
        malformed::write(kind, self.socket, &body);
        response::text(StatusCode::OK, body)
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.delay_reply().await;
        let path = request.uri().path();
        match *request.method() {
            Method::POST if path == "/call" => self.call(&request).await,
            Method::POST => match (shard(path), path.strip_prefix("/cancel/")) {
                (Some(shard), _) => self.query(shard, &request).await,
                (_, Some(id)) => self.cancel(id),
                _ => response::empty(StatusCode::NOT_FOUND),
            },
            Method::GET if matches!(path, "/health" | "/load") => {
                let load = self.local.server.state().reported_load();
                response::json(StatusCode::OK, &load)
            }
            _ => response::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn shard(path: &str) -> Option<&str> {
    path.strip_prefix("/shards/")?.strip_suffix("/query")
}

fn refusal(outcome: Outcome) -> Response<Bytes> {
    match outcome {
        Outcome::Shed => {
            let mut response = error(StatusCode::SERVICE_UNAVAILABLE, "shed");
            let headers = response.headers_mut();
            headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
            response
        }
        Outcome::Draining => error(StatusCode::SERVICE_UNAVAILABLE, "draining"),
        Outcome::Deadline => error(StatusCode::GATEWAY_TIMEOUT, "deadline"),
        _ => error(client_closed_request(), "cancelled"),
    }
}

fn client_closed_request() -> StatusCode {
    StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST)
}

fn error(status: StatusCode, name: &str) -> Response<Bytes> {
    response::text(status, format!("{{\"error\":\"{name}\"}}"))
}

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
    garble,
    held::Lookup,
    hits,
    job::Job,
    log::Outcome,
    worker::Local, //
};
use crate::{
    answer,
    socket::Socket, //
};

/// Pause between looks at whether a frozen server thaws.
const THAW: Duration = Duration::from_millis(10);

#[derive(Debug, Serialize)]
struct Stale {
    error: &'static str,
    held: Vec<u64>,
}

/// Answers the requests of one connection.
#[derive(Debug)]
pub struct Handler {
    local: Rc<Local>,
    socket: Socket,
    /// Whether the connection's set-up cost is still to be paid.
    fresh: Cell<bool>,
}

impl Handler {
    /// Makes the handler of the connection on `socket`.
    pub fn new(local: Rc<Local>, socket: Socket) -> Self {
        Self {
            local,
            socket,
            fresh: Cell::new(true),
        }
    }

    async fn settle(&self) {
        if self.fresh.replace(false) {
            sleep(self.local.server.spec.cost).await;
        }
        self.thaw().await;
    }

    async fn thaw(&self) {
        while self.is_frozen() {
            sleep(THAW).await;
        }
    }

    fn is_frozen(&self) -> bool {
        self.local.server.state().faults.freeze
    }

    async fn query(&self, shard: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let job = Job::query(&self.local, shard, request);
        let snapshot = job.snapshot();
        let lookup = self.local.server.state().held.find(snapshot, shard);
        match lookup {
            Lookup::Found => {}
            Lookup::Elsewhere => {
                job.end(Outcome::Snapshot);
                return error(StatusCode::NOT_FOUND, "shard");
            }
            Lookup::NotHeld => {
                job.end(Outcome::Snapshot);
                let held = self.local.server.state().held.numbers();
                let error = "snapshot";
                return answer::json(StatusCode::CONFLICT, &Stale { error, held });
            }
        }
        let (request_id, attempt) = job.name();
        if let Err(outcome) = job.run().await {
            return refusal(outcome);
        }
        let found = hits::hits(shard, snapshot, &hits::canonical(request.body()));
        let server = &self.local.server.spec.name;
        let mut body = format!(
            "{{\"request\":{},\"attempt\":{attempt},\"shard\":\"{shard}\",\
             \"snapshot\":{snapshot},\"server\":\"{server}\",\"hits\":",
            self.shown_request(&request_id),
        );
        hits::write(&mut body, &found);
        body.push('}');
        self.finish(body).await
    }

    async fn call(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let job = Job::call(&self.local, request);
        let (request_id, attempt) = job.name();
        if let Err(outcome) = job.run().await {
            return refusal(outcome);
        }
        let server = &self.local.server.spec.name;
        let body = format!(
            "{{\"request\":{},\"attempt\":{attempt},\"server\":\"{server}\",\
             \"result\":{{\"ok\":true}}}}",
            self.shown_request(&request_id),
        );
        self.finish(body).await
    }

    fn cancel(&self, path: &str) -> Response<Bytes> {
        let work = path
            .split_once('/')
            .and_then(|(request, attempt)| Some((request.to_owned(), attempt.parse().ok()?)));
        let stop = work.and_then(|work| self.local.running.borrow().get(&work).cloned());
        if let Some(stop) = stop {
            stop.set();
        }
        answer::empty(StatusCode::OK)
    }

    /// Returns the request id as the reply shows it, as JSON text.
    fn shown_request(&self, request: &str) -> String {
        let garble = self.local.server.state().faults.garble;
        let shown = match garble {
            super::fault::Garble::WrongRequest => "00000000-0000-7000-8000-000000000000-0",
            _ => request,
        };
        serde_json::Value::from(shown).to_string()
    }

    async fn finish(&self, body: String) -> Response<Bytes> {
        let (late, garble) = {
            let state = self.local.server.state();
            (state.faults.late, state.faults.garble)
        };
        if late > 0 {
            sleep(Duration::from_millis(late)).await;
        }
        self.thaw().await;
        garble::spoil(garble, self.socket, &body);
        answer::text(StatusCode::OK, body)
    }
}

impl web::server::Handler for Handler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.settle().await;
        let path = request.uri().path();
        match *request.method() {
            Method::POST if path == "/call" => self.call(&request).await,
            Method::POST => match (shard(path), path.strip_prefix("/cancel/")) {
                (Some(shard), _) => self.query(shard, &request).await,
                (_, Some(work)) => self.cancel(work),
                _ => answer::empty(StatusCode::NOT_FOUND),
            },
            Method::GET if matches!(path, "/health" | "/load") => {
                let load = self.local.server.state().shown_load();
                answer::json(StatusCode::OK, &load)
            }
            _ => answer::empty(StatusCode::NOT_FOUND),
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
        _ => error(cancelled(), "cancelled"),
    }
}

fn cancelled() -> StatusCode {
    StatusCode::from_u16(499).unwrap_or(StatusCode::BAD_REQUEST)
}

fn error(status: StatusCode, name: &str) -> Response<Bytes> {
    answer::text(status, format!("{{\"error\":\"{name}\"}}"))
}

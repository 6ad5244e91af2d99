//! Callers, each of which sends one request after the other and reuses its connection while it stays open.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    header::HOST,
    Method, //
};
use monoio::time::{
    sleep,
    timeout, //
};
use rand::Rng;
use web::{
    client::{
        self,
        Connection, //
    },
    Limits,
};

use super::{
    answer,
    check::Promise,
    harness::Harness, //
    history::{
        Kind,
        Outcome,
        Request, //
    },
    topology,
};
use crate::{
    backends::now_us,
    servers::content, //
};

/// Longest pause of a caller between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// Pause of a caller that couldn't open a connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Share of the requests that the caller may abandon before it receives an answer.
const ABANDON_RATIO: f64 = 0.03;
/// Longest time after which a caller abandons such a request, in milliseconds.
const MAX_PATIENCE_MS: u64 = 12;
/// Share of the requests after which a caller reconnects to an instance drawn at random.
const SWITCH_RATIO: f64 = 0.02;
/// Time beyond the deadline for which a caller waits: longer than the tolerance for late answers, so that the
/// check sees answers that exceed it.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(2_500);
/// Deadline that a caller sends with each request.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// A caller, which has one request in flight at a time.
#[derive(Debug)]
pub struct Caller {
    /// Number, which is part of its request ids.
    pub number: usize,
    /// Requests sent so far, those included for which no connection could be opened.
    pub sent_count: Cell<u64>,
}

impl Caller {
    /// Sends requests until the run stops.
    pub async fn run(self, harness: Rc<Harness>) {
        let mut relay = self.number % harness.topology.relays.len();
        let mut connection = None;
        while !harness.stopped.get() {
            connection = self.send(&harness, relay, connection).await;
            let switches = rand::rng().random_bool(SWITCH_RATIO);
            if connection.is_none() || switches {
                relay = rand::rng().random_range(..harness.topology.relays.len());
                connection = connection.filter(|_| !switches);
            }
            let pause = Duration::from_millis(rand::rng().random_range(0..MAX_PAUSE_MS));
            sleep(pause).await;
        }
    }

    /// Sends one request on `connection`, or on a new one if it is closed. Returns the connection if it can be
    /// reused.
    async fn send(
        &self,
        harness: &Harness,
        relay: usize,
        connection: Option<Connection>,
    ) -> Option<Connection> {
        let kind = Kind::ALL[rand::rng().random_range(..Kind::ALL.len())];
        let number = self.sent_count.get();
        self.sent_count.set(number + 1);
        let id: Arc<str> = format!("c{}-{number}", self.number).into();
        let opened = match connection {
            Some(connection) if !connection.is_stale() => Ok(connection),
            _ => {
                Connection::open(
                    harness.topology.relays[relay].callers_link,
                    Limits::default(),
                )
                .await
            }
        };
        let Ok(connection) = opened else {
            sleep(RECONNECT_PAUSE).await;
            return None;
        };
        let sent_us = now_us();
        let request = Request {
            kind,
            relay,
            start_number: harness.relays[relay].start_number(),
            sent_us,
            ended_us: sent_us,
            outcome: Outcome::Pending,
        };
        harness
            .history
            .borrow_mut()
            .requests
            .insert(id.clone(), request);
        let (outcome, connection) = exchange(harness, kind, &id, connection).await;
        let mut history = harness.history.borrow_mut();
        if let Some(request) = history.requests.get_mut(&id) {
            request.ended_us = now_us();
            request.outcome = outcome;
        }
        connection
    }
}

fn build_request(harness: &Harness, kind: Kind, id: &str) -> http::Request<Bytes> {
    let (method, body) = match kind {
        Kind::Write => (Method::POST, content::request_body(id)),
        _ => (Method::GET, Bytes::new()),
    };
    let request = http::Request::builder()
        .method(method)
        .uri(format!("{}{id}", kind.prefix()))
        .header(HOST, topology::HOST)
        .header(&harness.header_names.request, id)
        .header(&harness.header_names.deadline, DEADLINE.as_millis() as u64);
    request
        .body(body)
        .expect("the path and the headers are plain text")
}

async fn exchange(
    harness: &Harness,
    kind: Kind,
    id: &str,
    connection: Connection,
) -> (Outcome, Option<Connection>) {
    let request = build_request(harness, kind, id);
    let exchange = connection.exchange(request, DEADLINE + TIMEOUT_MARGIN);
    let exchange = match rand::rng().random_bool(ABANDON_RATIO) {
        true => {
            let patience = Duration::from_millis(rand::rng().random_range(1..MAX_PATIENCE_MS));
            match timeout(patience, exchange).await {
                Ok(exchange) => exchange,
                Err(_) => return (Outcome::Abandoned, None),
            }
        }
        false => exchange.await,
    };
    match exchange {
        Ok(exchange) => (
            check_answer(harness, kind, id, &exchange.response),
            exchange.connection,
        ),
        Err(failure) => {
            let outcome = match failure.kind {
                client::FailureKind::Timeout => Outcome::Unanswered,
                client::FailureKind::Malformed => Outcome::Malformed,
                _ => Outcome::Cut,
            };
            (outcome, None)
        }
    }
}

fn check_answer(
    harness: &Harness,
    kind: Kind,
    id: &str,
    answer: &http::Response<Bytes>,
) -> Outcome {
    let checked = {
        let history = harness.history.borrow();
        answer::check(&harness.header_names, kind, id, answer, &history.versions)
    };
    let services = checked.unwrap_or_else(|detail| {
        harness.add_violation(Promise::Whole, format!("{id}: {detail}"));
        Vec::new()
    });
    Outcome::Answer {
        status: answer.status().as_u16(),
        services,
    }
}

/// Spawns `count` callers.
pub fn start(harness: &Rc<Harness>, count: usize) {
    for number in 0..count {
        let caller = Caller {
            number,
            sent_count: Cell::new(0),
        };
        monoio::spawn(caller.run(harness.clone()));
    }
}

//! Callers that keep their connections until these end.

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
    history::{
        Kind,
        Outcome,
        Request, //
    },
    site,
    world::World, //
};
use crate::{
    backends::now_us,
    servers::content, //
};

/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 60;
/// Pause of a caller that had no connection.
const UNOPENED_PAUSE: Duration = Duration::from_millis(100);
/// Share of the requests whose caller leaves before it could have an answer.
const LEAVE: f64 = 0.03;
/// Longest time after which such a caller leaves, in milliseconds.
const LEAVE_MS: u64 = 12;
/// Share of the requests after which a caller goes to another instance.
const MOVE: f64 = 0.02;
/// Time that a caller waits, over the longest time that a route keeps it waiting: longer than an answer may
/// be late, so that a late one is seen.
const WAIT_EXTRA: Duration = Duration::from_millis(2_500);
/// Longest deadline that a caller tells.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// One caller, which asks one thing after the other.
#[derive(Debug)]
pub struct Caller {
    /// Number, which its requests are named after.
    pub number: usize,
    /// Requests until now.
    pub asked: Cell<u64>,
}

impl Caller {
    /// Asks until the run stops.
    pub async fn run(self, world: Rc<World>) {
        let mut relay = self.number % world.site.relays.len();
        let mut connection = None;
        while !world.stopped.get() {
            connection = self.ask(&world, relay, connection).await;
            let moves = rand::rng().random_bool(MOVE);
            if connection.is_none() || moves {
                relay = rand::rng().random_range(..world.site.relays.len());
                connection = connection.filter(|_| !moves);
            }
            let pause = Duration::from_millis(rand::rng().random_range(0..PAUSE_MS));
            sleep(pause).await;
        }
    }

    /// Sends one request, on the connection that is left or on a new one. Returns what is left.
    async fn ask(
        &self,
        world: &World,
        relay: usize,
        connection: Option<Connection>,
    ) -> Option<Connection> {
        let kind = Kind::ALL[rand::rng().random_range(..Kind::ALL.len())];
        let number = self.asked.get();
        self.asked.set(number + 1);
        let id: Arc<str> = format!("c{}-{number}", self.number).into();
        let open = match connection {
            Some(connection) if !connection.is_stale() => Ok(connection),
            _ => Connection::open(world.site.relays[relay].callers_link, Limits::default()).await,
        };
        let Ok(connection) = open else {
            sleep(UNOPENED_PAUSE).await;
            return None;
        };
        let sent_us = now_us();
        let request = Request {
            kind,
            relay,
            start: world.relays[relay].start_number(),
            sent_us,
            ended_us: sent_us,
            outcome: Outcome::Pending,
        };
        world
            .history
            .borrow_mut()
            .requests
            .insert(id.clone(), request);
        let (outcome, connection) = exchange(world, kind, &id, connection).await;
        let mut history = world.history.borrow_mut();
        if let Some(request) = history.requests.get_mut(&id) {
            request.ended_us = now_us();
            request.outcome = outcome;
        }
        connection
    }
}

fn message(world: &World, kind: Kind, id: &str) -> http::Request<Bytes> {
    let (method, body) = match kind {
        Kind::Write => (Method::POST, content::payload(id)),
        _ => (Method::GET, Bytes::new()),
    };
    let request = http::Request::builder()
        .method(method)
        .uri(format!("{}{id}", kind.prefix()))
        .header(HOST, site::HOST)
        .header(&world.names.request, id)
        .header(&world.names.deadline, DEADLINE.as_millis() as u64);
    request
        .body(body)
        .expect("the path and the headers are plain text")
}

async fn exchange(
    world: &World,
    kind: Kind,
    id: &str,
    connection: Connection,
) -> (Outcome, Option<Connection>) {
    let request = message(world, kind, id);
    let exchange = connection.exchange(request, DEADLINE + WAIT_EXTRA);
    let exchange = match rand::rng().random_bool(LEAVE) {
        true => {
            let patience = Duration::from_millis(rand::rng().random_range(1..LEAVE_MS));
            match timeout(patience, exchange).await {
                Ok(exchange) => exchange,
                Err(_) => return (Outcome::Left, None),
            }
        }
        false => exchange.await,
    };
    match exchange {
        Ok(exchange) => (
            judge(world, kind, id, &exchange.response),
            exchange.connection,
        ),
        Err(failure) => {
            let outcome = match failure.kind {
                client::FailureKind::Timeout => Outcome::Unanswered,
                client::FailureKind::Malformed => Outcome::Noise,
                _ => Outcome::Cut,
            };
            (outcome, None)
        }
    }
}

fn judge(world: &World, kind: Kind, id: &str, answer: &http::Response<Bytes>) -> Outcome {
    let checked = {
        let history = world.history.borrow();
        answer::check(&world.names, kind, id, answer, &history.versions)
    };
    let services = checked.unwrap_or_else(|detail| {
        world.broken(Promise::Whole, format!("{id}: {detail}"));
        Vec::new()
    });
    Outcome::Answer {
        status: answer.status().as_u16(),
        services,
    }
}

/// Starts so many callers.
pub fn start(world: &Rc<World>, count: usize) {
    for number in 0..count {
        let caller = Caller {
            number,
            asked: Cell::new(0),
        };
        monoio::spawn(caller.run(world.clone()));
    }
}

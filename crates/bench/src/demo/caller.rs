//! A small open-loop caller.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::{
    Request,
    StatusCode, //
};
use monoio::time::{
    sleep_until,
    Instant, //
};
use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use serde::Deserialize;
use uuid::Uuid;
use web::{
    client::Connection,
    Limits, //
};

use super::{
    cluster::Cluster,
    Options, //
};

/// Time that a caller waits for an answer.
const WAIT: Duration = Duration::from_secs(15);
/// Share of the requests that go to the first group, to the second, and as calls with a key.
const SHARES: [f64; 3] = [0.6, 0.2, 0.1];
/// Significant digits of the latency histogram.
const DIGITS: u8 = 3;

/// What the callers saw.
#[derive(Debug)]
pub struct Tally {
    /// Latencies of the answers, from the intended arrival, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests made.
    pub requests: u64,
    /// Answers with status 200.
    pub answered: u64,
    /// Refusals, by a problem document.
    pub refused: u64,
    /// Requests that got no answer.
    pub lost: u64,
    /// Parts that the answered requests needed.
    pub needed: u64,
    /// Parts that the answers covered.
    pub covered: u64,
}

#[derive(Debug, Deserialize)]
struct Answer {
    coverage: Option<Coverage>,
}

#[derive(Debug, Deserialize)]
struct Coverage {
    shards: u64,
    answered: u64,
}

struct Caller {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    tally: RefCell<Tally>,
}

/// Calls at the rate of the options for their time.
pub async fn run(cluster: &Cluster, options: &Options) -> Tally {
    let caller = Rc::new(Caller {
        address: cluster.layout.balancer,
        idle: RefCell::default(),
        tally: RefCell::new(Tally::new()),
    });
    let mut random = StdRng::seed_from_u64(options.seed);
    let start = Instant::now();
    let mut at = 0.0;
    let mut calls = Vec::new();
    while at < options.seconds as f64 {
        let due = start + Duration::from_secs_f64(at);
        sleep_until(due).await;
        let caller = caller.clone();
        let request = request(&mut random, options);
        calls.push(monoio::spawn(
            async move { caller.call(request, due).await },
        ));
        at += -(1.0 - random.random::<f64>()).ln() / options.rate;
    }
    join_all(calls).await;
    caller.tally.replace(Tally::new())
}

fn request(random: &mut StdRng, options: &Options) -> Request<Bytes> {
    let [(first, _), (second, _)] = options.user.groups();
    let [(third, ..), (fourth, ..)] = options.user.singles();
    let pick = random.random::<f64>();
    let body = format!("{{\"query\":{{\"q\":{}}}}}", random.random::<u32>());
    let request = match () {
        () if pick < SHARES[0] => Request::post(format!("/v1/{first}/query")),
        () if pick < SHARES[0] + SHARES[1] => Request::post(format!("/v1/{second}/query")),
        () if pick < SHARES.iter().sum() => Request::post(format!("/v1/{third}/call"))
            .header("idempotency-key", Uuid::now_v7().to_string()),
        () => Request::post(format!("/v1/{fourth}/call")),
    };
    request
        .header("content-type", "application/json")
        .body(Bytes::from(body))
        .expect("the request is well formed")
}

impl Caller {
    async fn call(&self, request: Request<Bytes>, due: Instant) {
        self.tally.borrow_mut().requests += 1;
        let Ok(connection) = self.connection().await else {
            self.tally.borrow_mut().lost += 1;
            return;
        };
        let Ok(exchange) = connection.exchange(request, WAIT).await else {
            self.tally.borrow_mut().lost += 1;
            return;
        };
        self.idle.borrow_mut().extend(exchange.connection);
        let response = exchange.response;
        let mut tally = self.tally.borrow_mut();
        if response.status() != StatusCode::OK {
            tally.refused += 1;
            return;
        }
        tally.answered += 1;
        let elapsed = due.elapsed().as_micros() as u64;
        tally.latency.saturating_record(elapsed);
        let answer = serde_json::from_slice::<Answer>(response.body());
        let coverage = answer.ok().and_then(|answer| answer.coverage);
        tally.needed += coverage.as_ref().map_or(1, |coverage| coverage.shards);
        tally.covered += coverage.map_or(1, |coverage| coverage.answered);
    }

    async fn connection(&self) -> Result<Connection, web::client::Failure> {
        while let Some(connection) = self.take_idle() {
            if !connection.is_stale() {
                return Ok(connection);
            }
        }
        let limits = Limits {
            body: 32 * 1024 * 1024,
            ..Limits::default()
        };
        Connection::open(self.address, limits).await
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }
}

impl Tally {
    fn new() -> Self {
        Self {
            latency: Histogram::new(DIGITS).expect("the precision is valid"),
            requests: 0,
            answered: 0,
            refused: 0,
            lost: 0,
            needed: 0,
            covered: 0,
        }
    }
}

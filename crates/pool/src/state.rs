//! The dump of a pool.

use std::time::{
    Duration,
    Instant, //
};

use backend::Dial;
use serde::Serialize;

use crate::{
    counters::Counters,
    server::{
        Server,
        Standing, //
    },
    service::Service,
};

/// Services that the dump lists.
pub(crate) const SERVICES_MAX: usize = 200;
/// Servers that the dump lists for each service.
const SERVERS_MAX: usize = 16;

#[derive(Debug, Serialize)]
pub(crate) struct Dump<'a> {
    pub(crate) zone: &'a str,
    pub(crate) stopping: bool,
    pub(crate) in_flight: usize,
    pub(crate) hedge_tokens: f64,
    pub(crate) counters: Counters,
    pub(crate) services_total: usize,
    pub(crate) services: Vec<One>,
}

#[derive(Debug, Serialize)]
pub(crate) struct One {
    name: String,
    owned: bool,
    queued: usize,
    samples: u64,
    median_ms: f64,
    hedge_after_ms: Option<f64>,
    retry_tokens: f64,
    servers_total: usize,
    servers: Vec<Replica>,
}

#[derive(Debug, Serialize)]
struct Replica {
    name: String,
    standing: &'static str,
    connections: usize,
    opening: usize,
    idle: usize,
    connections_max: usize,
    in_flight: usize,
    usable: usize,
    slots: usize,
    mean_ms: f64,
    warmth: f64,
    failures: u32,
    rests_ms: f64,
}

fn ms(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).round() / 1e3
}

impl One {
    pub(crate) fn new<D: Dial>(service: &Service<D>, now: Instant) -> Self {
        let usual = service.usual();
        // A guard taken inside the literal below would live until the literal ends.
        let samples = service.latency.borrow().samples();
        let servers = service.servers.borrow();
        Self {
            name: service.name.to_string(),
            owned: service.owned.get(),
            queued: service.queue.borrow().len(),
            samples,
            median_ms: ms(usual),
            hedge_after_ms: service.hedge_wait().map(ms),
            retry_tokens: service.retries.borrow().tokens(),
            servers_total: servers.len(),
            servers: servers
                .iter()
                .take(SERVERS_MAX)
                .map(|server| Replica::new(server, now, usual))
                .collect(),
        }
    }
}

impl Replica {
    fn new(server: &Server, now: Instant, usual: Duration) -> Self {
        let usable = server.usable(now);
        let rests = server.rest(now);
        let inner = server.inner.borrow();
        let usual_us = usual.as_secs_f64() * 1e6;
        Self {
            name: server.name().to_string(),
            standing: match inner.standing {
                Standing::Serving => "serving",
                Standing::Leaving => "leaving",
                Standing::Gone => "gone",
            },
            connections: inner.connections - inner.opening,
            opening: inner.opening,
            idle: inner.idle.len(),
            connections_max: inner.share.connections,
            in_flight: inner.in_flight,
            usable,
            slots: inner.share.slots,
            mean_ms: inner.mean.get(now, usual_us).round() / 1e3,
            warmth: inner.ramp.warmth(now),
            failures: inner.failures,
            rests_ms: ms(rests),
        }
    }
}

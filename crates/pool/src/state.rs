//! State dump of a pool, for operators.

use std::time::{
    Duration,
    Instant, //
};

use backend::Dial;
use serde::Serialize;

use crate::{
    counters::Counters,
    server::{
        Lifecycle,
        Server, //
    },
    service::Service,
};

/// Maximum number of services that the dump lists.
pub(crate) const MAX_SERVICES: usize = 200;
/// Maximum number of servers that the dump lists for each service.
const MAX_SERVERS: usize = 16;

#[derive(Debug, Serialize)]
pub(crate) struct Dump<'a> {
    pub(crate) zone: &'a str,
    pub(crate) stopping: bool,
    pub(crate) in_flight: usize,
    pub(crate) hedge_tokens: f64,
    pub(crate) counters: Counters,
    pub(crate) services_total: usize,
    pub(crate) services: Vec<ServiceState>,
}

#[derive(Debug, Serialize)]
pub(crate) struct ServiceState {
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

impl ServiceState {
    pub(crate) fn new<D: Dial>(service: &Service<D>, now: Instant) -> Self {
        let median = service.median();
        // A guard borrowed inside the literal below would live until its end, but `hedge_delay`
        // borrows `latency` mutably there.
        let samples = service.latency.borrow().samples();
        let servers = service.servers.borrow();
        Self {
            name: service.name.to_string(),
            owned: service.owned.get(),
            queued: service.queue.borrow().len(),
            samples,
            median_ms: ms(median),
            hedge_after_ms: service.hedge_delay().map(ms),
            retry_tokens: service.retry_budget.borrow().tokens(),
            servers_total: servers.len(),
            servers: servers
                .iter()
                .take(MAX_SERVERS)
                .map(|server| Replica::new(server, now, median))
                .collect(),
        }
    }
}

impl Replica {
    fn new(server: &Server, now: Instant, median: Duration) -> Self {
        let usable = server.usable(now);
        let backoff = server.backoff_left(now);
        let inner = server.inner.borrow();
        let median_us = median.as_secs_f64() * 1e6;
        Self {
            name: server.name().to_string(),
            standing: match inner.lifecycle {
                Lifecycle::Serving => "serving",
                Lifecycle::Draining => "leaving",
                Lifecycle::Removed => "gone",
            },
            connections: inner.connections - inner.opening,
            opening: inner.opening,
            idle: inner.idle.len(),
            connections_max: inner.share.max_connections,
            in_flight: inner.in_flight,
            usable,
            slots: inner.share.slots,
            mean_ms: inner.mean.get(now, median_us).round() / 1e3,
            warmth: inner.concurrency.slow_start_share(now),
            failures: inner.failures,
            rests_ms: ms(backoff),
        }
    }
}

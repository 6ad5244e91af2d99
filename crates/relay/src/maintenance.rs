//! Periodic maintenance of servers: connections opened ahead of work, and health checks.

use std::{
    collections::HashSet,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http::Request;
use monoio::time::sleep;
use route::Table;
use tracing::info;

use crate::{
    relay::Relay,
    server::{
        Server,
        Standing, //
    },
};

/// Interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two health checks of an ejected server.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of a health check, which waits for a slot like any request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Runs the maintenance until the process ends.
pub async fn run(relay: Rc<Relay>) {
    let checking: Rc<std::cell::RefCell<HashSet<Arc<str>>>> = Rc::default();
    loop {
        let now = Instant::now();
        relay.registry().sweep(now);
        let table = relay.table();
        // Probes tell when the links are back.
        if let Some(table) = table.filter(|_| !relay.registry().links().are_lost()) {
            if relay.registry().knows_instances() {
                preconnect(&relay, &table);
            }
            for server in relay.registry().servers() {
                let needs_check = server.is_ejected(now) && may_check(&server, now);
                if needs_check && checking.borrow_mut().insert(server.id().clone()) {
                    let (relay, table, checking) = (relay.clone(), table.clone(), checking.clone());
                    monoio::spawn(async move {
                        check_health(&relay, &table, &server).await;
                        sleep(CHECK_INTERVAL).await;
                        checking.borrow_mut().remove(server.id());
                    });
                }
            }
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// Opens a connection to each ready server that a route may use and that has none.
fn preconnect(relay: &Relay, table: &Table) {
    let routes = table.routes();
    let routed: HashSet<&Arc<str>> = routes.flat_map(|route| route.services()).collect();
    let now = Instant::now();
    let gathers = relay.registry().gathers_queries();
    for server in relay.registry().servers() {
        let service = &server.description().service;
        let sends_to_service = gathers || !relay.registry().is_shard(service);
        let is_routed_to = sends_to_service && routed.contains(service);
        let is_ready = server.standing() == Standing::Ready && server.is_available(now);
        if is_routed_to && is_ready && server.open() == 0 {
            server.preconnect();
        }
    }
}

/// Returns whether a health check may be sent: not to a server that is gone or leaving, or wants no requests.
fn may_check(server: &Server, now: Instant) -> bool {
    let is_listed = !matches!(server.standing(), Standing::LastResort(_));
    is_listed && !server.is_misplaced() && server.pause_left(now).is_none()
}

async fn check_health(relay: &Relay, table: &Table, server: &Rc<Server>) {
    let service = &server.description().service;
    let Some(path) = table.service(service).map(|service| &service.health_path) else {
        return;
    };
    let Ok(request) = Request::get(&**path).body(Bytes::new()) else {
        return;
    };
    relay.meter().checks.add(1);
    let limits = web::Limits {
        connect_timeout: CHECK_TIMEOUT,
        ..web::Limits::default()
    };
    let connection = match web::client::Connection::open(server.address(), limits).await {
        Ok(connection) => connection,
        Err(error) => {
            info!(server = %server.id(), %service, %error, "maintenance: health check failed.");
            return;
        }
    };
    let sent_at = Instant::now();
    server.record_sent(sent_at);
    match connection.exchange(request, CHECK_TIMEOUT).await {
        Ok(exchange) => {
            let id = exchange.response.headers().get(&relay.names().server);
            let is_it = id.is_none_or(|id| id.as_bytes() == server.id().as_bytes());
            let status = exchange.response.status();
            if is_it {
                server.record_notices(status, exchange.response.headers(), sent_at, Instant::now());
            }
            info!(server = %server.id(), %service, %status, is_it, "maintenance: health checked.");
            match is_it {
                false => server.mark_misplaced(),
                true if status.is_success() => server.record_passed_check(Instant::now()),
                true => {}
            }
        }
        Err(error) => {
            info!(server = %server.id(), %service, %error, "maintenance: health check failed.");
        }
    }
}

//! What is done for servers beside requests: connections ahead of work, and health checks.

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

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(250);
/// Time between two health checks of a server that is out.
const CHECK_EVERY: Duration = Duration::from_millis(1_000);
/// Longest time that a health check may take: it waits for a slot like any request.
const CHECK_TIME: Duration = Duration::from_millis(800);

/// Looks after the servers for as long as the process runs.
pub async fn run(relay: Rc<Relay>) {
    let checking: Rc<std::cell::RefCell<HashSet<Arc<str>>>> = Rc::default();
    loop {
        let now = Instant::now();
        relay.registry().sweep(now);
        if let Some(table) = relay.table() {
            if relay.registry().knows_instances() {
                warm_up(&relay, &table);
            }
            for server in relay.registry().servers() {
                let is_due = server.is_out(now) && !server.is_misplaced();
                if is_due && checking.borrow_mut().insert(server.id().clone()) {
                    let (relay, table, checking) = (relay.clone(), table.clone(), checking.clone());
                    monoio::spawn(async move {
                        check(&relay, &table, &server).await;
                        sleep(CHECK_EVERY).await;
                        checking.borrow_mut().remove(server.id());
                    });
                }
            }
        }
        sleep(ROUND).await;
    }
}

/// Opens a connection to each server that a route may choose and that has none.
fn warm_up(relay: &Relay, table: &Table) {
    let routes = table.routes();
    let named: HashSet<&Arc<str>> = routes.flat_map(|route| route.services()).collect();
    let now = Instant::now();
    let gathers = relay.registry().gathers();
    for server in relay.registry().servers() {
        let service = &server.description().service;
        let is_own = gathers || !relay.registry().is_gathered(service);
        let is_named = is_own && named.contains(service);
        let is_ready = server.standing() == Standing::Ready && server.is_usual(now);
        if is_named && is_ready && server.open() == 0 {
            server.warm_up();
        }
    }
}

async fn check(relay: &Relay, table: &Table, server: &Rc<Server>) {
    let service = &server.description().service;
    let Some(path) = table.service(service).map(|service| &service.health_path) else {
        return;
    };
    let Ok(request) = Request::get(&**path).body(Bytes::new()) else {
        return;
    };
    relay.meter().checks.add(1);
    let limits = web::Limits {
        connect: CHECK_TIME,
        ..web::Limits::default()
    };
    let connection = match web::client::Connection::open(server.address(), limits).await {
        Ok(connection) => connection,
        Err(error) => {
            info!(server = %server.id(), %service, %error, "upkeep: health check failed.");
            return;
        }
    };
    match connection.exchange(request, CHECK_TIME).await {
        Ok(exchange) => {
            let id = exchange.response.headers().get(&relay.names().server);
            let is_it = id.is_none_or(|id| id.as_bytes() == server.id().as_bytes());
            let status = exchange.response.status();
            info!(server = %server.id(), %service, %status, is_it, "upkeep: health checked.");
            match is_it {
                false => server.set_misplaced(),
                true if status.is_success() => server.checked(Instant::now()),
                true => {}
            }
        }
        Err(error) => {
            info!(server = %server.id(), %service, %error, "upkeep: health check failed.");
        }
    }
}

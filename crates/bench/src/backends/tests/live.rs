//! Tests of the backend servers over HTTP, in one process.

use std::{
    io::Read,
    net::TcpStream,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::future::{
    join,
    join_all, //
};
use http::{
    Request,
    Response,
    StatusCode, //
};
use monoio::time::sleep;
use web::{
    client::Connection,
    Limits, //
};

use super::super::{
    server::Server,
    start,
    FaultChange,
    Options,
    Outcome,
    Shared, //
};
use crate::trace::profile::User;

/// Timeout of an exchange and of a whole test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a server's gauges are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Factor on the service time that makes work last longer than any test.
const ENDLESS_FACTOR: f64 = 1e6;

fn start_servers(port_base: u16) -> Arc<Shared> {
    let options = Options {
        user: User::Kestrel,
        listen: "127.0.0.1".parse().expect("an address"),
        port_base,
        control: "127.0.0.1:0".parse().expect("an address"),
        seed: 1,
        slow_share: 0.0,
        slow_factor: 1.0,
        threads: 1,
    };
    start(&options).expect("the servers start")
}

fn query(request: &str, snapshot: u64, deadline_ms: u64) -> Request<Bytes> {
    Request::post("/shards/deskline-00/query")
        .header("x-request-id", request)
        .header("x-attempt", "1")
        .header("x-snapshot", snapshot)
        .header("x-deadline-ms", deadline_ms)
        .body(Bytes::from_static(b"{\"query\":\"x\"}"))
        .expect("a request")
}

fn cancel(request: &str) -> Request<Bytes> {
    Request::post(format!("/cancel/{request}/1"))
        .body(Bytes::new())
        .expect("a request")
}

async fn send(server: &Server, request: Request<Bytes>) -> Response<Bytes> {
    let connection = Connection::open(server.address, Limits::default()).await;
    let connection = connection.expect("a connection");
    let exchange = connection.exchange(request, TIMEOUT).await;
    exchange.expect("a reply").response
}

async fn wait_for_gauges(server: &Server, busy: usize, queued: usize) {
    while gauges(server) != (busy, queued) {
        sleep(POLL_INTERVAL).await;
    }
}

fn gauges(server: &Server) -> (usize, usize) {
    let state = server.state();
    (state.status.busy, state.status.queued)
}

fn make_slow(server: &Server) {
    server.apply(&FaultChange {
        slow_factor: Some(ENDLESS_FACTOR),
        ..FaultChange::default()
    });
}

fn outcomes(shared: &Shared) -> Vec<(String, Outcome, bool)> {
    let records = shared.log().after(0, usize::MAX);
    let mut outcomes: Vec<_> = records
        .iter()
        .map(|record| {
            (
                record.request.clone(),
                record.outcome,
                record.started_us.is_some(),
            )
        })
        .collect();
    outcomes.sort_by(|a, b| a.0.cmp(&b.0));
    outcomes
}

fn run(test: impl std::future::Future<Output = ()>) {
    // A wait that never ends must not block the test run.
    let ended = crate::runtime::run(async { monoio::time::timeout(TIMEOUT, test).await });
    ended.expect("a runtime").expect("the test ends in time");
}

#[test]
fn replies_state_request_attempt_shard_snapshot_and_server() {
    run(async {
        let shared = start_servers(23_000);
        let reply = send(&shared.servers[0], query("r-0", 1, 10_000)).await;
        let value: serde_json::Value = serde_json::from_slice(reply.body()).expect("JSON");
        insta::assert_json_snapshot!(value);
    });
}

#[test]
fn a_snapshot_or_shard_that_the_server_lacks_is_refused() {
    run(async {
        let shared = start_servers(23_200);
        let snapshot = send(&shared.servers[0], query("a", 9, 10_000)).await;
        let shard = send(&shared.servers[1], query("b", 1, 10_000)).await;
        let other = send(&shared.servers[2], query("c", 1, 10_000)).await;
        let bodies =
            [snapshot, shard, other].map(|reply| (reply.status().as_u16(), reply.into_body()));
        assert_eq!(bodies[0].0, 409);
        assert_eq!(bodies[0].1, r#"{"error":"snapshot","held":[1]}"#);
        assert_eq!(bodies[1].0, 200);
        assert_eq!(bodies[2].0, 404);
    });
}

#[test]
fn cancellation_ends_queued_and_running_work() {
    run(async {
        let shared = start_servers(23_400);
        let server = &shared.servers[0];
        make_slow(server);
        let running = join_all(["a", "b"].map(|name| send(server, query(name, 1, 60_000))));
        let queued = async {
            wait_for_gauges(server, 2, 0).await;
            send(server, query("c", 1, 60_000)).await
        };
        let cancels = async {
            wait_for_gauges(server, 2, 1).await;
            for name in ["c", "b", "a"] {
                send(server, cancel(name)).await;
            }
        };
        let (mut replies, last, ()) = futures_util::join!(running, queued, cancels);
        replies.push(last);
        assert!(replies.iter().all(|reply| reply.status().as_u16() == 499));
        wait_for_gauges(server, 0, 0).await;
        let cancelled = |name: &str, started| (name.to_owned(), Outcome::Cancelled, started);
        let expected = [
            cancelled("a", true),
            cancelled("b", true),
            cancelled("c", false),
        ];
        assert_eq!(outcomes(&shared), expected);
    });
}

#[test]
fn a_request_whose_deadline_passes_in_the_queue_does_not_run() {
    run(async {
        let shared = start_servers(23_600);
        let server = &shared.servers[0];
        make_slow(server);
        let running = join_all(["a", "b"].map(|name| send(server, query(name, 1, 60_000))));
        let late = async {
            wait_for_gauges(server, 2, 0).await;
            let reply = send(server, query("c", 1, 20)).await;
            send(server, cancel("a")).await;
            send(server, cancel("b")).await;
            reply
        };
        let (_, late) = join(running, late).await;
        assert_eq!(late.status(), StatusCode::GATEWAY_TIMEOUT);
        let last = outcomes(&shared).pop();
        assert_eq!(last, Some(("c".into(), Outcome::Deadline, false)));
    });
}

#[test]
fn a_full_queue_sheds() {
    run(async {
        let shared = start_servers(23_800);
        let server = &shared.servers[0];
        make_slow(server);
        let names: Vec<_> = (0..18).map(|index| format!("r{index}")).collect();
        let held = join_all(
            names
                .iter()
                .map(|name| send(server, query(name, 1, 60_000))),
        );
        let shed = async {
            wait_for_gauges(server, 2, 16).await;
            let reply = send(server, query("shed", 1, 60_000)).await;
            for name in &names {
                send(server, cancel(name)).await;
            }
            reply
        };
        let (_, shed) = join(held, shed).await;
        assert_eq!(shed.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(shed.headers().contains_key("retry-after"));
    });
}

#[test]
fn a_connection_over_the_limit_is_closed_immediately() {
    run(async {
        let shared = start_servers(24_000);
        let server = &shared.servers[0];
        let mut held = Vec::new();
        for open in 1..=server.spec.connections {
            held.push(TcpStream::connect(server.address).expect("a connection"));
            while server.state().status.connections_open < open {
                sleep(POLL_INTERVAL).await;
            }
        }
        let mut over = TcpStream::connect(server.address).expect("a connection");
        assert!(matches!(over.read(&mut [0]), Ok(0) | Err(_)));
        let status = server.state().status.clone();
        assert_eq!(
            (status.connections_peak, status.connections_refused),
            (25, 1)
        );
    });
}

#[test]
fn an_outage_breaks_running_work_and_the_server_restarts_warming_up() {
    run(async {
        let shared = start_servers(24_200);
        let server = &shared.servers[0];
        make_slow(server);
        let connection = Connection::open(server.address, Limits::default()).await;
        let connection = connection.expect("a connection");
        let pending = connection.exchange(query("a", 1, 60_000), TIMEOUT);
        let down = async {
            wait_for_gauges(server, 1, 0).await;
            server.apply(&FaultChange {
                down: Some(true),
                ..FaultChange::default()
            });
        };
        let (reply, ()) = join(pending, down).await;
        assert!(reply.is_err(), "the connection is closed");
        wait_for_gauges(server, 0, 0).await;
        assert_eq!(outcomes(&shared), [("a".into(), Outcome::Broken, true)]);
        server.apply(&FaultChange {
            clear: true,
            ..FaultChange::default()
        });
        assert!(server.state().faults.warmup_requests > 0);
        while Connection::open(server.address, Limits::default())
            .await
            .is_err()
        {
            sleep(POLL_INTERVAL).await;
        }
    });
}

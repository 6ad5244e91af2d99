//! The backend servers over HTTP, in this process.

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
    Change,
    Options,
    Outcome,
    Site, //
};
use crate::trace::profile::User;

/// Time that an exchange may take.
const WAIT: Duration = Duration::from_secs(20);
/// Pause between two looks at a server's gauges.
const LOOK: Duration = Duration::from_millis(2);
/// Factor that makes work last longer than any test.
const ENDLESS: f64 = 1e6;

fn site(port_base: u16) -> Arc<Site> {
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

async fn ask(server: &Server, request: Request<Bytes>) -> Response<Bytes> {
    let connection = Connection::open(server.address, Limits::default()).await;
    let connection = connection.expect("a connection");
    let exchange = connection.exchange(request, WAIT).await;
    exchange.expect("an answer").response
}

async fn until(server: &Server, busy: usize, queued: usize) {
    while gauges(server) != (busy, queued) {
        sleep(LOOK).await;
    }
}

fn gauges(server: &Server) -> (usize, usize) {
    let state = server.state();
    (state.status.busy, state.status.queued)
}

fn slow(server: &Server) {
    server.apply(&Change {
        slow_factor: Some(ENDLESS),
        ..Change::default()
    });
}

fn outcomes(site: &Site) -> Vec<(String, Outcome, bool)> {
    let records = site.log().after(0, usize::MAX);
    let mut outcomes: Vec<_> = records
        .iter()
        .map(|one| (one.request.clone(), one.outcome, one.started_us.is_some()))
        .collect();
    outcomes.sort_by(|a, b| a.0.cmp(&b.0));
    outcomes
}

fn run(test: impl std::future::Future<Output = ()>) {
    // A wait that never ends must not hold the whole test run up.
    let ended = crate::runtime::run(async { monoio::time::timeout(WAIT, test).await });
    ended.expect("a runtime").expect("an end");
}

#[test]
fn an_answer_is_stamped() {
    run(async {
        let site = site(23_000);
        let answer = ask(&site.servers[0], query("r-0", 1, 10_000)).await;
        let value: serde_json::Value = serde_json::from_slice(answer.body()).expect("JSON");
        insta::assert_json_snapshot!(value);
    });
}

#[test]
fn what_is_not_held_is_refused() {
    run(async {
        let site = site(23_200);
        let snapshot = ask(&site.servers[0], query("a", 9, 10_000)).await;
        let shard = ask(&site.servers[1], query("b", 1, 10_000)).await;
        let other = ask(&site.servers[2], query("c", 1, 10_000)).await;
        let bodies = [snapshot, shard, other].map(|one| (one.status().as_u16(), one.into_body()));
        assert_eq!(bodies[0].0, 409);
        assert_eq!(bodies[0].1, r#"{"error":"snapshot","held":[1]}"#);
        assert_eq!(bodies[1].0, 200);
        assert_eq!(bodies[2].0, 404);
    });
}

#[test]
fn cancellation_ends_queued_and_running_work() {
    run(async {
        let site = site(23_400);
        let server = &site.servers[0];
        slow(server);
        let running = join_all(["a", "b"].map(|name| ask(server, query(name, 1, 60_000))));
        let queued = async {
            until(server, 2, 0).await;
            ask(server, query("c", 1, 60_000)).await
        };
        let cancels = async {
            until(server, 2, 1).await;
            for name in ["c", "b", "a"] {
                ask(server, cancel(name)).await;
            }
        };
        let (mut answers, last, ()) = futures_util::join!(running, queued, cancels);
        answers.push(last);
        assert!(answers.iter().all(|one| one.status().as_u16() == 499));
        until(server, 0, 0).await;
        let cancelled = |name: &str, started| (name.to_owned(), Outcome::Cancelled, started);
        let expected = [
            cancelled("a", true),
            cancelled("b", true),
            cancelled("c", false),
        ];
        assert_eq!(outcomes(&site), expected);
    });
}

#[test]
fn a_deadline_that_passes_in_the_queue_is_not_run() {
    run(async {
        let site = site(23_600);
        let server = &site.servers[0];
        slow(server);
        let running = join_all(["a", "b"].map(|name| ask(server, query(name, 1, 60_000))));
        let late = async {
            until(server, 2, 0).await;
            let answer = ask(server, query("c", 1, 20)).await;
            ask(server, cancel("a")).await;
            ask(server, cancel("b")).await;
            answer
        };
        let (_, late) = join(running, late).await;
        assert_eq!(late.status(), StatusCode::GATEWAY_TIMEOUT);
        let last = outcomes(&site).pop();
        assert_eq!(last, Some(("c".into(), Outcome::Deadline, false)));
    });
}

#[test]
fn a_full_queue_sheds() {
    run(async {
        let site = site(23_800);
        let server = &site.servers[0];
        slow(server);
        let names: Vec<_> = (0..18).map(|index| format!("r{index}")).collect();
        let held = join_all(names.iter().map(|name| ask(server, query(name, 1, 60_000))));
        let shed = async {
            until(server, 2, 16).await;
            let answer = ask(server, query("shed", 1, 60_000)).await;
            for name in &names {
                ask(server, cancel(name)).await;
            }
            answer
        };
        let (_, shed) = join(held, shed).await;
        assert_eq!(shed.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(shed.headers().contains_key("retry-after"));
    });
}

#[test]
fn a_connection_over_the_limit_is_closed_at_once() {
    run(async {
        let site = site(24_000);
        let server = &site.servers[0];
        let mut held = Vec::new();
        for open in 1..=server.spec.connections {
            held.push(TcpStream::connect(server.address).expect("a connection"));
            while server.state().status.connections_open < open {
                sleep(LOOK).await;
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
fn a_server_that_goes_down_cuts_its_work_and_comes_back_cold() {
    run(async {
        let site = site(24_200);
        let server = &site.servers[0];
        slow(server);
        let connection = Connection::open(server.address, Limits::default()).await;
        let connection = connection.expect("a connection");
        let asked = connection.exchange(query("a", 1, 60_000), WAIT);
        let down = async {
            until(server, 1, 0).await;
            server.apply(&Change {
                down: Some(true),
                ..Change::default()
            });
        };
        let (answer, ()) = join(asked, down).await;
        assert!(answer.is_err(), "the connection is cut");
        until(server, 0, 0).await;
        assert_eq!(outcomes(&site), [("a".into(), Outcome::Broken, true)]);
        server.apply(&Change {
            clear: true,
            ..Change::default()
        });
        assert!(server.state().faults.cold > 0);
        while Connection::open(server.address, Limits::default())
            .await
            .is_err()
        {
            sleep(LOOK).await;
        }
    });
}

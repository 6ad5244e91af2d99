//! Tests each check of the soak against a history that breaks its promise, and runs a short soak.

use std::{
    path::Path,
    process::Command,
    sync::Arc,
    time::Duration, //
};

use bench::{
    servers::{
        content::{
            self,
            Signature, //
        },
        log::{
            Arrival,
            Disposition, //
        },
    },
    soak::{
        answer,
        check::{
            self,
            Promise,
            STABILIZATION_US, //
        },
        history::{
            Component,
            Disturbance,
            History,
            Kind,
            Outcome,
            Request,
            Version, //
        },
        plan,
        topology::{
            Topology,
            RETRY_BUDGET, //
        },
    },
};
use http::Response;

const SECOND_US: u64 = 1_000_000;
/// Send time of the requests in these histories, long after the first configuration was acknowledged.
const BASE_US: u64 = 100 * SECOND_US;

fn topology() -> Topology {
    Topology::new(20, Path::new("unused")).expect("ports")
}

/// Returns a history with two versions, of which the second is acknowledged `after_us` after the first.
fn history(after_us: u64) -> History {
    let topology = topology();
    let version = |number: usize, acked_us| Version {
        acked_us,
        table: Arc::new(topology.table(number)),
    };
    History {
        versions: vec![version(0, SECOND_US), version(1, SECOND_US + after_us)],
        ..History::default()
    }
}

fn answered(status: u16, services: &[&str]) -> Outcome {
    Outcome::Answer {
        status,
        services: services.iter().map(ToString::to_string).collect(),
    }
}

fn add_request(history: &mut History, id: &str, kind: Kind, took_us: u64, outcome: Outcome) {
    let request = Request {
        kind,
        relay: 0,
        start_number: 0,
        sent_us: BASE_US,
        ended_us: BASE_US + took_us,
        outcome,
    };
    history.requests.insert(id.into(), request);
}

fn arrival(request: &str, service: &str, server: &str) -> Arrival {
    Arrival {
        at_us: BASE_US + 1_000,
        request: request.to_owned(),
        service: service.into(),
        server: server.into(),
        started_at_ms: 1,
        fate: Disposition::Ran,
        altered: false,
    }
}

fn broken_promises(history: &History) -> Vec<Promise> {
    let mut promises: Vec<_> = check::run(history, RETRY_BUDGET)
        .into_iter()
        .map(|violation| violation.promise)
        .collect();
    promises.dedup();
    promises
}

/// Delay of the second version after the first, with which it is in force long before the requests are sent.
const IN_FORCE_US: u64 = 2 * SECOND_US;
/// Delay of the second version after the first, with which it is acknowledged only after the requests.
const AFTER_REQUESTS_US: u64 = 1_000 * SECOND_US;

#[test]
fn valid_history_has_no_violations() {
    let mut history = history(AFTER_REQUESTS_US);
    add_request(
        &mut history,
        "r",
        Kind::Read,
        5_000,
        answered(200, &["read-0"]),
    );
    add_request(
        &mut history,
        "w",
        Kind::Write,
        5_000,
        answered(200, &["write"]),
    );
    add_request(&mut history, "x", Kind::Write, 5_000, answered(503, &[]));
    history.arrivals = vec![
        arrival("r", "read-0", "a"),
        arrival("r", "read-0", "b"),
        arrival("w", "write", "a"),
    ];
    assert_eq!(broken_promises(&history), []);
}

#[test]
fn second_run_of_a_write_is_found() {
    let mut history = history(AFTER_REQUESTS_US);
    add_request(
        &mut history,
        "w",
        Kind::Write,
        5_000,
        answered(200, &["write"]),
    );
    history.arrivals = vec![arrival("w", "write", "a"), arrival("w", "write", "a")];
    assert_eq!(broken_promises(&history), [Promise::Once]);
}

#[test]
fn refusal_of_a_request_that_ran_is_found() {
    for status in [408, 421, 429, 503] {
        let mut history = history(AFTER_REQUESTS_US);
        add_request(&mut history, "w", Kind::Write, 5_000, answered(status, &[]));
        history.arrivals = vec![arrival("w", "write", "a")];
        assert_eq!(broken_promises(&history), [Promise::Refusal], "{status}");
    }
}

#[test]
fn request_on_too_many_servers_is_found() {
    let mut history = history(AFTER_REQUESTS_US);
    add_request(
        &mut history,
        "r",
        Kind::Read,
        5_000,
        answered(200, &["read-0"]),
    );
    history.arrivals = ["a", "b", "c"]
        .map(|server| arrival("r", "read-0", server))
        .to_vec();
    assert_eq!(broken_promises(&history), [Promise::Attempts]);
}

#[test]
fn unknown_altered_and_misrouted_arrivals_are_found() {
    let mut history = history(AFTER_REQUESTS_US);
    add_request(
        &mut history,
        "r",
        Kind::Read,
        5_000,
        answered(200, &["read-0"]),
    );
    let altered = Arrival {
        altered: true,
        ..arrival("r", "read-0", "a")
    };
    history.arrivals = vec![
        arrival("smuggled", "read-0", "a"),
        altered,
        arrival("r", "write", "a"),
    ];
    assert_eq!(
        broken_promises(&history),
        [Promise::Unaltered, Promise::Service, Promise::Config]
    );
}

#[test]
fn exceeded_retry_budget_is_found() {
    let mut history = history(AFTER_REQUESTS_US);
    for number in 0..100 {
        let id = format!("r{number}");
        add_request(
            &mut history,
            &id,
            Kind::Read,
            5_000,
            answered(200, &["read-0"]),
        );
        let arrival_count = if number <= 12 { 2 } else { 1 };
        history
            .arrivals
            .extend(vec![arrival(&id, "read-0", "a"); arrival_count]);
    }
    assert_eq!(broken_promises(&history), [Promise::Extra]);
    // One arrival less is within the budget: 2 % of the requests and the allowance of 10.
    history.arrivals.remove(0);
    assert_eq!(broken_promises(&history), []);
}

#[test]
fn late_answer_of_an_undisturbed_instance_is_found() {
    let mut history = history(AFTER_REQUESTS_US);
    add_request(&mut history, "r", Kind::Read, 2_600_000, answered(504, &[]));
    assert_eq!(broken_promises(&history), [Promise::Late]);
    let disturbance = |from_us: u64, planned| Disturbance {
        component: Component::Relay(0),
        from_us,
        to_us: from_us,
        planned,
    };
    history.disturbances = vec![disturbance(BASE_US - STABILIZATION_US + 1, false)];
    assert_eq!(broken_promises(&history), []);
    history.disturbances = vec![disturbance(BASE_US - STABILIZATION_US - 1, false)];
    assert_eq!(broken_promises(&history), [Promise::Late]);
}

#[test]
fn connection_closed_by_a_planned_stop_is_found() {
    let mut history = history(AFTER_REQUESTS_US);
    add_request(&mut history, "w", Kind::Write, 100_000, Outcome::Cut);
    let stop = |planned| Disturbance {
        component: Component::Relay(0),
        from_us: BASE_US,
        to_us: BASE_US + SECOND_US,
        planned,
    };
    history.disturbances = vec![stop(true)];
    // The request may have crossed with the close of the connection.
    assert_eq!(broken_promises(&history), []);
    history.arrivals = vec![arrival("w", "write", "a")];
    assert_eq!(broken_promises(&history), [Promise::Cut]);
    history.disturbances.push(stop(false));
    assert_eq!(broken_promises(&history), []);
}

#[test]
fn work_for_a_disconnected_caller_is_found() {
    let mut history = history(AFTER_REQUESTS_US);
    add_request(&mut history, "r", Kind::Read, 10_000, Outcome::Abandoned);
    let late = Arrival {
        at_us: BASE_US + 600_000,
        ..arrival("r", "read-0", "a")
    };
    history.arrivals = vec![late];
    assert_eq!(broken_promises(&history), [Promise::Left]);
    // The server was frozen, and had received the request before the caller disconnected.
    history.arrivals[0].server = "server-7-2".into();
    history.disturbances = vec![Disturbance {
        component: Component::Server("server-7".into()),
        from_us: BASE_US,
        to_us: BASE_US + 550_000,
        planned: false,
    }];
    assert_eq!(broken_promises(&history), []);
}

#[test]
fn outdated_configuration_is_found() {
    let mut history = history(IN_FORCE_US);
    add_request(&mut history, "r", Kind::Read, 5_000, Outcome::Cut);
    history.arrivals = vec![arrival("r", "read-0", "a")];
    assert_eq!(broken_promises(&history), [Promise::Config]);
}

#[test]
fn reverted_configuration_is_found() {
    let mut history = history(BASE_US - SECOND_US);
    add_request(
        &mut history,
        "new",
        Kind::Read,
        5_000,
        answered(200, &["read-1"]),
    );
    add_request(
        &mut history,
        "old",
        Kind::Read,
        5_000,
        answered(200, &["read-0"]),
    );
    assert_eq!(broken_promises(&history), []);
    let old = history.requests.get_mut("old").expect("a request");
    old.sent_us += 300_000;
    old.ended_us += 300_000;
    assert_eq!(broken_promises(&history), [Promise::Config]);
    history
        .requests
        .get_mut("old")
        .expect("a request")
        .start_number = 1;
    assert_eq!(broken_promises(&history), []);
}

#[test]
fn unexpected_exit_and_missing_recovery_are_found() {
    let mut history = history(AFTER_REQUESTS_US);
    history.exits = vec!["relay-0 (start 0)".to_owned()];
    history.faults_ended_us = Some(BASE_US - check::RECOVERY_US - 1);
    for number in 0..8 {
        let outcome = if number == 0 {
            answered(200, &["read-0"])
        } else {
            answered(503, &[])
        };
        add_request(
            &mut history,
            &format!("r{number}"),
            Kind::Read,
            5_000,
            outcome,
        );
    }
    assert_eq!(
        broken_promises(&history),
        [Promise::Recovery, Promise::Exit]
    );
}

fn signature(service: &str, request: &str) -> Signature {
    Signature {
        service: service.to_owned(),
        server: "a".to_owned(),
        run: 1,
        request: request.to_owned(),
    }
}

fn check_answer(
    kind: Kind,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<Vec<String>, String> {
    let names = adapter::names::headers();
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        let name = match *name {
            "signature" => &names.signature,
            "parts" => &names.parts,
            _ => &names.missing,
        };
        answer = answer.header(name, value);
    }
    let answer = answer.body(body.to_vec()).expect("an answer");
    answer::check(
        &names,
        kind,
        "q",
        &answer,
        &history(AFTER_REQUESTS_US).versions,
    )
}

#[test]
fn answer_is_checked_against_its_signature() {
    let signed = signature("read-0", "q");
    let headers = |signature: &Signature| [("signature", signature.to_string())];
    let body = content::reply_body(&signed);
    assert_eq!(
        check_answer(Kind::Read, 200, &headers(&signed), &body),
        Ok(vec!["read-0".to_owned()])
    );
    let foreign = signature("read-0", "other");
    let failed = content::failure_status(&signed).as_u16();
    let verdicts = [
        check_answer(Kind::Read, 200, &[], &body),
        check_answer(Kind::Read, 200, &headers(&signed), &body[1..]),
        check_answer(
            Kind::Read,
            200,
            &headers(&foreign),
            &content::reply_body(&foreign),
        ),
        check_answer(Kind::Read, 200, &[("signature", "noise".to_owned())], &body),
        check_answer(Kind::Read, 502, &headers(&signed), b""),
        check_answer(Kind::Read, failed, &headers(&signed), b""),
        check_answer(Kind::Read, failed, &headers(&foreign), b""),
    ];
    let others = [500, 503, 429, 408];
    for status in others.into_iter().filter(|status| *status != failed) {
        assert!(check_answer(Kind::Read, status, &headers(&signed), b"").is_err());
    }
    insta::assert_debug_snapshot!(verdicts);
}

#[test]
fn query_answer_is_checked_against_its_parts() {
    let shards = ["shard-0", "shard-1", "shard-2"];
    let parts = |services: &[&str], request: &str| {
        let signed: Vec<_> = services
            .iter()
            .map(|service| signature(service, request).to_string())
            .collect();
        ("parts", signed.join(", "))
    };
    let body = |services: &[&str]| {
        let services: Vec<_> = services.iter().map(ToString::to_string).collect();
        content::merge("q", &services, 20)
    };
    let missing = |count: usize| ("missing", count.to_string());
    let query = |headers: &[(&str, String)], body: &[u8]| {
        check_answer(Kind::Query, 200, headers, body).is_ok()
    };
    let table = topology().table(0);
    let route = table.find("soak.example", "/all/q").expect("a route");
    let shard_count = route.services().len();
    let answered_shards = &shards[..shard_count.min(shards.len())];
    assert!(query(
        &[
            parts(answered_shards, "q"),
            missing(shard_count - answered_shards.len())
        ],
        &body(answered_shards)
    ));
    let too_few = &answered_shards[..answered_shards.len() - 1];
    assert!(
        !query(
            &[
                parts(answered_shards, "q"),
                missing(shard_count - answered_shards.len())
            ],
            &body(too_few)
        ),
        "records of other parts"
    );
    assert!(
        !query(
            &[
                parts(too_few, "q"),
                missing(shard_count - answered_shards.len())
            ],
            &body(too_few)
        ),
        "a part that is neither included nor listed as missing"
    );
    assert!(
        !query(
            &[
                parts(answered_shards, "other"),
                missing(shard_count - answered_shards.len())
            ],
            &body(answered_shards)
        ),
        "parts of another query"
    );
    assert!(
        !query(
            &[
                parts(&[answered_shards, &answered_shards[..1]].concat(), "q"),
                missing(shard_count - answered_shards.len())
            ],
            &body(answered_shards)
        ),
        "a part twice"
    );
    assert!(
        !query(
            &[parts(&answered_shards[..1], "q"), missing(shard_count - 1)],
            &body(&answered_shards[..1])
        ),
        "too few parts"
    );
}

#[test]
fn faults_are_determined_by_the_seed() {
    let draw = |seed| plan::draw(seed, 4, 16, Duration::from_secs(20));
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    assert!(draw(7).len() > 10);
}

#[test]
fn short_run_has_no_violations() {
    let bench = env!("CARGO_BIN_EXE_bench");
    let output = Command::new(bench)
        .args(["soak", "--seed", "1", "--seconds", "26"])
        .output()
        .expect("a run");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(text.contains(" 0 broken"), "{text}");
}

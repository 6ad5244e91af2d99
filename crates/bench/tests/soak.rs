//! The checks of the soak, each against a history in which its promise is broken; and a short run.

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
            Fate, //
        },
    },
    soak::{
        answer,
        check::{
            self,
            Promise,
            STABILITY_US, //
        },
        history::{
            Disturbance,
            History,
            Kind,
            Outcome,
            Place,
            Request,
            Version, //
        },
        plan,
        site::{
            Site,
            EXTRA, //
        },
    },
};
use http::Response;

const SECOND_US: u64 = 1_000_000;
/// When the requests of these histories are sent: long after the first configuration.
const BASE_US: u64 = 100 * SECOND_US;

fn site() -> Site {
    Site::new(20, Path::new("unused")).expect("ports")
}

/// A history with the first version, and the second one `after_us` after it.
fn history(after_us: u64) -> History {
    let site = site();
    let version = |number: usize, acked_us| Version {
        acked_us,
        table: Arc::new(site.table(number)),
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

fn sent(history: &mut History, id: &str, kind: Kind, took_us: u64, outcome: Outcome) {
    let request = Request {
        kind,
        relay: 0,
        start: 0,
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
        born: 1,
        fate: Fate::Ran,
        altered: false,
    }
}

fn broken(history: &History) -> Vec<Promise> {
    let mut promises: Vec<_> = check::run(history, EXTRA)
        .into_iter()
        .map(|violation| violation.promise)
        .collect();
    promises.dedup();
    promises
}

/// A time after the first version at which the second one is long in force.
const LONG_AGO: u64 = 2 * SECOND_US;
/// A time after the requests.
const NEVER: u64 = 1_000 * SECOND_US;

#[test]
fn nothing_is_broken_where_all_goes_well() {
    let mut history = history(NEVER);
    sent(
        &mut history,
        "r",
        Kind::Read,
        5_000,
        answered(200, &["read-0"]),
    );
    sent(
        &mut history,
        "w",
        Kind::Write,
        5_000,
        answered(200, &["write"]),
    );
    sent(&mut history, "x", Kind::Write, 5_000, answered(503, &[]));
    history.arrivals = vec![
        arrival("r", "read-0", "a"),
        arrival("r", "read-0", "b"),
        arrival("w", "write", "a"),
    ];
    assert_eq!(broken(&history), []);
}

#[test]
fn a_second_run_of_what_runs_once_is_found() {
    let mut history = history(NEVER);
    sent(
        &mut history,
        "w",
        Kind::Write,
        5_000,
        answered(200, &["write"]),
    );
    history.arrivals = vec![arrival("w", "write", "a"), arrival("w", "write", "a")];
    assert_eq!(broken(&history), [Promise::Once]);
}

#[test]
fn a_refusal_of_what_ran_is_found() {
    for status in [408, 421, 429, 503] {
        let mut history = history(NEVER);
        sent(&mut history, "w", Kind::Write, 5_000, answered(status, &[]));
        history.arrivals = vec![arrival("w", "write", "a")];
        assert_eq!(broken(&history), [Promise::Refusal], "{status}");
    }
}

#[test]
fn a_third_server_is_found() {
    let mut history = history(NEVER);
    sent(
        &mut history,
        "r",
        Kind::Read,
        5_000,
        answered(200, &["read-0"]),
    );
    history.arrivals = ["a", "b", "c"]
        .map(|server| arrival("r", "read-0", server))
        .to_vec();
    assert_eq!(broken(&history), [Promise::Attempts]);
}

#[test]
fn what_nobody_sent_or_was_altered_or_went_elsewhere_is_found() {
    let mut history = history(NEVER);
    sent(
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
        broken(&history),
        [Promise::Unaltered, Promise::Service, Promise::Config]
    );
}

#[test]
fn too_many_further_arrivals_are_found() {
    let mut history = history(NEVER);
    for number in 0..100 {
        let id = format!("r{number}");
        sent(
            &mut history,
            &id,
            Kind::Read,
            5_000,
            answered(200, &["read-0"]),
        );
        let again = if number <= 12 { 2 } else { 1 };
        history
            .arrivals
            .extend(vec![arrival(&id, "read-0", "a"); again]);
    }
    assert_eq!(broken(&history), [Promise::Extra]);
    // One less is within a fiftieth of the requests and the allowance of 10.
    history.arrivals.remove(0);
    assert_eq!(broken(&history), []);
}

#[test]
fn a_late_answer_is_found_but_not_at_a_disturbed_instance() {
    let mut history = history(NEVER);
    sent(&mut history, "r", Kind::Read, 2_600_000, answered(504, &[]));
    assert_eq!(broken(&history), [Promise::Late]);
    let disturbance = |from_us: u64, planned| Disturbance {
        place: Place::Relay(0),
        from_us,
        to_us: from_us,
        planned,
    };
    history.disturbances = vec![disturbance(BASE_US - STABILITY_US + 1, false)];
    assert_eq!(broken(&history), []);
    history.disturbances = vec![disturbance(BASE_US - STABILITY_US - 1, false)];
    assert_eq!(broken(&history), [Promise::Late]);
}

#[test]
fn a_cut_at_a_planned_stop_is_found() {
    let mut history = history(NEVER);
    sent(&mut history, "w", Kind::Write, 100_000, Outcome::Cut);
    let stop = |planned| Disturbance {
        place: Place::Relay(0),
        from_us: BASE_US,
        to_us: BASE_US + SECOND_US,
        planned,
    };
    history.disturbances = vec![stop(true)];
    // It may have crossed the end of the connection.
    assert_eq!(broken(&history), []);
    history.arrivals = vec![arrival("w", "write", "a")];
    assert_eq!(broken(&history), [Promise::Cut]);
    history.disturbances.push(stop(false));
    assert_eq!(broken(&history), []);
}

#[test]
fn work_that_begins_for_nobody_is_found() {
    let mut history = history(NEVER);
    sent(&mut history, "r", Kind::Read, 10_000, Outcome::Left);
    let late = Arrival {
        at_us: BASE_US + 600_000,
        ..arrival("r", "read-0", "a")
    };
    history.arrivals = vec![late];
    assert_eq!(broken(&history), [Promise::Left]);
    // The server was frozen and had the request before its caller left.
    history.arrivals[0].server = "server-7-2".into();
    history.disturbances = vec![Disturbance {
        place: Place::Server("server-7".into()),
        from_us: BASE_US,
        to_us: BASE_US + 550_000,
        planned: false,
    }];
    assert_eq!(broken(&history), []);
}

#[test]
fn an_outdated_configuration_is_found() {
    let mut history = history(LONG_AGO);
    sent(&mut history, "r", Kind::Read, 5_000, Outcome::Cut);
    history.arrivals = vec![arrival("r", "read-0", "a")];
    assert_eq!(broken(&history), [Promise::Config]);
}

#[test]
fn a_step_back_is_found() {
    let mut history = history(BASE_US - SECOND_US);
    sent(
        &mut history,
        "new",
        Kind::Read,
        5_000,
        answered(200, &["read-1"]),
    );
    sent(
        &mut history,
        "old",
        Kind::Read,
        5_000,
        answered(200, &["read-0"]),
    );
    assert_eq!(broken(&history), []);
    let old = history.requests.get_mut("old").expect("a request");
    old.sent_us += 300_000;
    old.ended_us += 300_000;
    assert_eq!(broken(&history), [Promise::Config]);
    history.requests.get_mut("old").expect("a request").start = 1;
    assert_eq!(broken(&history), []);
}

#[test]
fn an_end_without_cause_and_no_recovery_are_found() {
    let mut history = history(NEVER);
    history.exits = vec!["relay-0 (start 0)".to_owned()];
    history.calm_us = Some(BASE_US - check::RECOVERY_US - 1);
    for number in 0..8 {
        let outcome = if number == 0 {
            answered(200, &["read-0"])
        } else {
            answered(503, &[])
        };
        sent(
            &mut history,
            &format!("r{number}"),
            Kind::Read,
            5_000,
            outcome,
        );
    }
    assert_eq!(broken(&history), [Promise::Recovery, Promise::Exit]);
}

fn signature(service: &str, request: &str) -> Signature {
    Signature {
        service: service.to_owned(),
        server: "a".to_owned(),
        run: 1,
        request: request.to_owned(),
    }
}

fn judge(
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
    answer::check(&names, kind, "q", &answer, &history(NEVER).versions)
}

#[test]
fn an_answer_is_held_to_its_signature() {
    let signed = signature("read-0", "q");
    let headers = |signature: &Signature| [("signature", signature.to_string())];
    let body = content::body(&signed);
    assert_eq!(
        judge(Kind::Read, 200, &headers(&signed), &body),
        Ok(vec!["read-0".to_owned()])
    );
    let foreign = signature("read-0", "other");
    let verdicts = [
        judge(Kind::Read, 200, &[], &body),
        judge(Kind::Read, 200, &headers(&signed), &body[1..]),
        judge(
            Kind::Read,
            200,
            &headers(&foreign),
            &content::body(&foreign),
        ),
        judge(Kind::Read, 200, &[("signature", "noise".to_owned())], &body),
        judge(Kind::Read, 502, &headers(&signed), b""),
        judge(Kind::Read, 500, &headers(&signed), b""),
    ];
    insta::assert_debug_snapshot!(verdicts);
}

#[test]
fn an_answer_to_a_query_is_held_to_its_parts() {
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
        content::merged("q", &services, 20)
    };
    let missing = |count: usize| ("missing", count.to_string());
    let query =
        |headers: &[(&str, String)], body: &[u8]| judge(Kind::Query, 200, headers, body).is_ok();
    let table = site().table(0);
    let route = table.find("soak.example", "/all/q").expect("a route");
    let of = route.services().len();
    let named = &shards[..of.min(shards.len())];
    assert!(query(
        &[parts(named, "q"), missing(of - named.len())],
        &body(named)
    ));
    let less = &named[..named.len() - 1];
    assert!(
        !query(&[parts(named, "q"), missing(of - named.len())], &body(less)),
        "records of other parts"
    );
    assert!(
        !query(&[parts(less, "q"), missing(of - named.len())], &body(less)),
        "a part that is neither in nor missing"
    );
    assert!(
        !query(
            &[parts(named, "other"), missing(of - named.len())],
            &body(named)
        ),
        "parts of another query"
    );
    assert!(
        !query(
            &[
                parts(&[named, &named[..1]].concat(), "q"),
                missing(of - named.len())
            ],
            &body(named)
        ),
        "a part twice"
    );
    assert!(
        !query(
            &[parts(&named[..1], "q"), missing(of - 1)],
            &body(&named[..1])
        ),
        "too few parts"
    );
}

#[test]
fn a_seed_draws_the_same_faults_each_time() {
    let draw = |seed| plan::draw(seed, 4, 16, Duration::from_secs(20));
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    assert!(draw(7).len() > 10);
}

#[test]
fn a_short_run_breaks_nothing() {
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

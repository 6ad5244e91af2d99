//! Tests of the verifier: valid input passes, and each kind of violation is found.

use std::collections::BTreeMap;

use bench::{
    backends::hits::hits,
    balancer,
    replay::{
        answer::hash_hits,
        record::{
            Fault,
            Run, //
        },
        send,
        Record, //
    },
    verify::{
        self,
        log::{
            AcceptedVersion,
            Entry,
            LeavingMark, //
        },
        Finding,
        Log,
        Promise,
        Verdict, //
    },
};
use serde_json::json;

const QUERY: &str = "01900000-0000-7000-8000-000000000001";
const CALL: &str = "01900000-0000-7000-8000-000000000002";
const RETRY: &str = "01900000-0000-7000-8000-000000000003";
const KEY: &str = "01900000-0000-7000-8000-00000000000a";

/// Input of the verifier: records of callers and the log of the backend servers.
///
/// It has a query over two shards, and a call that was refused when it was first sent and ran when it was sent again.
struct Input {
    records: Vec<Record>,
    log: Log,
}

impl Input {
    fn valid() -> Self {
        Self {
            records: vec![query(), call(CALL, 1, 2_000), call(RETRY, 2, 4_000)],
            log: log(),
        }
    }

    fn verify(&self) -> Verdict {
        verify::run(&self.records, &self.log)
    }
}

fn record(fields: serde_json::Value) -> Record {
    let mut complete = json!({
        "arrival": 0, "attempt": 1, "caller": 1, "timeout_ms": 500, "address": "127.0.0.1:1",
        "status": 200, "instance": "i1",
    });
    let complete_fields = complete.as_object_mut().unwrap();
    complete_fields.extend(fields.as_object().unwrap().clone());
    serde_json::from_value(complete).unwrap()
}

fn query() -> Record {
    let part = |shard: &str, index: u32| {
        json!({
            "shard": shard, "server": format!("{shard}-a"), "snapshot": 7, "stamped": shard,
            "request": format!("{QUERY}-{index}"),
        })
    };
    let mut query = record(json!({
        "kind": "query", "target": "deskline", "request": QUERY, "echoed": QUERY,
        "intended_us": 1_000, "sent_us": 1_000, "answered_us": 1_900, "snapshot": 7, "preset": 3,
        "coverage": {"shards": 2, "answered": 2, "missing": []},
        "parts": [part("s0", 0), part("s1", 1)],
    }));
    let text = send::query_of(&query);
    for part in query.parts.as_mut().unwrap() {
        part.hits = Some(hash_hits(&hits(&part.shard, 7, text.as_bytes())));
    }
    query
}

/// Turns the query into one whose answer has the merged top two hits of both shards.
fn merge_hits(input: &mut Input) {
    let record = &mut input.records[0];
    let text = send::query_of(record);
    let mut all = hits("s0", 7, text.as_bytes());
    all.extend(hits("s1", 7, text.as_bytes()));
    all.sort_by(|a, b| b.score.total_cmp(&a.score));
    record.parts = None;
    record.top = Some(2);
    record.hits = Some(hash_hits(&all[..2]));
}

fn call(request: &str, attempt: u32, sent_us: u64) -> Record {
    let mut call = record(json!({
        "arrival": 1, "attempt": attempt, "kind": "call", "target": "tallyroom", "key": KEY,
        "request": request, "echoed": request, "intended_us": sent_us, "sent_us": sent_us,
        "answered_us": sent_us + 900,
    }));
    match attempt {
        1 => refuse(&mut call, Run::NotRun),
        _ => call.payload = Some(1),
    }
    call
}

fn refuse(record: &mut Record, run: Run) {
    record.status = 503;
    record.problem = Some("/problems/overloaded".into());
    record.run = Some(run);
    record.coverage = None;
    record.parts = None;
}

fn log() -> Log {
    let query = |shard: &str, index: u32| {
        json!({
            "seq": index, "server": format!("{shard}-a"), "shard": shard, "kind": "query",
            "request": format!("{QUERY}-{index}"), "attempt": 1, "snapshot": 7,
            "arrived_us": 1_100, "started_us": 1_200, "ended_us": 1_500, "outcome": "done",
        })
    };
    let call = json!({
        "seq": 3, "server": "t-a", "kind": "call", "request": RETRY, "attempt": 1, "key": KEY,
        "arrived_us": 4_100, "started_us": 4_200, "ended_us": 4_500, "outcome": "done",
    });
    serde_json::from_value(json!({
        "records": [query("s0", 0), query("s1", 1), call],
        "servers": [{"name": "s0-a", "connections": 25, "connections_peak": 25}],
        "groups": {"deskline": {"7": ["s0", "s1"], "8": ["s0", "s2"]}},
        "presets": [{"version": 3, "at_us": 0}],
    }))
    .unwrap()
}

fn start(log: &mut Log, request: &str, key: Option<&str>, started_us: u64) {
    let entry: Entry = serde_json::from_value(json!({
        "seq": 9, "server": "t-b", "kind": "call", "request": request, "key": key,
        "arrived_us": started_us, "started_us": started_us, "outcome": "broken",
    }))
    .unwrap();
    log.records.push(entry);
}

#[test]
fn valid_input_has_no_violations() {
    let verdict = Input::valid().verify();
    assert_eq!(verdict, Verdict::default());
    assert!(verdict.counts().values().all(|count| *count == 0));
    assert_eq!(verdict.counts().len(), Promise::ALL.len());
}

#[test]
fn incomplete_log_makes_the_verdict_partial() {
    let mut input = Input::valid();
    input.log.dropped = 1;
    assert!(input.verify().partial);
    input.log = Log::default();
    assert!(input.verify().partial);
}

type Change = fn(&mut Input);

const ANSWER_CHANGES: [(&str, Change); 17] = [
    ("mixed snapshot", |input| {
        input.records[0].parts.as_mut().unwrap()[1].snapshot = Some(8);
    }),
    ("shards of another snapshot", |input| {
        input.records[0].parts.as_mut().unwrap()[1].shard = "s2".into();
        input.records[0].parts.as_mut().unwrap()[1].stamped = None;
    }),
    ("unknown snapshot", |input| {
        input.records[0].snapshot = Some(9);
        input.records[0].parts = None;
    }),
    ("counts that don't add up", |input| {
        input.records[0].coverage.as_mut().unwrap().shards = 3;
    }),
    ("repeated shard", |input| {
        let parts = input.records[0].parts.as_mut().unwrap();
        parts[1] = parts[0].clone();
    }),
    ("shard that no server finished", |input| {
        input.log.records[1].outcome = None;
    }),
    (
        "shard that a server finished on another snapshot",
        |input| {
            input.log.records[1].snapshot = Some(8);
        },
    ),
    ("merged hits of shards that no server finished", |input| {
        input.records[0].parts = None;
        input.log.records[1].outcome = None;
    }),
    ("answer to another request", |input| {
        input.records[0].echoed = Some(CALL.into());
    }),
    ("part of another request and shard", |input| {
        let part = &mut input.records[0].parts.as_mut().unwrap()[1];
        part.request = Some(format!("{CALL}-1").into());
        part.stamped = Some("s0".into());
    }),
    ("answer without the caller's id", |input| {
        input.records[0].echoed = None;
    }),
    ("answer of another query", |input| {
        input.records[0].caller = 2;
    }),
    ("merged hits of another query", |input| {
        merge_hits(input);
        input.records[0].caller = 2;
    }),
    ("merged hits that lack a shard", |input| {
        merge_hits(input);
        let record = &mut input.records[0];
        record.hits = Some(hash_hits(
            &hits("s0", 7, send::query_of(record).as_bytes())[..2],
        ));
    }),
    ("one answer to two requests", |input| {
        input.records[0].id = Some(QUERY.into());
        let mut other = input.records[0].clone();
        other.request = CALL.replace('2', "6").into();
        other.echoed = Some(other.request.clone());
        input.records.push(other);
    }),
    ("truncated answer", |input| {
        input.records[0].fault = Some(Fault::Malformed);
    }),
    ("two answers", |input| {
        input.records.push(input.records[0].clone());
    }),
];

const CALL_CHANGES: [(&str, Change); 10] = [
    ("answered call that no server finished", |input| {
        input.log.records[2].outcome = None;
    }),
    ("refused query that started", |input| {
        refuse(&mut input.records[0], Run::NotRun);
    }),
    ("refused call that started later", |input| {
        start(&mut input.log, CALL, None, 90_000);
        input.log.records.remove(2);
        input.records.pop();
    }),
    ("key refused after its start", |input| {
        input.records[1].sent_us = 5_000;
        input.records[1].answered_us = 6_000;
    }),
    ("key refused before an earlier send started", |input| {
        input.records[2].sent_us = 2_500;
    }),
    ("key that ran twice", |input| {
        start(&mut input.log, RETRY, Some(KEY), 9_000);
    }),
    ("key that ran twice, once without it", |input| {
        start(&mut input.log, RETRY, None, 9_000);
    }),
    ("key with two outcomes", |input| {
        let mut other = input.records[2].clone();
        other.request = CALL.replace('2', "4").into();
        other.echoed = Some(other.request.clone());
        other.payload = Some(2);
        input.records.push(other);
    }),
    ("leaving server that gets work", |input| {
        input.log.marks = vec![LeavingMark {
            server: "t-a".into(),
            at_us: 0,
            until_us: None,
        }];
        input.log.records[2].arrived_us = 3_000_001;
    }),
    ("server over its connection limit", |input| {
        input.log.servers[0].connections_peak = 26;
        input.log.servers[0].connections_refused = 1;
    }),
];

const INSTANCE_CHANGES: [(&str, Change); 5] = [
    ("request cut behind the balancer", |input| {
        refuse(&mut input.records[0], Run::MayHaveRun);
        input.records[0].problem = Some(balancer::INSTANCE_LOST.into());
    }),
    ("cut request", |input| {
        input.records[0].fault = Some(Fault::Cut);
        input.records[0].status = 0;
    }),
    ("reverted preset", |input| {
        input.log.presets.push(AcceptedVersion {
            version: 2,
            at_us: 0,
        });
        let mut later = input.records[0].clone();
        later.sent_us = 5_000;
        later.answered_us = 5_100;
        later.preset = Some(2);
        later.request = CALL.replace('2', "5").into();
        later.echoed = Some(later.request.clone());
        later.coverage = None;
        later.parts = None;
        input.records.push(later);
    }),
    ("preset version that was never accepted", |input| {
        input.records[0].preset = Some(4);
    }),
    ("stale preset", |input| {
        input.log.presets.push(AcceptedVersion {
            version: 4,
            at_us: 0,
        });
        input.records[0].sent_us = 19_000_001;
        input.records[0].answered_us = 19_000_002;
    }),
];

fn findings(changes: &[(&str, Change)]) -> BTreeMap<String, Vec<(Promise, Finding)>> {
    let findings = |change: &Change| {
        let mut input = Input::valid();
        change(&mut input);
        let violations = input.verify().violations.into_iter();
        violations
            .map(|violation| (violation.finding.promise(), violation.finding))
            .collect()
    };
    changes
        .iter()
        .map(|(name, change)| (name.to_string(), findings(change)))
        .collect()
}

#[test]
fn wrong_answers_are_found() {
    insta::assert_json_snapshot!(findings(&ANSWER_CHANGES));
}

#[test]
fn wrong_refusals_and_second_runs_are_found() {
    insta::assert_json_snapshot!(findings(&CALL_CHANGES));
}

#[test]
fn lost_connections_and_reverted_configurations_are_found() {
    insta::assert_json_snapshot!(findings(&INSTANCE_CHANGES));
}

#[test]
fn permitted_behaviour_is_no_violation() {
    let allowed: [(&str, Change); 5] = [
        ("merged hits", merge_hits),
        ("cut request after an unplanned fault", |input| {
            input.records[0].fault = Some(Fault::Cut);
            input.records[0].status = 0;
            input.log.unplanned = true;
        }),
        ("missing shard that is named", |input| {
            let record = &mut input.records[0];
            let part = record.parts.as_mut().unwrap().pop().unwrap();
            let coverage = record.coverage.as_mut().unwrap();
            coverage.answered = 1;
            coverage.missing.push(bench::replay::record::Missing {
                shard: part.shard,
                reason: "deadline".into(),
            });
        }),
        ("work on a server whose mark was removed", |input| {
            input.log.marks = vec![LeavingMark {
                server: "t-a".into(),
                at_us: 0,
                until_us: Some(4_000),
            }];
        }),
        ("unknown outcome of a key that ran", |input| {
            input.records[1].sent_us = 5_000;
            input.records[1].run = Some(Run::MayHaveRun);
        }),
    ];
    assert!(findings(&allowed).values().all(Vec::is_empty));
}

//! Tests of reports: counts, tables, expected outcomes, comparisons and plots.

use bench::{
    compare,
    plot,
    replay::{
        record::{
            Coverage,
            Fault,
            Missing,
            Run, //
        },
        Outcome,
        Record, //
    },
    report::{
        self,
        expect,
        read,
        table,
        Summary, //
    },
    sweep,
    verify::{
        Finding,
        Log,
        Verdict,
        Violation, //
    }, //
};
use serde_json::json;

/// Start of the run, in microseconds since the Unix epoch.
const START_US: u64 = 1_000_000_000;

fn record(arrival: usize, attempt: u32, at_us: u64, latency_us: u64) -> Record {
    let due_us = START_US + at_us;
    serde_json::from_value(json!({
        "arrival": arrival, "attempt": attempt, "caller": 1, "kind": "query", "timeout_ms": 500,
        "target": "deskline", "address": "127.0.0.1:1", "intended_us": due_us,
        "sent_us": due_us + 1_000, "answered_us": due_us + latency_us, "status": 200,
        "request": format!("r{arrival}.{attempt}"),
        "coverage": {"shards": 4, "answered": 4},
    }))
    .unwrap()
}

fn outcome() -> Outcome {
    let mut partial = record(1, 1, 100_000, 20_000);
    partial.coverage = Some(Coverage {
        shards: 4,
        answered: 3,
        missing: vec![Missing {
            shard: "s3".into(),
            reason: "deadline".into(),
        }],
    });
    let mut refused = record(2, 1, 1_200_000, 5_000);
    refused.status = 503;
    refused.problem = Some("/problems/overloaded".into());
    refused.run = Some(Run::NotRun);
    let retry = record(2, 2, 1_400_000, 10_000);
    let mut cut = record(3, 1, 1_500_000, 700_000);
    cut.target = "storyhook".into();
    cut.fault = Some(Fault::Cut);
    cut.coverage = None;
    Outcome {
        records: vec![record(0, 1, 0, 10_000), partial, refused, retry, cut],
        started_us: START_US,
        ended_us: START_US + 2_200_000,
    }
}

/// Four started sub-requests, one of them a second one for the same part, and one that was shed. The
/// connection of request `r3.1` was cut.
fn log() -> Log {
    let start = |request: &str| {
        json!({
            "server": "a", "kind": "query", "request": request, "arrived_us": 1, "started_us": 2,
            "outcome": "done",
        })
    };
    let queued = json!({"server": "a", "kind": "query", "request": "r0.1", "arrived_us": 1, "outcome": "shed"});
    serde_json::from_value(json!({
        "records": [start("r0.1"), start("r0.1"), start("r1.1"), start("r3.1"), queued],
        "servers": [{"name": "a"}],
    }))
    .unwrap()
}

fn summary() -> Summary {
    let verdict = Verdict {
        violations: vec![Violation {
            subject: "r3.1".into(),
            finding: Finding::CutOff,
        }],
        partial: false,
    };
    report::run(&outcome(), &log(), &verdict)
}

#[test]
fn counts_of_a_run() {
    insta::assert_json_snapshot!(summary());
}

#[test]
fn table_of_a_run() {
    insta::assert_snapshot!(table::render(&summary()));
}

#[test]
fn report_round_trips_through_json() {
    let summary = summary();
    let read: Summary = serde_json::from_str(&summary.json()).unwrap();
    assert_eq!(read, summary);
    assert!(!summary.is_clean());
}

#[test]
fn unmet_limits_are_listed() {
    let expectation = expect::decode(
        "all = { p99_ms_max = 100.0, coverage_min = 0.95, errors_max = 0.25 }\n\
         [targets.deskline]\n\
         refused_max = 0.1\n\
         extra_load_max = 0.6\n\
         [targets.archivist]\n\
         goodput_min = 0.9\n",
    )
    .unwrap();
    let unmet: Vec<String> = expectation
        .check(&summary())
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_json_snapshot!(unmet);
}

#[test]
fn unknown_limit_is_rejected() {
    assert!(expect::decode("[all]\np98_ms_max = 1.0").is_err());
}

#[test]
fn outcome_files_are_valid() {
    for user in ["kestrel", "prairie"] {
        let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/outcomes");
        expect::load(format!("{directory}/{user}.toml").as_ref()).unwrap();
    }
}

#[test]
fn comparison_is_with_the_first_report() {
    let mut first = summary();
    let mut second = summary();
    first.label = "direct".to_owned();
    second.label = "owners".to_owned();
    second.all.p99_ms /= 2.0;
    second.all.coverage = 1.0;
    first.all.wasted_load = 0.0;
    insta::assert_snapshot!(compare::render(&[first, second]));
}

#[test]
fn reports_are_read_from_among_other_lines() {
    let text = format!("starting\n{{\"other\": 1}}\n{}\n", summary().json());
    assert_eq!(read::decode(&text).unwrap(), [summary()]);
    assert!(read::decode("starting").is_err());
}

#[test]
fn variation_is_parsed_or_rejected() {
    let vary: sweep::Variation = "rate=50,100".parse().unwrap();
    assert_eq!((vary.name.as_str(), vary.values.len()), ("rate", 2));
    for text in ["rate", "=50", "rate=", "rate=50,,60"] {
        assert_eq!(
            text.parse::<sweep::Variation>(),
            Err(sweep::Error::Variation)
        );
    }
}

#[test]
fn plot_shows_every_report() {
    let mut summaries = [summary(), summary(), Summary::default()];
    summaries[1].label = "hedged".to_owned();
    let path = std::env::temp_dir().join(format!("bench-plot-{}.svg", std::process::id()));
    plot::run(&summaries, &path).unwrap();
    let svg = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    for text in ["run 1", "hedged", "coverage", "extra load", "percentile"] {
        assert!(svg.contains(text), "{text} is missing");
    }
}

//! Tests of the trace generator and decoder.

use bench::trace::{
    self,
    generate::{
        self,
        Plan, //
    },
    profile::User,
    Retry,
    Trace, //
};

fn counts(trace: &Trace) -> Vec<String> {
    let templates = trace.header.user.templates();
    let count = |target: &str| {
        let sent = trace
            .arrivals
            .iter()
            .filter(|arrival| &*arrival.target == target);
        format!("{target} {}", sent.count())
    };
    templates
        .iter()
        .map(|template| count(template.target))
        .collect()
}

#[test]
fn generator_is_deterministic_for_a_seed() {
    let plan = Plan::new(User::Kestrel, 5, 100.0, 3);
    assert_eq!(generate::run(&plan), generate::run(&plan));
    let other = Plan {
        seed: 4,
        ..plan.clone()
    };
    assert_ne!(
        generate::run(&plan).arrivals,
        generate::run(&other).arrivals
    );
}

#[test]
fn trace_round_trips() {
    for user in [User::Kestrel, User::Prairie] {
        let trace = generate::run(&Plan::new(user, 5, 100.0, 3));
        assert_eq!(
            trace::decode(trace::encode(&trace).as_bytes()).unwrap(),
            trace
        );
    }
}

#[test]
fn peak_has_more_requests_and_a_larger_urgent_share() {
    let ordinary = Plan::new(User::Prairie, 200, 50.0, 3);
    let peak = Plan {
        phases: vec!["peak".parse().unwrap()],
        ..ordinary.clone()
    };
    insta::assert_json_snapshot!([
        counts(&generate::run(&ordinary)),
        counts(&generate::run(&peak)),
    ]);
}

#[test]
fn only_requests_with_a_key_are_retried() {
    let trace = generate::run(&Plan::new(User::Kestrel, 60, 100.0, 3));
    let mut retried = trace
        .arrivals
        .iter()
        .filter(|arrival| arrival.retry != Retry::Never);
    assert!(retried.all(|arrival| arrival.key.is_some()));
    let keyed = trace
        .arrivals
        .iter()
        .filter(|arrival| arrival.key.is_some());
    assert!(keyed.clone().any(|arrival| arrival.retry == Retry::AtOnce));
    assert!(keyed
        .clone()
        .any(|arrival| arrival.retry == Retry::OnFailure));
}

#[test]
fn errors_name_the_invalid_line() {
    let header = r#"{"format":1,"user":"kestrel","seed":7,"seconds":1,"rate":1.0,"mix":"peak=1"}"#;
    let arrival = |at: u64, target: &str, key: &str| {
        format!(
            r#"{{"at_us":{at},"caller":1,"kind":"call","target":"{target}","class":"urgent","timeout_ms":1,"idempotent":false{key}}}"#
        )
    };
    let keyed = r#","key":1"#;
    let texts = [
        String::new(),
        header.replace(":1,", ":9,"),
        format!("{header}\nnonsense"),
        format!(
            "{header}\n{}\n{}",
            arrival(5, "tallyroom", keyed),
            arrival(4, "tallyroom", keyed)
        ),
        format!("{header}\n{}", arrival(5, "tallyroom", "")),
        format!("{header}\n{}", arrival(5, "../x", keyed)),
        format!(
            "{header}\n{}",
            arrival(5, "tallyroom", r#","key":1,"more":1"#)
        ),
    ];
    let errors: Vec<String> = texts
        .iter()
        .map(|text| trace::decode(text.as_bytes()).unwrap_err().to_string())
        .collect();
    insta::assert_json_snapshot!(errors);
}

#[test]
fn recorded_traces_are_valid() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/traces");
    let mut count = 0;
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path
            .extension()
            .is_some_and(|extension| extension == "jsonl")
        {
            trace::load(&path).unwrap();
            count += 1;
        }
    }
    assert_eq!(count, 2);
}

#[test]
fn decoder_accepts_or_rejects_any_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let _ = trace::decode(bytes);
    });
}

#[test]
fn decoder_accepts_or_rejects_any_changed_trace() {
    let text = trace::encode(&generate::run(&Plan::new(User::Kestrel, 1, 5.0, 3)));
    bolero::check!()
        .with_type::<(u16, u8)>()
        .for_each(|(position, byte)| {
            let mut bytes = text.clone().into_bytes();
            let position = usize::from(*position) % bytes.len();
            bytes[position] = *byte;
            if let Ok(trace) = trace::decode(&bytes) {
                assert_eq!(
                    trace::decode(trace::encode(&trace).as_bytes()).unwrap(),
                    trace
                );
            }
        });
}

//! Tests of matching requests to routes.

use std::time::Duration;

use route::{
    Gather,
    Kind,
    Limits,
    Route,
    Split,
    Table,
    Target, //
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 1,
        max_attempts: 2,
        target: Target::Service("service".into()),
    }
}

fn table() -> Table {
    let routes = vec![
        route("short", "One.example", "/a/"),
        route("long", "one.example", "/a/b/"),
        route("root", "two.example", "/"),
    ];
    Table::new(3, routes, Vec::new(), Limits::default())
}

fn find(host: &str, path: &str) -> String {
    let table = table();
    let found = table.find(host, path);
    found.map_or("none".to_owned(), |route| route.name.to_string())
}

#[test]
fn longest_prefix_of_host_is_matched() {
    insta::assert_debug_snapshot!([
        find("one.example", "/a/b/c"),
        find("one.example", "/a/bc"),
        find("ONE.example:8080", "/a/x/y/z"),
        find("one.example", "/a"),
        find("two.example", "/a/b/c"),
        find("three.example", "/a/b/c"),
        find("", ""),
    ], @r#"
    [
        "long",
        "short",
        "short",
        "none",
        "root",
        "none",
        "none",
    ]
    "#);
}

#[test]
fn split_follows_weights_over_few_requests() {
    let split = Split::new(vec![
        ("a".into(), 5.0),
        ("b".into(), 0.0),
        ("c".into(), 95.0),
    ]);
    for start in [0_u64, 17, 123_456_789] {
        let picked = |name: &str| {
            let numbers = start..start + 300;
            let hits = numbers.filter(|number| split.pick(*number).is_some_and(|to| &**to == name));
            hits.count()
        };
        assert!((12..=18).contains(&picked("a")), "{}", picked("a"));
        assert_eq!(picked("b"), 0);
    }
}

#[test]
fn split_without_positive_weight_picks_no_service() {
    assert_eq!(Split::new(vec![("a".into(), f64::NAN)]).pick(3), None);
    assert_eq!(Split::new(Vec::new()).pick(3), None);
}

#[test]
fn min_shards_rounds_up_from_share() {
    let min_shards = |shards: usize, min_share: f64| {
        let services = vec!["s".into(); shards];
        let gather = Gather {
            services,
            max_records: 5,
            min_share,
        };
        gather.min_shards()
    };
    assert_eq!(
        [
            min_shards(20, 0.9),
            min_shards(20, 0.89),
            min_shards(20, 0.75),
            min_shards(3, 0.0)
        ],
        [18, 18, 15, 1]
    );
}

#[test]
fn arbitrary_host_and_path_do_not_panic() {
    bolero::check!()
        .with_type::<(String, String)>()
        .for_each(|(host, path)| {
            table().find(host, path);
        });
}

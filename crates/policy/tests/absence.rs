//! Instances that are gone, as their neighbours find out.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use policy::absence::{
    order,
    Monitor,
    MAX_PROBES, //
};

const MIN_ABSENCE: Duration = Duration::from_secs(30);

/// Half of the instances are lost, a whole zone with adjacent names among them: each one is probed by an instance that is up, or
/// will be once the entries of those before it are gone.
#[test]
fn every_lost_instance_is_probed_by_one_that_is_up() {
    let names: Vec<String> = (0..60)
        .map(|index| format!("zone-{}-{index:02}", index / 20))
        .collect();
    let is_lost = |name: &str| name.starts_with("zone-1") || name.ends_with('7');
    let mut listed: Vec<&str> = names.iter().map(String::as_str).collect();
    for _ in 0..5 {
        let mut probed = BTreeSet::new();
        for local in listed.iter().filter(|name| !is_lost(name)) {
            for index in order(local, &listed).into_iter().take(MAX_PROBES) {
                probed.insert(listed[index]);
                if !is_lost(listed[index]) {
                    break;
                }
            }
        }
        listed.retain(|name| !(is_lost(name) && probed.contains(name)));
    }
    assert!(listed.iter().all(|name| !is_lost(name)), "{listed:?}");
}

#[test]
fn instance_is_gone_after_probes_over_the_whole_time_only() {
    let name: Arc<str> = Arc::from("one");
    let start = Instant::now();
    let gone_after = |probes: &[(u64, bool)]| {
        let mut monitor = Monitor::new(MIN_ABSENCE);
        probes
            .iter()
            .find(|(at_s, is_up)| {
                let now = start + Duration::from_secs(*at_s);
                monitor.record(&name, *is_up, now);
                monitor.gone_for(&name).is_some()
            })
            .map(|(at_s, _)| *at_s)
    };
    let every_five =
        |is_up: fn(u64) -> bool| (0..12).map(|n| (n * 5, is_up(n))).collect::<Vec<_>>();
    let results = [
        ("never up", gone_after(&every_five(|_| false))),
        ("up once", gone_after(&every_five(|n| n == 3))),
        (
            "up each fourth time",
            gone_after(&every_five(|n| n % 4 == 0)),
        ),
        // The instance that probes was paused.
        (
            "a long gap",
            gone_after(&[(0, false), (90, false), (95, false), (100, false)]),
        ),
        ("two probes", gone_after(&[(0, false), (90, false)])),
    ];
    let results = results.map(|(name, at_s)| match at_s {
        Some(at_s) => format!("{name}: gone after {at_s} s"),
        None => format!("{name}: not gone"),
    });
    insta::assert_snapshot!(results.join("\n"), @r"
    never up: gone after 30 s
    up once: gone after 50 s
    up each fourth time: not gone
    a long gap: not gone
    two probes: not gone
    ");
}

//! Tests of the state of an instance's links, from silent servers and contacts.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use insta::assert_debug_snapshot;
use policy::links::{
    choose_probes,
    Change,
    Monitor,
    State,
    Target, //
};

const MS: Duration = Duration::from_millis(1);

fn silence(monitor: &mut Monitor, server: &str) -> Change {
    monitor.record_silence(&Arc::from(server), 40)
}

/// A query goes to twenty servers of which none replies, then the links are restored.
#[test]
fn silence_of_all_servers_is_a_loss_until_the_next_contact() {
    let start = Instant::now();
    let mut monitor = Monitor::default();
    let mut changes = vec![monitor.record_contact(start)];
    let servers: Vec<String> = (0..20).map(|number| format!("s{number}")).collect();
    changes.extend(servers.iter().map(|server| silence(&mut monitor, server)));
    changes.retain(|change| *change != Change::None);
    changes.push(monitor.record_failed_probes(start + 150 * MS));
    changes.push(monitor.record_failed_probes(start + 400 * MS));
    changes.push(monitor.record_contact(start + 12_000 * MS));
    assert_debug_snapshot!((changes, monitor.state(), monitor.silent()), @r"
    (
        [
            Suspected,
            Lost,
            None,
            Restored(
                11.85s,
            ),
        ],
        Sound,
        0,
    )
    ");
}

/// Replies arrive between the failures, as where servers pause or crash while others serve.
#[test]
fn silent_servers_among_others_that_reply_are_no_loss() {
    let start = Instant::now();
    let mut monitor = Monitor::default();
    for number in 0..100 {
        silence(&mut monitor, &format!("s{}", number % 20));
        monitor.record_contact(start + number * MS);
        assert_eq!(
            monitor.record_failed_probes(start + number * MS),
            Change::None
        );
    }
    assert_eq!(monitor.state(), State::Sound);
}

#[test]
fn one_silent_server_of_many_is_no_suspicion_however_often_it_fails() {
    let mut monitor = Monitor::default();
    for _ in 0..10 {
        assert_eq!(silence(&mut monitor, "s1"), Change::None);
    }
    assert_eq!(silence(&mut monitor, "s2"), Change::Suspected);
}

#[test]
fn the_only_server_is_enough_for_a_suspicion() {
    let mut monitor = Monitor::default();
    let change = monitor.record_silence(&Arc::from("s1"), 1);
    assert_eq!(change, Change::Suspected);
    assert_eq!(monitor.record_contact(Instant::now()), Change::Cleared);
}

/// A rack with all servers of one service and one of each other is down; other servers are of two zones.
#[test]
fn probes_go_to_other_services_and_zones_than_silent_servers() {
    let services = ["a", "a", "a", "b", "b", "b", "c", "c", "c", "d", "d", "d"];
    let target = |(number, service)| Target {
        service,
        zone: ["x", "y", "z"][number % 3],
        is_silent: number < 3 || number % 3 == 0,
    };
    let targets: Vec<Target<'_>> = services.into_iter().enumerate().map(target).collect();
    let rounds: Vec<Vec<usize>> = (0..3).map(|round| choose_probes(&targets, round)).collect();
    assert_eq!(rounds, [[8, 4, 10, 5], [10, 8, 4, 5], [4, 11, 7, 5]]);
    assert_eq!(choose_probes(&targets[..1], 5), [0]);
    assert_eq!(choose_probes(&[], 5), [0; 0]);
}

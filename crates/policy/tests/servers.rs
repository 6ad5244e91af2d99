//! Tests of server state: slowness, outlier ejection, expired entries, and connection shares.

use std::time::{
    Duration,
    Instant, //
};

use policy::{
    abandonment,
    expiry::{
        Outage,
        Retention, //
    },
    health::{
        Health,
        Transition, //
    },
    slowness::Tracker,
    subset::{
        self,
        Share, //
    },
};

const DRAIN: Duration = Duration::from_secs(3);
/// Shortest outage of the store in which entries expire.
const MIN_EXPIRY: Duration = Duration::from_millis(2_400);

#[test]
fn pause_does_not_raise_slowness() {
    let now = Instant::now();
    let mut tracker = Tracker::default();
    for multiple in [1.0, 0.9, 12.0, 11.0, 1.1] {
        tracker.record(now, multiple);
    }
    assert!(tracker.current(now) < 1.5, "{}", tracker.current(now));
}

#[test]
fn slowness_rises_after_three_slow_replies_and_decays() {
    let now = Instant::now();
    let mut tracker = Tracker::default();
    (0..5).for_each(|_| tracker.record(now, 1.0));
    (0..3).for_each(|_| tracker.record(now, 8.0));
    assert!(tracker.current(now) > 4.0);
    let later = now + Duration::from_secs(15);
    assert!(tracker.current(later) < 1.3, "{}", tracker.current(later));
}

#[test]
fn slowness_without_replies_is_one() {
    assert_eq!(Tracker::default().current(Instant::now()), 1.0);
}

#[test]
fn consecutive_failures_eject_for_longer_each_time() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut ejections_s = Vec::new();
    for _ in 0..40 {
        if let Transition::Ejected(until) = health.record_failure(now) {
            ejections_s.push(until.duration_since(now).as_secs());
            assert!(health.is_ejected(now));
            now = until;
            assert!(health.is_on_probation(now) && !health.is_ejected(now));
        }
    }
    assert_eq!(&ejections_s[..5], [1, 2, 4, 8, 8]);
}

#[test]
fn occasional_failures_raise_failure_ratio_without_ejection() {
    let now = Instant::now();
    let mut health = Health::default();
    for number in 0..60 {
        match number % 3 {
            0 => assert_eq!(health.record_failure(now), Transition::None),
            _ => health.record_success(),
        }
    }
    assert!(!health.is_ejected(now));
    assert!(health.failure_ratio() > 0.15, "{}", health.failure_ratio());
}

#[test]
fn health_check_starts_probation_and_success_ends_it() {
    let now = Instant::now();
    let mut health = Health::default();
    for _ in 0..3 {
        health.record_failure(now);
    }
    assert!(health.is_ejected(now));
    health.record_check_passed(now);
    assert!(!health.is_ejected(now) && health.is_on_probation(now));
    health.record_success();
    assert!(!health.is_on_probation(now));
}

#[test]
fn unreachable_server_is_ejected_at_once() {
    let now = Instant::now();
    let mut health = Health::default();
    assert!(matches!(
        health.record_unreachable(now),
        Transition::Ejected(_)
    ));
    assert!(health.is_ejected(now));
}

/// A server hangs on every request while its health check passes, which must not end each ejection early.
#[test]
fn health_check_does_not_end_repeated_ejections() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut requests = 0;
    let end = now + Duration::from_secs(20);
    while now < end {
        match health.is_ejected(now) {
            true => health.record_check_passed(now),
            false => {
                requests += 1;
                health.record_failure(now);
            }
        }
        now += Duration::from_millis(300);
    }
    // Three requests that eject the server, and one after each ejection of 1, 2, 4 and 8 seconds.
    assert!(requests <= 9, "{requests}");
}

#[test]
fn entries_expired_in_outage_keep_servers_until_reregistration() {
    let now = Instant::now();
    let mut outage = Outage::default();
    outage.record_unavailable(now);
    let available_at = now + Duration::from_secs(10);
    assert!(outage.record_available(available_at, MIN_EXPIRY));
    let retention = outage.retention(available_at, DRAIN);
    let Retention::Kept(until) = retention else {
        panic!("{retention:?}")
    };
    let kept = until - available_at;
    assert!((Duration::from_secs(2)..DRAIN).contains(&kept), "{kept:?}");
    // An entry found missing after that time was removed.
    let later = available_at + Duration::from_secs(3);
    assert!(matches!(
        outage.retention(later, DRAIN),
        Retention::LastResort(_)
    ));
}

/// Guards against a broken connection to the store that keeps a server in use whose entry was removed.
#[test]
fn outage_in_which_no_entry_expires_keeps_no_server() {
    let now = Instant::now();
    let mut outage = Outage::default();
    outage.record_unavailable(now);
    let available_at = now + MIN_EXPIRY / 2;
    assert!(outage.record_available(available_at, MIN_EXPIRY));
    let retention = outage.retention(available_at, DRAIN);
    assert!(
        matches!(retention, Retention::LastResort(_)),
        "{retention:?}"
    );
}

#[test]
fn entry_removed_without_outage_leaves_last_resort_within_drain() {
    let now = Instant::now();
    let retention = Outage::default().retention(now, DRAIN);
    let Retention::LastResort(until) = retention else {
        panic!("{retention:?}")
    };
    assert!(until < now + DRAIN);
}

#[test]
fn restart_of_whole_fleet_stays_within_accepted_connections() {
    for (accepted, instances, servers) in [
        (26, 7, 2),
        (26, 11, 2),
        (56, 67, 3),
        (62, 79, 3),
        (100, 7, 4),
        (56, 300, 3),
    ] {
        let share = subset::share(accepted, instances, servers);
        let connections = |index: usize| {
            let is_assigned =
                |position: &usize| subset::is_assigned(*position, index, servers, share);
            (0..instances).filter(is_assigned).count() * share.connections
        };
        let max_connections = (0..servers).map(connections).max().unwrap_or_default();
        let is_shared = accepted * servers >= instances;
        if is_shared && share.servers > 1 {
            assert!(
                max_connections <= accepted,
                "{max_connections} of {accepted}, {instances} instances"
            );
        }
        assert!(share.servers >= 1 && share.connections >= 1);
    }
}

#[test]
fn instances_use_equal_numbers_of_servers() {
    let share = Share {
        connections: 1,
        servers: 2,
    };
    for position in 0..9 {
        let used = (0..3).filter(|index| subset::is_assigned(position, *index, 3, share));
        assert_eq!(used.count(), 2, "instance {position}");
    }
    assert!(!subset::is_assigned(0, 0, 0, share));
}

#[test]
fn shed_requests_lower_the_rank_without_ejection() {
    let now = Instant::now();
    let mut health = Health::default();
    (0..10).for_each(|_| health.record_shed());
    assert!(!health.is_ejected(now) && health.is_unreliable());
    assert!(health.failure_ratio() > 0.7);
    (0..10).for_each(|_| health.record_success());
    assert!(!health.is_unreliable());
}

/// Half of the servers hang on a part of their requests for some seconds.
#[test]
fn abandoned_requests_end_at_once_for_a_while_after_one_without_a_reply() {
    let now = Instant::now();
    let mut tracker = abandonment::Tracker::default();
    assert_eq!(tracker.linger(now), abandonment::LINGER);
    tracker.record_silence(now);
    let in_s = |seconds| tracker.linger(now + Duration::from_secs(seconds));
    assert_eq!(
        [0, 2, 4].map(in_s),
        [Duration::ZERO, Duration::ZERO, abandonment::LINGER]
    );
}

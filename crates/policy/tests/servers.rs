//! What is known of a server: its slowness, its failures, and what its entry says.

use std::time::{
    Duration,
    Instant, //
};

use policy::{
    health::{
        Change,
        Health, //
    },
    lapse::{
        Fate,
        Outage, //
    },
    slowness::Recent,
    subset::{
        self,
        Share, //
    },
};

const DRAIN: Duration = Duration::from_secs(3);

#[test]
fn a_pause_leaves_a_server_as_fast_as_it_was() {
    let now = Instant::now();
    let mut recent = Recent::default();
    for multiple in [1.0, 0.9, 12.0, 11.0, 1.1] {
        recent.record(now, multiple);
    }
    assert!(recent.get(now) < 1.5, "{}", recent.get(now));
}

#[test]
fn a_slow_server_is_known_after_three_answers_and_tried_again_later() {
    let now = Instant::now();
    let mut recent = Recent::default();
    (0..5).for_each(|_| recent.record(now, 1.0));
    (0..3).for_each(|_| recent.record(now, 8.0));
    assert!(recent.get(now) > 4.0);
    let later = now + Duration::from_secs(15);
    assert!(recent.get(later) < 1.3, "{}", recent.get(later));
}

#[test]
fn nothing_known_counts_as_usual() {
    assert_eq!(Recent::default().get(Instant::now()), 1.0);
}

#[test]
fn failures_in_a_row_take_a_server_out_for_longer_each_time() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut outs = Vec::new();
    for _ in 0..40 {
        if let Change::Out(until) = health.failed(now) {
            outs.push(until.duration_since(now).as_secs());
            assert!(health.is_out(now));
            now = until;
            assert!(health.is_on_trial(now) && !health.is_out(now));
        }
    }
    assert_eq!(&outs[..5], [1, 2, 4, 8, 8]);
}

#[test]
fn a_server_that_fails_now_and_then_stays_in_but_counts_as_worse() {
    let now = Instant::now();
    let mut health = Health::default();
    for number in 0..60 {
        match number % 3 {
            0 => assert_eq!(health.failed(now), Change::None),
            _ => health.served(),
        }
    }
    assert!(!health.is_out(now));
    assert!(health.share() > 0.15, "{}", health.share());
}

#[test]
fn an_answer_or_a_health_check_brings_a_server_back() {
    let now = Instant::now();
    let mut health = Health::default();
    for _ in 0..3 {
        health.failed(now);
    }
    assert!(health.is_out(now));
    health.checked(now);
    assert!(!health.is_out(now) && health.is_on_trial(now));
    health.served();
    assert!(!health.is_on_trial(now));
}

#[test]
fn what_can_not_be_reached_is_out_at_once() {
    let now = Instant::now();
    let mut health = Health::default();
    assert!(matches!(health.lost(now), Change::Out(_)));
    assert!(health.is_out(now));
}

/// Load pattern: servers hang on every request while their health check passes.
#[test]
fn a_health_check_that_said_nothing_is_not_believed_again() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut tried = 0;
    let end = now + Duration::from_secs(20);
    while now < end {
        match health.is_out(now) {
            true => health.checked(now),
            false => {
                tried += 1;
                health.failed(now);
            }
        }
        now += Duration::from_millis(300);
    }
    // Three that take it out, and one for each of the times after 1, 2, 4 and 8 seconds.
    assert!(tried <= 9, "{tried}");
}

#[test]
fn entries_that_lapsed_in_an_outage_keep_their_servers_until_they_can_be_back() {
    let now = Instant::now();
    let mut outage = Outage::default();
    outage.lost(now);
    let back = now + Duration::from_secs(10);
    assert!(outage.reached(back));
    let fate = outage.fate(back, DRAIN);
    let Fate::Kept(until) = fate else {
        panic!("{fate:?}")
    };
    let kept = until - back;
    assert!((Duration::from_secs(2)..DRAIN).contains(&kept), "{kept:?}");
    // One that is found gone after that is gone.
    let later = back + Duration::from_secs(3);
    assert!(matches!(outage.fate(later, DRAIN), Fate::LastResort(_)));
}

#[test]
fn an_entry_removed_while_the_store_is_steady_leaves_a_last_resort_within_the_drain() {
    let now = Instant::now();
    let fate = Outage::default().fate(now, DRAIN);
    let Fate::LastResort(until) = fate else {
        panic!("{fate:?}")
    };
    assert!(until < now + DRAIN);
}

#[test]
fn a_start_of_the_whole_fleet_stays_within_what_servers_accept() {
    for (accepted, instances, servers) in [
        (26, 7, 2),
        (26, 11, 2),
        (56, 67, 3),
        (62, 79, 3),
        (100, 7, 4),
        (56, 300, 3),
    ] {
        let share = subset::share(accepted, instances, servers);
        let users = |index: usize| {
            let uses = |position: &usize| subset::uses(*position, index, servers, share);
            (0..instances).filter(uses).count() * share.connections
        };
        let most = (0..servers).map(users).max().unwrap_or_default();
        let is_shared = accepted * servers >= instances;
        if is_shared && share.servers > 1 {
            assert!(
                most <= accepted,
                "{most} of {accepted}, {instances} instances"
            );
        }
        assert!(share.servers >= 1 && share.connections >= 1);
    }
}

#[test]
fn every_instance_uses_as_many_servers_as_any_other() {
    let share = Share {
        connections: 1,
        servers: 2,
    };
    for position in 0..9 {
        let used = (0..3).filter(|index| subset::uses(position, *index, 3, share));
        assert_eq!(used.count(), 2, "instance {position}");
    }
    assert!(!subset::uses(0, 0, 0, share));
}

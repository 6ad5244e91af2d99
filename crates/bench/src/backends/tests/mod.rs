//! Tests of the parts of a backend server, without a network.

mod live;

use std::time::Duration;

use config::catalog::{
    Shard,
    Snapshot, //
};
use futures_util::FutureExt;

use super::{
    hits,
    sizes,
    slots::Slots,
    snapshots::Snapshots, //
};
use crate::trace::profile::User;

#[test]
fn fleet_sizes() {
    let summary = [User::Kestrel, User::Prairie].map(|user| {
        let specs = sizes::specs(user);
        let slots: usize = specs.iter().map(|spec| spec.slots).sum();
        let connections: usize = specs.iter().map(|spec| spec.connections).sum();
        (specs.len(), slots, connections)
    });
    assert_eq!(summary, [(108, 232, 3_300), (111, 244, 2_940)]);
}

#[test]
fn replicas_are_in_different_zones() {
    for user in [User::Kestrel, User::Prairie] {
        let specs = sizes::specs(user);
        let grouped: Vec<_> = specs.iter().filter(|spec| spec.group.is_some()).collect();
        for pair in grouped.chunks(2) {
            assert_eq!(pair[0].service, pair[1].service);
            assert_ne!(pair[0].zone, pair[1].zone);
        }
    }
}

#[test]
fn hits_depend_on_shard_snapshot_and_query_only() {
    let first = hits::canonical(br#"{"query": {"b": 1, "a": 2}, "top": 10}"#);
    let again = hits::canonical(br#"{"a":2,"b":1}"#);
    assert_eq!(first, again);
    insta::assert_json_snapshot!(hits::hits("deskline-00", 1, &first)[..2]);
    let other = hits::hits("deskline-00", 2, &first);
    assert_ne!(hits::hits("deskline-00", 1, &first), other);
}

#[test]
fn slots_are_granted_in_order_and_a_full_queue_refuses() {
    let slots = Slots::new(1, 2);
    let granted = |receiver: &mut futures_channel::oneshot::Receiver<_>| receiver.now_or_never();
    let mut first = slots.acquire().expect("a slot");
    let permit = granted(&mut first).expect("granted").expect("a permit");
    let mut second = slots.acquire().expect("a queued request");
    let mut third = slots.acquire().expect("a queued request");
    assert!(slots.acquire().is_none(), "the queue is full");
    drop(permit);
    let permit = granted(&mut second).expect("granted").expect("a permit");
    assert!(granted(&mut third).is_none(), "the slot is in use");
    drop(third);
    drop(permit);
    let mut last = slots.acquire().expect("a slot");
    assert!(
        granted(&mut last).is_some(),
        "a cancelled waiter gets no slot"
    );
}

#[test]
fn a_server_switches_from_one_snapshot_to_the_next() {
    let snapshot = |number, name: &str| Snapshot {
        number,
        shards: vec![Shard {
            name: name.into(),
            service: "desk-00".into(),
        }],
    };
    let mut snapshots = Snapshots::default();
    snapshots.load("desk-00", &snapshot(1, "x"));
    let before = (
        snapshots.numbers(),
        snapshots.find(1, "x"),
        snapshots.find(1, "y"),
    );
    let later = Duration::from_secs(3_600);
    snapshots.switch("desk-00", &snapshot(2, "y"), Duration::ZERO, later);
    let both = (
        snapshots.numbers(),
        snapshots.find(2, "y"),
        snapshots.find(2, "x"),
    );
    snapshots.switch("desk-00", &snapshot(3, "z"), Duration::ZERO, Duration::ZERO);
    let after = (
        snapshots.numbers(),
        snapshots.find(3, "z"),
        snapshots.find(1, "x"),
    );
    insta::assert_debug_snapshot!((before, both, after));
}

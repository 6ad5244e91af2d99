//! Precedence of records and size of messages.

use std::time::Instant;

use bolero::check;
use prost::Message as _;
use wire::{
    GossipMessage,
    Member,
    State,
    SyncReply,
    Versions, //
};

use super::Table;
use crate::heartbeat::MAX_UPDATES;

fn record(index: usize, incarnation: u64, state: State) -> Member {
    Member {
        name: format!("kestrel-entry-{index}"),
        address: format!("10.20.{}.{}:7400", index / 256, index % 256),
        zone: format!("northmere-{}", index % 8),
        incarnation,
        state: state.into(),
        presets: 1_000_000,
    }
}

fn table() -> Table {
    let local = crate::member::Member {
        name: "kestrel-entry-0".into(),
        address: "10.20.0.0:7400".parse().expect("an address"),
        zone: "northmere-0".into(),
    };
    Table::new(local, 10, Instant::now())
}

fn state(number: u8) -> State {
    const STATES: [State; 5] = [
        State::Joining,
        State::Live,
        State::Suspect,
        State::Leaving,
        State::Left,
    ];
    STATES[usize::from(number) % STATES.len()]
}

#[test]
fn the_latest_record_of_a_member_wins_in_any_order() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|received| {
        let now = Instant::now();
        let mut forward = table();
        let mut backward = table();
        let initial = record(1, 0, State::Joining);
        forward.merge(&initial, now);
        backward.merge(&initial, now);
        for &(incarnation, number) in received {
            forward.merge(&record(1, incarnation.into(), state(number)), now);
        }
        for &(incarnation, number) in received.iter().rev() {
            backward.merge(&record(1, incarnation.into(), state(number)), now);
        }
        assert_eq!(forward.digest(), backward.digest());
        let highest = received.iter().map(|(incarnation, _)| *incarnation).max();
        let known = forward
            .get("kestrel-entry-1")
            .map(|known| known.incarnation);
        assert_eq!(known, Some(highest.unwrap_or_default().into()));
    });
}

#[test]
fn a_member_that_a_peer_declared_failed_is_suspected_and_notified() {
    let now = Instant::now();
    let mut table = table();
    table.merge(&record(1, 5, State::Live), now);
    table.merge(&record(1, 5, State::Failed), now);
    table.merge(&record(1, 5, State::Failed), now);
    let updates = table.updates(Some("kestrel-entry-1"), MAX_UPDATES);
    let known = table.get("kestrel-entry-1").map(|known| known.state);
    assert_eq!(known, Some(State::Suspect));
    assert_eq!(updates, [record(1, 5, State::Suspect)]);
    table.merge(&record(1, 6, State::Live), now);
    let known = table.get("kestrel-entry-1").map(|known| known.state);
    assert_eq!(known, Some(State::Live));
}

#[test]
fn an_instance_refutes_records_of_itself() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|received| {
        let now = Instant::now();
        let mut table = table();
        table.announce(State::Live, now);
        for &(incarnation, number) in received {
            let reported = record(0, incarnation.into(), state(number));
            table.merge(&reported, now);
            let mut peer = peer_table();
            peer.merge(&reported, now);
            peer.merge(&table.local().to_wire(), now);
            let known = peer.get("kestrel-entry-0").map(|known| known.state);
            assert_eq!(known, Some(table.local().state));
            assert!(matches!(table.local().state, State::Live | State::Leaving));
        }
    });
}

fn peer_table() -> Table {
    let local = crate::member::Member {
        name: "kestrel-entry-1".into(),
        address: "10.20.0.1:7400".parse().expect("an address"),
        zone: "northmere-1".into(),
    };
    Table::new(local, 10, Instant::now())
}

#[test]
fn heartbeat_size_is_bounded_in_a_fleet_of_any_size() {
    let sizes: Vec<String> = [7, 50, 200, 520].map(sizes).into();
    insta::assert_snapshot!(sizes.join("\n"));
}

/// Returns the encoded sizes of the messages in a fleet of `members`, in bytes.
fn sizes(members: usize) -> String {
    let now = Instant::now();
    let mut table = table();
    for index in 1..members {
        table.merge(&record(index, 1_760_000_000_000, State::Live), now);
    }
    let message = |members| GossipMessage {
        sender: Some(record(0, 1_760_000_000_000, State::Live)),
        members,
        versions: Some(Versions {
            presets: 1_000_000,
            catalog: 1_000_000,
            marks: 1_000_000,
        }),
        digest: u64::MAX,
        platform_age_ms: 5_000,
    };
    let complete = SyncReply {
        documents: Vec::new(),
        members: table.records().map(|record| record.to_wire()).collect(),
    };
    let busy = message(table.updates(None, MAX_UPDATES)).encoded_len();
    while !table.updates(None, MAX_UPDATES).is_empty() {}
    let quiet = message(table.updates(None, MAX_UPDATES)).encoded_len();
    format!(
        "{members} members: heartbeat {quiet} quiet, {busy} busy; whole table {}",
        complete.encoded_len()
    )
}

//! The value of a partition: its size, its floor and whatever else stands in its place.

use ledger::{
    key::Key,
    object::{
        Entry,
        Object,
        State,
        CLAIMS_MAX,
        PAYLOADS_MAX,
        PAYLOAD_MAX,
        VALUE_MAX, //
    },
};

/// A time of day, in milliseconds since the Unix epoch.
const NOW_MS: u64 = 1_800_000_000_000;
const MINUTE_MS: u64 = 60_000;
/// Changes that go into one write after the last check of the size.
const BATCH: u64 = 512;

fn key(unix_ms: u64, number: u64) -> Key {
    let time = format!("{unix_ms:012x}");
    let text = format!("{}-{}-7000-8000-{number:012x}", &time[..8], &time[8..]);
    Key::parse(&text, unix_ms).expect("a key")
}

fn entry(state: State) -> Entry {
    Entry {
        fingerprint: "0123456789abcdef".into(),
        state,
    }
}

fn claimed(number: u64) -> Entry {
    let name = "n".repeat(64);
    entry(State::Claimed {
        by: format!("{name}-0123456789abcdef-{number:x}").into(),
        at_ms: NOW_MS,
    })
}

#[test]
fn a_partition_has_this_form() {
    let mut object = Object::default();
    let answer = State::done(200, "booking-desk-a", b"{\"held\":true}");
    let states = [answer, State::Unknown, State::NotRun, State::Void];
    object.insert(&key(NOW_MS, 0), claimed(7));
    for (number, state) in (1..).zip(states) {
        object.insert(&key(NOW_MS + number * MINUTE_MS, number), entry(state));
    }
    let value = object.encode().expect("a value");
    assert_eq!(Object::decode(value.get()), Ok(object.clone()));
    insta::assert_json_snapshot!(object);
}

#[test]
fn a_full_partition_has_room_for_every_outcome() {
    let mut object = Object::default();
    let mut number = 0;
    let mut size = 0;
    while size < CLAIMS_MAX {
        for _ in 0..BATCH {
            number += 1;
            object.insert(&key(NOW_MS, number), claimed(number));
        }
        size = object.encode().expect("a value").get().len();
    }
    let payload = "\"".repeat(PAYLOAD_MAX);
    for number in 1..=number {
        let state = State::done(u32::MAX, &"s".repeat(100), payload.as_bytes());
        object.insert(&key(NOW_MS, number), entry(state));
        if number % BATCH == 0 {
            let size = object.encode().expect("a value").get().len();
            assert!(size <= VALUE_MAX);
        }
    }
}

#[test]
fn the_oldest_payloads_go_first() {
    let mut object = Object::default();
    let payload = "x".repeat(PAYLOAD_MAX);
    let count = (PAYLOADS_MAX / PAYLOAD_MAX) as u64 + 10;
    for number in 0..count {
        let state = State::done(200, "a", payload.as_bytes());
        object.insert(&key(NOW_MS + number, number), entry(state));
    }
    let value = object.encode().expect("a value");
    assert!(value.get().len() <= PAYLOADS_MAX);
    let has_payload = |number| {
        let entry = object.get(&key(NOW_MS + number, number));
        matches!(
            entry.map(|entry| &entry.state),
            Some(State::Done {
                payload: Some(_),
                ..
            })
        )
    };
    assert!(!has_payload(0));
    assert!(has_payload(count - 1));
}

#[test]
fn a_long_payload_or_one_that_is_not_text_is_kept_as_its_hash() {
    for payload in [vec![b'x'; PAYLOAD_MAX + 1], vec![0xff]] {
        let state = State::done(200, "a", &payload);
        assert!(matches!(state, State::Done { payload: None, .. }));
    }
}

#[test]
fn the_floor_rises_over_the_buckets_that_are_dropped() {
    let mut object = Object::default();
    let (old, new) = (key(NOW_MS, 0), key(NOW_MS + 16 * MINUTE_MS, 1));
    object.insert(&old, claimed(0));
    object.insert(&new, claimed(1));
    object.sweep(NOW_MS + 16 * MINUTE_MS);
    assert!(object.is_below_floor(&old));
    assert_eq!(object.get(&old), None);
    assert!(object.get(&new).is_some());
}

#[test]
fn a_clock_that_runs_ahead_expires_nothing() {
    let mut object = Object::default();
    let newest = key(NOW_MS, 0);
    object.insert(&newest, claimed(0));
    object.sweep(NOW_MS + 1_000 * MINUTE_MS);
    assert!(!object.is_below_floor(&newest));
    assert!(object.get(&newest).is_some());
}

#[test]
fn any_value_is_a_partition_or_refused() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        let text = format!("{{\"floor_ms\":0,\"buckets\":{{{text}}}}}");
        if let Ok(mut object) = Object::decode(&text) {
            let value = object.encode().expect("a value");
            assert_eq!(Object::decode(value.get()), Ok(object));
        }
    });
    let long = format!("{{{}}}", " ".repeat(VALUE_MAX));
    assert!(Object::decode(&long).is_err());
}

#[test]
fn any_key_is_accepted_or_refused() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        if let Ok(key) = Key::parse(&text, NOW_MS) {
            assert!(key.partition() < ledger::PARTITIONS);
        }
    });
}

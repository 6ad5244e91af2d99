//! The value of a partition: its form, its size limits, its floor, and malformed values.

use ledger::{
    key::Key,
    object::{
        Entry,
        Object,
        State,
        MAX_PAYLOAD_BYTES,
        MAX_VALUE_BYTES,
        MAX_VALUE_FOR_CLAIMS_BYTES,
        MAX_VALUE_FOR_PAYLOADS_BYTES, //
    },
};

/// A time of day, in milliseconds since the Unix epoch.
const NOW_MS: u64 = 1_800_000_000_000;
const MINUTE_MS: u64 = 60_000;
/// Number of changes in one write; the size is checked only before the write.
const BATCH_CHANGES: u64 = 512;

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
fn serialized_partition() {
    let mut object = Object::default();
    let reply = State::done(200, "booking-desk-a", b"{\"held\":true}");
    let states = [reply, State::Unknown, State::NotRun, State::Void];
    object.insert(&key(NOW_MS, 0), claimed(7));
    for (number, state) in (1..).zip(states) {
        object.insert(&key(NOW_MS + number * MINUTE_MS, number), entry(state));
    }
    let value = object.encode().expect("a value");
    assert_eq!(Object::decode(value.get()), Ok(object.clone()));
    insta::assert_json_snapshot!(object);
}

#[test]
fn full_partition_has_room_for_every_outcome() {
    let mut object = Object::default();
    let mut number = 0;
    let mut size = 0;
    while size < MAX_VALUE_FOR_CLAIMS_BYTES {
        for _ in 0..BATCH_CHANGES {
            number += 1;
            object.insert(&key(NOW_MS, number), claimed(number));
        }
        size = object.encode().expect("a value").get().len();
    }
    let payload = "\"".repeat(MAX_PAYLOAD_BYTES);
    for number in 1..=number {
        let state = State::done(u32::MAX, &"s".repeat(100), payload.as_bytes());
        object.insert(&key(NOW_MS, number), entry(state));
        if number % BATCH_CHANGES == 0 {
            let size = object.encode().expect("a value").get().len();
            assert!(size <= MAX_VALUE_BYTES);
        }
    }
}

#[test]
fn oldest_payloads_are_dropped_first() {
    let mut object = Object::default();
    let payload = "x".repeat(MAX_PAYLOAD_BYTES);
    let count = (MAX_VALUE_FOR_PAYLOADS_BYTES / MAX_PAYLOAD_BYTES) as u64 + 10;
    for number in 0..count {
        let state = State::done(200, "a", payload.as_bytes());
        object.insert(&key(NOW_MS + number, number), entry(state));
    }
    let value = object.encode().expect("a value");
    assert!(value.get().len() <= MAX_VALUE_FOR_PAYLOADS_BYTES);
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
fn long_or_binary_payload_is_recorded_as_its_hash() {
    for payload in [vec![b'x'; MAX_PAYLOAD_BYTES + 1], vec![0xff]] {
        let state = State::done(200, "a", &payload);
        assert!(matches!(state, State::Done { payload: None, .. }));
    }
}

#[test]
fn sweep_raises_the_floor_over_dropped_buckets() {
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
fn clock_running_ahead_expires_nothing() {
    let mut object = Object::default();
    let newest = key(NOW_MS, 0);
    object.insert(&newest, claimed(0));
    object.sweep(NOW_MS + 1_000 * MINUTE_MS);
    assert!(!object.is_below_floor(&newest));
    assert!(object.get(&newest).is_some());
}

#[test]
fn any_value_is_decoded_or_rejected() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        let text = format!("{{\"floor_ms\":0,\"buckets\":{{{text}}}}}");
        if let Ok(mut object) = Object::decode(&text) {
            let value = object.encode().expect("a value");
            assert_eq!(Object::decode(value.get()), Ok(object));
        }
    });
    let long = format!("{{{}}}", " ".repeat(MAX_VALUE_BYTES));
    assert!(Object::decode(&long).is_err());
}

#[test]
fn any_key_is_accepted_or_rejected() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        if let Ok(key) = Key::parse(&text, NOW_MS) {
            assert!(key.partition() < ledger::PARTITIONS);
        }
    });
}

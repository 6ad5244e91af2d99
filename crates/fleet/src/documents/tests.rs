//! Documents in any order, good and bad.

use bolero::check;

use super::{
    Documents,
    Invalid, //
};

const GOOD: &[u8] = br#"{"in_force": "a", "presets": {"a": {}}}"#;

fn bad(kind: u8) -> &'static [u8] {
    match kind % 4 {
        0 => b"{",
        1 => br#"{"in_force": "b", "presets": {"a": {}}}"#,
        2 => br#"{"in_force": "a", "presets": {"a": {"hedge_budget": 9.0}}}"#,
        _ => br#"{"in_force": "a", "presets": {"a": {"surprise": 1}}}"#,
    }
}

#[test]
fn the_highest_good_version_seen_is_in_force_and_no_step_reverts() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut documents = Documents::default();
        let mut highest = 0;
        for &(version, kind) in steps {
            let version = u64::from(version);
            let before = documents.view().versions.presets;
            // A version has one body: every third one is bad.
            let body = match version % 3 {
                0 => bad(kind),
                _ => GOOD,
            };
            if body == GOOD {
                highest = highest.max(version);
            }
            let _ = documents.apply("presets", version, body);
            assert!(documents.view().versions.presets >= before);
        }
        assert_eq!(documents.view().versions.presets, highest);
        assert_eq!(documents.versions().presets, highest);
    });
}

#[test]
fn each_fault_of_a_document_is_named_and_the_one_in_force_stays() {
    let mut documents = Documents::default();
    assert_eq!(documents.apply("presets", 1, GOOD), Ok(true));
    let faults: Vec<Invalid> = (0..4)
        .filter_map(|kind| {
            let version = u64::from(kind) + 2;
            documents.apply("presets", version, bad(kind)).err()
        })
        .collect();
    let strange = documents.apply("surprise", 9, GOOD).err();
    insta::assert_debug_snapshot!((
        faults,
        strange,
        documents.view().versions,
        documents.refused()
    ));
}

#[test]
fn a_refused_version_is_not_asked_for_again_and_an_older_good_one_is() {
    let mut documents = Documents::default();
    let _ = documents.apply("presets", 5, bad(0));
    let offer = |presets| wire::Versions {
        presets,
        ..wire::Versions::default()
    };
    assert!(!documents.is_behind(&offer(5)));
    assert!(documents.is_behind(&offer(3)));
    assert_eq!(documents.apply("presets", 3, GOOD), Ok(true));
}

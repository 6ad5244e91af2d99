//! Valid and invalid documents in any order.

use bolero::check;

use super::{
    Documents,
    Invalid, //
};

const VALID: &[u8] = br#"{"in_force": "a", "presets": {"a": {}}}"#;

fn invalid(kind: u8) -> &'static [u8] {
    match kind % 4 {
        0 => b"{",
        1 => br#"{"in_force": "b", "presets": {"a": {}}}"#,
        2 => br#"{"in_force": "a", "presets": {"a": {"hedge_budget": 9.0}}}"#,
        _ => br#"{"in_force": "a", "presets": {"a": {"surprise": 1}}}"#,
    }
}

#[test]
fn the_highest_valid_version_is_in_force_and_versions_never_decrease() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut documents = Documents::default();
        let mut highest = 0;
        for &(version, kind) in steps {
            let version = u64::from(version);
            let before = documents.view().versions.presets;
            // Each version always has the same validity; every third one is invalid.
            let body = match version % 3 {
                0 => invalid(kind),
                _ => VALID,
            };
            if body == VALID {
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
fn invalid_documents_are_refused_and_the_one_in_force_stays() {
    let mut documents = Documents::default();
    assert_eq!(documents.apply("presets", 1, VALID), Ok(true));
    let faults: Vec<Invalid> = (0..4)
        .filter_map(|kind| {
            let version = u64::from(kind) + 2;
            documents.apply("presets", version, invalid(kind)).err()
        })
        .collect();
    let unknown = documents.apply("surprise", 9, VALID).err();
    insta::assert_debug_snapshot!((
        faults,
        unknown,
        documents.view().versions,
        documents.refused()
    ));
}

#[test]
fn a_refused_version_is_not_fetched_again_but_an_older_valid_one_is() {
    let mut documents = Documents::default();
    let _ = documents.apply("presets", 5, invalid(0));
    let offer = |presets| wire::Versions {
        presets,
        ..wire::Versions::default()
    };
    assert!(!documents.is_behind(&offer(5)));
    assert!(documents.is_behind(&offer(3)));
    assert_eq!(documents.apply("presets", 3, VALID), Ok(true));
}

//! Valid and invalid preset files.

use config::{
    file::{
        parse,
        Format, //
    },
    preset::Class,
    Preset, //
};

fn faults(text: &str, format: Format) -> String {
    let faults = parse(text, format).expect_err("a fault");
    let lines = faults.iter().map(ToString::to_string);
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn every_field_has_a_default() {
    assert_eq!(parse("", Format::Toml), Ok(Preset::default()));
    assert_eq!(parse("{}", Format::Json), Ok(Preset::default()));
    let classes = parse("[classes]\nstoryhook = \"urgent\"", Format::Toml);
    assert_eq!(classes.expect("a preset").class("storyhook"), Class::Urgent);
}

#[test]
fn faults_state_line_field_and_range() {
    let toml = [
        "deadline_ms = 5\nqueue = 20_000\nhedge_budget = nan",
        "deadline_ms = 100\nqueue = \"many\"",
        "\ndeadline = 100",
        "queue = -1",
        "queue =",
        "[classes]\nstoryhook = \"first\"",
    ];
    let json = [
        "{\"deadline_ms\": 5}",
        "{\n  \"queue\": \"many\"\n}",
        "{\n  \"deadline\": 100\n}",
        "{\"queue\": 1",
        "[]",
    ];
    let toml = toml.map(|text| format!("{text:?}\n{}", faults(text, Format::Toml)));
    let json = json.map(|text| format!("{text:?}\n{}", faults(text, Format::Json)));
    insta::assert_snapshot!([toml.join("\n\n"), json.join("\n\n")].join("\n\n"));
}

#[test]
fn a_long_file_is_refused() {
    let text = "#".repeat(config::file::MAX_FILE_BYTES + 1);
    assert!(parse(&text, Format::Toml).is_err());
}

#[test]
fn any_text_parses_to_a_valid_preset_or_reports_a_fault() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        for format in [Format::Toml, Format::Json] {
            match parse(&text, format) {
                Ok(preset) => assert!(config::file::check(&preset).is_empty()),
                Err(faults) => assert!(!faults.is_empty()),
            }
        }
    });
}

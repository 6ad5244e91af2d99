//! Tests for the validation of `serve`'s settings.

use tanageryoke::configs::serve::{
    Flags,
    Settings, //
};

fn valid_flags() -> Flags {
    Flags {
        name: Some("desk-1".into()),
        zone: Some("north-a".into()),
        platform: Some("127.0.0.1:9000".into()),
        ..Flags::default()
    }
}

fn show(flags: Flags) -> String {
    match Settings::read(flags) {
        Ok(settings) => format!("{settings:#?}"),
        Err(faults) => faults
            .iter()
            .map(|fault| format!("{fault}\n"))
            .collect::<String>(),
    }
}

#[test]
fn missing_settings_have_defaults() {
    insta::assert_snapshot!(show(valid_flags()));
}

#[test]
fn all_faults_are_reported_together() {
    let flags = Flags {
        name: Some("a name".into()),
        listen: Some("localhost".into()),
        platform_timeout: Some("3 fortnights".into()),
        seed_peer: vec!["127.0.0.1:1".into(), "nowhere".into()],
        heartbeat: Some("1ms".into()),
        body_max: Some("12".into()),
        log_format: Some("xml".into()),
        log_level: Some("=,=".into()),
        ..Flags::default()
    };
    insta::assert_snapshot!(show(flags));
}

#[test]
fn the_peer_address_defaults_to_the_peer_listener() {
    let flags = Flags {
        peer_listen: Some("10.0.0.7:9901".into()),
        ..valid_flags()
    };
    let settings = Settings::read(flags).expect("valid settings");
    assert_eq!(settings.peer_address.to_string(), "10.0.0.7:9901");
}

#[test]
fn arbitrary_values_do_not_panic() {
    bolero::check!()
        .with_type::<(String, String, String, String)>()
        .for_each(|(name, address, duration, number)| {
            let flags = Flags {
                name: Some(name.clone()),
                zone: Some(name.clone()),
                listen: Some(address.clone()),
                platform: Some(address.clone()),
                seed_peer: vec![address.clone()],
                heartbeat: Some(duration.clone()),
                platform_timeout: Some(duration.clone()),
                body_max: Some(number.clone()),
                log_level: Some(name.clone()),
                ..Flags::default()
            };
            let _ = Settings::read(flags);
        });
}

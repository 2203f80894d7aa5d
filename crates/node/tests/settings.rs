//! The settings reader: defaults, errors and arbitrary text.

use std::{path::Path, time::Duration};

use comfreyway_node::settings::{Platform, Settings, default_file};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rstest::rstest;

const HOST: &str = "[host]\nname = a\ndata-centre = almaty\n";

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, Path::new("a.ini")).map_err(|e| e.to_string())
}

#[test]
fn default_file_is_valid_and_equals_the_defaults() {
    let from_file = parse(&default_file()).unwrap();
    let from_defaults = parse("[host]\nname = example\ndata-centre = example\n").unwrap();
    assert_eq!(from_file, from_defaults);
    assert_eq!(from_file.limits.body_timeout, Duration::from_secs(10));
    assert_eq!(from_file.limits.max_body_bytes, 4 << 20);
    assert_eq!(from_file.limits.stop_timeout, None);
}

#[test]
fn values_are_read() {
    let text = format!(
        "{HOST}workers = 3\n[platform]\nkind = store\nconfiguration = own\n\
         store = 127.0.0.1:3\n[peers]\nb = 127.0.0.1:4\n[limits]\nstop-limit = 5m\n"
    );
    let settings = parse(&text).unwrap();
    assert_eq!(settings.workers, 3);
    assert_eq!(settings.peers.len(), 1);
    assert_eq!(settings.limits.stop_timeout, Some(Duration::from_secs(300)));
    assert_eq!(settings.platform, Platform::ClassStore { store: "127.0.0.1:3".parse().unwrap() });
}

#[rstest]
#[case::unknown_section("[hosts]\nname = a\n", "a.ini:4: [hosts]: unknown; expected one of")]
#[case::unknown_key("[limits]\nbody = 1\n", "a.ini:5: [limits] body: unknown; expected one of")]
#[case::bad_number("workers = 0\n", "a.ini:4: [host] workers: bad value \"0\"")]
#[case::section_twice("[host]\nworkers = 1\n", "a.ini:4: [host]: given twice")]
#[case::bad_size("[limits]\nbody-bytes = 4MB\n", "a.ini:5: [limits] body-bytes: bad value")]
#[case::huge_size("[limits]\nbody-bytes = 99999999999GiB\n", "a.ini:5: [limits] body-bytes")]
#[case::bad_duration("[limits]\nbody-time = 5\n", "a.ini:5: [limits] body-time: bad value \"5\"")]
#[case::host_name("[listen]\ncallers = localhost:80\n", "a.ini:5: [listen] callers: bad value")]
#[case::bad_peer("[peers]\nb = 10.0.0.1\n", "a.ini:5: [peers] b: bad value \"10.0.0.1\"")]
#[case::duplicate("[limits]\nbody-time = 5s\nbody-time = 6s\n", "[limits] body-time: given twice")]
#[case::no_store("[platform]\nkind = store\n", "[platform] store: bad value \"\"")]
#[case::unknown_configuration(
    "[platform]\nkind = store\nconfiguration = x\n",
    "configuration: bad value \"x\""
)]
#[case::bad_kind("[platform]\nkind = zoo\n", "a.ini:5: [platform] kind: bad value \"zoo\"")]
#[case::missing_file("[security]\nsecret-file = nowhere/x\n", "a.ini:5: [security] secret-file")]
#[case::no_secret("[listen]\npeers = 10.0.0.1:1\n", "[security] secret-file: bad value \"\"")]
#[case::peer_needs_secret("[peers]\nb = 10.0.0.1:1\n", "[security] secret-file: bad value \"\"")]
#[case::syntax("no equals sign\n", "a.ini:")]
fn errors_name_file_line_key_and_expected_value(#[case] rest: &str, #[case] message: &str) {
    let error = parse(&format!("{HOST}{rest}")).unwrap_err();
    assert!(error.contains(message), "{error}");
    assert!(error.contains("expected"), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
}

#[test]
fn missing_required_keys_are_reported() {
    let error = parse("[host]\ndata-centre = almaty\n").unwrap_err();
    assert!(error.starts_with("a.ini:1: [host] name: missing; expected a name"), "{error}");
}

#[test]
fn reader_never_panics() {
    let line = prop_oneof![
        "\\PC{0,20}",
        "\\[[a-z\\]\\[]{0,9}\\]?",
        "(name|workers|body-bytes|callers|kind) ?[=:] ?[a-z0-9:.\"\\\\]{0,12}",
        Just("[host]".to_owned()),
        Just("[limits]".to_owned()),
    ];
    let text = prop::collection::vec(line, 0..12).prop_map(|lines| lines.join("\n"));
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&text, |text| {
            if let Err(error) = parse(&text) {
                prop_assert!(error.contains("expected"), "{}", error);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn settings_page_lists_every_key_with_its_default() {
    let page = include_str!("../../../docs/operators/settings.md");
    for spec in comfreyway_node::settings::KEYS {
        let default = match spec.default {
            None => "required".to_owned(),
            Some("") => "empty".to_owned(),
            Some(default) => format!("`{default}`"),
        };
        let row = format!("| `{}` | `{}` | {default} |", spec.section, spec.key);
        assert!(page.contains(&row), "{row}");
    }
}

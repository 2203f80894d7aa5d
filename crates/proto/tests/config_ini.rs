//! INI format of the configuration: round trip, error messages, no panic.

#![allow(clippy::unwrap_used)]

use comfreyway_proto::ini::{read, write};
use proptest::{prelude::*, test_runner::TestRng};
use rstest::rstest;

const FLEET: &str = "\
[class quote]
tier = 0
first-token = 1300ms
between-tokens = 76ms
idempotent = no

[class review]
tier = 1
whole-answer = 2m

[data-centre derwent-a]
region = hobart

[model rackdesk]
upstream = rackdesk-model

[upstream rackdesk-model]
kind = engine
checks-fencing = yes

[runner rackdesk-model r1]
address = 10.0.0.1:9000
data-centre = derwent-a

[upstream portal]
kind = service

[runner portal p1]
address = 10.0.0.2:9000
data-centre = derwent-a
leaving = yes

[route /portal]
upstream = portal
class = review

[workspace library]
note = State library; quotes = \"by phone\"
";

#[test]
fn written_document_reads_back_equal() {
    let document = read(FLEET).unwrap();
    assert_eq!(document.validate(), []);
    assert_eq!(read(&write(&document)).unwrap(), document);
    let library = &document.workspaces[&"library".parse().unwrap()];
    assert_eq!(library.note, "State library; quotes = \"by phone\"");
}

#[rstest]
#[case::kind("[clas quote]\ntier = 0\n", "line 1: [clas quote]: unknown section")]
#[case::no_section("tier = 0\n", "line 1: [tier]: unknown section")]
#[case::name("\n[class a!b]\ntier = 0\nwhole-answer = 1s\n", "line 2: [class a!b]")]
#[case::key("[class a]\ntier = 0\ntear = 1\n", "[class a] tear: unknown")]
#[case::key_twice("[class a]\ntier = 0\ntier = 1\n", "[class a] tier: unknown or given twice")]
#[case::section_twice("[workspace a]\n\n[workspace a]\n", "line 1: [workspace a]: given twice")]
#[case::missing("[class a]\nwhole-answer = 1s\n", "[class a] tier: missing; expected a tier")]
#[case::no_target("[class a]\ntier = 0\n", "expected either whole-answer")]
#[case::two_targets(
    "[class a]\ntier = 0\nwhole-answer = 1s\nfirst-token = 1s\n",
    "expected either whole-answer"
)]
#[case::duration("[class a]\ntier = 0\nwhole-answer = 1 day\n", "bad value \"1 day\"")]
#[case::overflow("[class a]\ntier = 0\nwhole-answer = 9999999999999999h\n", "bad value")]
#[case::host_name(
    "[upstream u]\nkind = engine\n[runner u r]\naddress = localhost:1\n",
    "bad value \"localhost:1\"; expected an IP address and port"
)]
#[case::runner_without_upstream(
    "[runner u r]\naddress = 10.0.0.1:1\ndata-centre = d\n",
    "line 1: [runner u r]: unknown section; expected the section [upstream u] as well"
)]
#[case::flag("[upstream u]\nkind = engine\nresumes = true\n", "expected yes or no")]
fn error_names_line_place_and_expected_value(#[case] text: &str, #[case] message: &str) {
    let error = read(text).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}

/// Generates files from lines of a valid file in any order, mixed with other
/// text.
fn mixed_file() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        4 => proptest::sample::select(FLEET.lines().collect::<Vec<_>>()).prop_map(str::to_owned),
        1 => any::<String>(),
        1 => "[\\[\\]=;#a-z0-9 ]{0,12}",
    ];
    prop::collection::vec(line, 0..24).prop_map(|lines| lines.join("\n"))
}

#[test]
fn reader_does_not_panic_on_any_text() {
    let config = ProptestConfig { cases: 4_096, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config, rng);
    let result = runner.run(&mixed_file(), |text| {
        if let Ok(document) = read(&text) {
            let valid = document
                .validate()
                .iter()
                .all(|f| f.severity == comfreyway_core::config::Severity::Warning);
            if valid {
                prop_assert_eq!(read(&write(&document)).unwrap(), document);
            }
        }
        Ok(())
    });
    result.unwrap();
}

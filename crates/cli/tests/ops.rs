//! Changes of one element, tables, and the exit codes of failures.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use comfreyway_cli::{
    CliError, Exit,
    ops::{Client, remove_section, set_section},
    output::Table,
};
use comfreyway_core::config::Document;
use comfreyway_proto::ini::read;
use rstest::rstest;

fn fleet() -> Document {
    let text = "[class quote]\ntier = 0\nfirst-token = 1s\nbetween-tokens = 76ms\n\
                [data-centre medeu]\nregion = almaty\n[upstream llm]\nkind = engine\n\
                [runner llm r1]\naddress = 10.0.0.1:1\ndata-centre = medeu\n";
    read(text).unwrap()
}

fn set(section: &str, assignments: &[&str]) -> Result<Document, CliError> {
    let assignments: Vec<_> = assignments.iter().map(|&text| text.to_owned()).collect();
    set_section(&fleet(), section, &assignments)
}

#[rstest]
#[case::changed("class quote", &["tier=2"])]
#[case::other_target("class quote", &["whole-answer=2s"])]
#[case::added("class triage", &["tier=1", "whole-answer=2s"])]
#[case::note("workspace lab", &["note=State library = Hobart"])]
#[case::runner("runner llm r2", &["address=10.0.0.2:1", "data-centre=medeu"])]
#[case::key_removed("runner llm r1", &["leaving="])]
fn set_changes_at_most_one_element(#[case] section: &str, #[case] assignments: &[&str]) {
    let edits = fleet().diff(&set(section, assignments).unwrap());
    assert!(edits.iter().all(|edit| edit.key().to_string() == section), "{edits:?}");
    assert!(edits.len() <= 1);
}

#[rstest]
#[case::no_value("class quote", &["tier"], "write it as key=value")]
#[case::unknown_key("class quote", &["tear=1"], "[class quote] tear: unknown")]
#[case::bad_value("class quote", &["tier=top"], "[class quote] tier: bad value \"top\"")]
#[case::missing("class triage", &["tier=1"], "[class triage] target: missing")]
#[case::no_upstream("runner none r1", &["address=10.0.0.2:1", "data-centre=medeu"], "[upstream none]")]
fn invalid_set_names_place_and_remedy(
    #[case] section: &str,
    #[case] assignments: &[&str],
    #[case] text: &str,
) {
    let error = set(section, assignments).unwrap_err();
    assert!(error.to_string().contains(text), "{error}");
    assert_eq!(error.exit(), Exit::Usage);
}

#[test]
fn removing_an_upstream_removes_its_runners() {
    let edits = fleet().diff(&remove_section(&fleet(), "upstream llm").unwrap());
    assert_eq!(edits.len(), 1);
    assert!(remove_section(&fleet(), "class none").is_err());
}

#[test]
fn a_table_fits_eighty_columns() {
    let long = "x".repeat(200);
    let table = Table::new(&["NAME", "VERSION", "ELEMENTS"]).with_row(["a", "12", &long]);
    let text = table.with_row([long.as_str(), "7", "b"]).to_string();
    assert!(text.lines().all(|line| line.chars().count() <= 80), "{text}");
    assert!(text.contains('…'));
}

#[actix_rt::test]
async fn unreachable_daemon_error_suggests_the_server_option() {
    let server: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let error = Client::new(server, None).status().await.unwrap_err();
    assert_eq!(error.exit(), Exit::Failed);
    assert!(error.to_string().contains("--server"), "{error}");
}

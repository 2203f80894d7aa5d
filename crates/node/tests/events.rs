//! The events in the code and the catalogue in the documentation agree.

use std::collections::BTreeSet;

use comfreyway_node::events::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn every_event_has_its_row() {
    for event in Event::ALL {
        let row = format!("| {} | {} | {} |", event.code(), event.level(), event.text());
        assert!(CATALOGUE.contains(&row), "docs/EVENTS.md lacks: {row}");
    }
}

#[test]
fn every_row_has_its_event() {
    let codes: BTreeSet<_> = Event::ALL.iter().map(|event| event.code()).collect();
    assert_eq!(codes.len(), Event::ALL.len(), "two events have the same code");
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| CF"));
    let listed: BTreeSet<_> = rows.filter_map(|row| row.split(' ').nth(1)).collect();
    assert_eq!(listed, codes);
}

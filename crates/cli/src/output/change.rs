//! Output of changes.

use comfreyway_core::config::{Conflict, Element};
use comfreyway_proto::{
    ini::write_element,
    operator::{ChangeReport, ChangeState},
};

/// Prints the outcome of a change, with both values of each conflict.
pub fn print_change_report(report: &ChangeReport) {
    println!("{}: {}", report.outcome, report.text);
    println!("change {}", report.id);
    for finding in &report.findings {
        println!("  {finding}");
    }
    for conflict in &report.conflicts {
        print_conflict(conflict);
    }
}

fn print_conflict(conflict: &Conflict) {
    let Conflict { key, yours, theirs, author, change, version } = conflict;
    println!("  {key}: written by {author} as version {version}, change {change}");
    println!("    yours:  {}", one_line(yours.as_ref()));
    println!("    theirs: {}", one_line(theirs.as_ref()));
}

fn one_line(element: Option<&Element>) -> String {
    let Some(element) = element else { return "removed".to_owned() };
    let text = write_element(element);
    text.lines().skip(1).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(", ")
}

/// Prints the state of an earlier change.
pub fn print_change_state(state: &ChangeState) {
    println!("{}: {}", state.state, state.text);
    println!("change {}", state.id);
    let Some(change) = &state.change else { return };
    println!("by {}, at {} ms since the Unix epoch", change.author, change.at_ms);
    for edit in change.edits.iter().flatten() {
        println!("  {}: {}", edit.key(), one_line(edit.value()));
    }
}

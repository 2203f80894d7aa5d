//! Audit events for changes of the configuration.

use comfreyway_core::config::{Change, ChangeOutcome, Edit, Refusal};

use crate::events::{Event, log_event};

/// Largest number of elements named in one event.
const MAX_NAMED_ELEMENTS: usize = 20;

/// Logs the outcome of a change: its author, the changed elements, and the
/// versions before and after it.
pub(super) fn log_outcome(change: &Change, outcome: &ChangeOutcome) {
    let (id, author) = (change.id, change.author.as_str());
    match outcome {
        ChangeOutcome::Accepted { version, .. } => {
            log_event!(
                Event::ChangeAccepted,
                change:% = id,
                author = author,
                from = version.saturating_sub(1),
                to = *version,
                elements = elements(change)
            );
        }
        ChangeOutcome::Refused(refusal) => {
            let cause = refusal_cause(refusal);
            log_event!(Event::ChangeRefused, change:% = id, author = author, cause = cause);
        }
        ChangeOutcome::Unknown { cause, .. } => {
            log_event!(Event::ChangeUnknown, change:% = id, author = author, cause:? = cause);
        }
    }
}

fn elements(change: &Change) -> String {
    let describe = |edit: &Edit| match edit {
        Edit::Set(element) => format!("set {}", element.key()),
        Edit::Remove(key) => format!("remove {key}"),
    };
    let mut names: Vec<_> = change.edits.iter().take(MAX_NAMED_ELEMENTS).map(describe).collect();
    if change.edits.len() > MAX_NAMED_ELEMENTS {
        names.push(format!("{} more", change.edits.len() - MAX_NAMED_ELEMENTS));
    }
    names.join(", ")
}

fn refusal_cause(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Invalid(findings) => {
            findings.first().map_or_else(String::new, ToString::to_string)
        }
        Refusal::Conflict(conflicts) => {
            let keys: Vec<_> = conflicts.iter().map(|c| c.key.to_string()).collect();
            format!("conflict on {}", keys.join(", "))
        }
        Refusal::Base { base, oldest, version } => {
            format!("base {base} is not within {oldest} to {version}")
        }
    }
}

//! Reports on configuration changes for operators.

use comfreyway_core::config::{
    AcceptedConfig, Change, ChangeId, ChangeOutcome, ProposalOutcome, Refusal, UnknownCause,
};
use comfreyway_proto::operator::{ChangeOutcomeName, ChangeReport, ChangeState, ChangeStateName};

/// Returns the report of a change that was sent to the store.
pub(super) fn outcome_report(id: ChangeId, outcome: &ChangeOutcome) -> ChangeReport {
    match outcome {
        ChangeOutcome::Accepted { version, warnings, .. } => {
            let text = format!("in force from version {version} on");
            let mut report = report(id, ChangeOutcomeName::Accepted, text);
            report.version = Some(*version);
            report.findings = warnings.clone();
            report
        }
        ChangeOutcome::Refused(refusal) => refusal_report(id, refusal),
        ChangeOutcome::Unknown { cause, .. } => {
            let text = unknown_text(id, *cause);
            report(id, ChangeOutcomeName::Unknown, text)
        }
    }
}

/// Returns the report of a change that was only checked.
pub(super) fn dry_run_report(accepted: &AcceptedConfig, change: &Change) -> ChangeReport {
    let id = change.id;
    match accepted.propose(change, 0) {
        ProposalOutcome::Next { next, warnings } => {
            let text = format!("the change is valid; it would become version {}", next.version());
            let mut report = report(id, ChangeOutcomeName::Checked, text);
            report.findings = warnings;
            report
        }
        ProposalOutcome::Duplicate(version) => {
            let text = format!("accepted before as version {version}");
            report(id, ChangeOutcomeName::Checked, text)
        }
        ProposalOutcome::Unchanged(version) => {
            let text = format!("nothing to change; already in force at version {version}");
            report(id, ChangeOutcomeName::Checked, text)
        }
        ProposalOutcome::Refused(refusal) => refusal_report(id, &refusal),
    }
}

fn refusal_report(id: ChangeId, refusal: &Refusal) -> ChangeReport {
    match refusal {
        Refusal::Invalid(findings) => {
            let text = "nothing was written; fix the findings and send the change again";
            let mut report = report(id, ChangeOutcomeName::Refused, text);
            report.findings = findings.clone();
            report
        }
        Refusal::Conflict(conflicts) => {
            let text = "nothing was written; another change modified the same elements first. \
                        Compare both values, then send the change again to overwrite theirs";
            let mut report = report(id, ChangeOutcomeName::Conflict, text);
            report.conflicts = conflicts.clone();
            report
        }
        Refusal::Base { base, oldest, version } => {
            let text = format!(
                "nothing was written; the change was made for version {base}, and versions \
                 {oldest} to {version} are known here. Export the configuration and make the \
                 change again"
            );
            report(id, ChangeOutcomeName::Refused, text)
        }
    }
}

fn unknown_text(id: ChangeId, cause: UnknownCause) -> String {
    let cause = match cause {
        UnknownCause::ServiceDown => "the key-value service does not respond",
        UnknownCause::StoreBehind => {
            "the key-value service holds an older version than the one in force; it has lost data"
        }
        UnknownCause::Contention => "concurrent changes won every attempt",
        UnknownCause::BeyondHistory => "the history no longer reaches back to an earlier attempt",
    };
    format!(
        "{cause}; the change may have been accepted or not. Check later with: comfreyway change \
         show {id}. The same command with --change-id {id} is safe: it never applies twice"
    )
}

fn report<T>(id: ChangeId, outcome: ChangeOutcomeName, text: T) -> ChangeReport
where
    T: Into<String>,
{
    ChangeReport {
        id: id.to_string(),
        outcome,
        version: None,
        text: text.into(),
        findings: Vec::new(),
        conflicts: Vec::new(),
    }
}

/// Returns what is known of an earlier change. `refreshed` is true if the store
/// was read for this call.
pub(super) fn change_state(
    accepted: &AcceptedConfig,
    id: ChangeId,
    refreshed: bool,
) -> ChangeState {
    let version = accepted.version();
    let change = accepted.find(id).cloned();
    let (state, text) = match &change {
        Some(change) => {
            let text = format!("in force from version {} on", change.version);
            (ChangeStateName::Accepted, text)
        }
        None if id.base() < accepted.oldest_base() => {
            let text =
                "the history no longer reaches back to it; compare: comfreyway config export";
            (ChangeStateName::Forgotten, text.to_owned())
        }
        None if refreshed => {
            let text = format!(
                "not accepted up to version {version}. A write that is still in transit can take \
                 effect until the next change; the same command with --change-id {id} settles it"
            );
            (ChangeStateName::Absent, text)
        }
        None => {
            let text = format!(
                "not in version {version}, the last one known here; the key-value service does \
                 not respond, so its state is not known yet. Try again later"
            );
            (ChangeStateName::Absent, text)
        }
    };
    ChangeState { id: id.to_string(), state, text, change }
}

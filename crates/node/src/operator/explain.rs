//! Why a request waited, where it went, or why it was not run, in sentences.

use std::time::Duration;

use comfreyway_core::outcome::{NotRunReason, UnknownReason};

use crate::trace::{TraceEntry, TraceRecord, TraceStep};

/// The record in sentences.
pub(super) fn explain(record: &TraceRecord) -> Vec<String> {
    let limit = record.target.limit().as_millis();
    let start = format!(
        "Arrived for class {} of workspace {}, to be served by pool {} within {limit} ms.",
        record.class, record.workspace, record.pool
    );
    let steps = record.steps.iter().map(sentence);
    let open = match record.steps.last().map(|entry| &entry.step) {
        None => Some("It still waits for a runner.".to_owned()),
        Some(TraceStep::Granted(_) | TraceStep::WaitsAgain(_)) => {
            Some("It has not gone out yet.".to_owned())
        }
        Some(TraceStep::Dispatched | TraceStep::FirstByte) => Some("It is in progress.".to_owned()),
        Some(_) => None,
    };
    std::iter::once(start).chain(steps).chain(open).collect()
}

fn sentence(entry: &TraceEntry) -> String {
    let after = millis(entry.after);
    match &entry.step {
        TraceStep::Granted(runner) => format!("After {after} it was given to runner {runner}."),
        TraceStep::Dispatched => format!("After {after} it went out."),
        TraceStep::WaitsAgain(reason) => {
            format!("After {after} it went back to waiting, nothing was sent: {reason}.")
        }
        TraceStep::FirstByte => format!("After {after} the first byte of the answer came."),
        TraceStep::Repeated => {
            format!("After {after} it got the answer of an earlier request with its identity.")
        }
        TraceStep::Answered => format!("After {after} the answer was whole."),
        TraceStep::NotRun(reason) => {
            format!("After {after} it was not run: {reason}. {}", not_run_advice(*reason))
        }
        TraceStep::Unknown(reason) => {
            format!(
                "After {after} its outcome became unknown: {reason}. {}",
                unknown_advice(*reason)
            )
        }
    }
}

fn millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1_000.0)
}

fn not_run_advice(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::TargetUnreachable => {
            "The target could no longer be met; add runners or give the class more time."
        }
        NotRunReason::Shed => {
            "The pool had no capacity left for its tier; add runners or raise the class."
        }
        NotRunReason::QueueFull => "Too many requests wait; the caller should ask again later.",
        NotRunReason::NoRunner => {
            "No runner of the upstream is in use; see: comfreyway runner list."
        }
        NotRunReason::NoOwner => "No host decides for the pool; see: comfreyway host list.",
        NotRunReason::ConnectFailed => "Its runner can't be reached; look at the runner.",
        NotRunReason::Stopping => "The host was being stopped; the caller should ask another.",
        NotRunReason::NotReady => "The host has no configuration; see: comfreyway config status.",
        NotRunReason::CallerGone => "The caller left before it went out.",
        _ => "The request itself was refused; the caller was told what is wrong.",
    }
}

fn unknown_advice(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::UpstreamBroke | UnknownReason::UpstreamTimeout => {
            "The runner may have run it; look at the runner's log before it is sent again."
        }
        UnknownReason::CallerGone => "The caller left while the answer was coming.",
        UnknownReason::StopLimit => "The stop limit cut it; raise stop-limit in the settings.",
        _ => "It may have run; send it again only with the same Idempotency-Key.",
    }
}

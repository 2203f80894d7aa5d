//! Explains in sentences why a request waited, where it was sent, or why it was
//! not run.

use std::time::Duration;

use comfreyway_core::outcome::{NotRunReason, UnknownReason};

use crate::trace::{TraceEntry, TraceRecord, TraceStep};

/// Returns the trace record in sentences.
pub(super) fn explain(record: &TraceRecord) -> Vec<String> {
    let limit = record.target.limit().as_millis();
    let start = format!(
        "Arrived for class {} of workspace {}, to be served by pool {} within {limit} ms.",
        record.class, record.workspace, record.pool
    );
    let steps = record.steps.iter().map(step_sentence);
    let open = match record.steps.last().map(|entry| &entry.step) {
        None => Some("It is waiting for a runner.".to_owned()),
        Some(TraceStep::Granted(_) | TraceStep::Requeued(_)) => {
            Some("It has not been sent yet.".to_owned())
        }
        Some(TraceStep::Dispatched | TraceStep::FirstByte) => Some("It is in progress.".to_owned()),
        Some(_) => None,
    };
    std::iter::once(start).chain(steps).chain(open).collect()
}

fn step_sentence(entry: &TraceEntry) -> String {
    let after = millis(entry.after);
    match &entry.step {
        TraceStep::Granted(runner) => format!("After {after} it was assigned to runner {runner}."),
        TraceStep::Dispatched => format!("After {after} it was sent."),
        TraceStep::Requeued(reason) => {
            format!("After {after} it was requeued, nothing was sent: {reason}.")
        }
        TraceStep::FirstByte => format!("After {after} the first byte of the response arrived."),
        TraceStep::Repeated => {
            format!("After {after} it got the response to an earlier request with the same key.")
        }
        TraceStep::Answered => format!("After {after} the response was complete."),
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
        NotRunReason::QueueFull => {
            "Too many requests are queued; the caller should try again later."
        }
        NotRunReason::NoRunner => {
            "No runner of the upstream is usable; see: comfreyway runner list."
        }
        NotRunReason::NoOwner => "No host owns the pool; see: comfreyway host list.",
        NotRunReason::ConnectFailed => "Its runner can't be reached; check the runner.",
        NotRunReason::Stopping => "The host was stopping; the caller should try another host.",
        NotRunReason::NotReady => "The host has no configuration; see: comfreyway config status.",
        NotRunReason::CallerGone => "The caller disconnected before it was sent.",
        _ => "The request itself was refused; the response to the caller says why.",
    }
}

fn unknown_advice(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::UpstreamBroke | UnknownReason::UpstreamTimeout => {
            "The runner may have run it; check the runner's log before sending it again."
        }
        UnknownReason::CallerGone => "The caller disconnected before the response was complete.",
        UnknownReason::StopLimit => "A planned stop aborted it; raise stop-limit in the settings.",
        _ => "It may have run; send it again only with the same Idempotency-Key.",
    }
}

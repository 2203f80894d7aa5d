//! Why a request ended as it did.

use super::{LogLine, RequestTimeline};

/// Other lines within this time of an event may show its cause: a removed runner
/// or an unreachable store is logged within seconds.
const EVIDENCE_WINDOW_MS: u64 = 3_000;

/// Default window of the workspace quotas.
const DEFAULT_QUOTA_WINDOW_MS: u64 = 8_000;

/// A phase is the cause of a slow request if it took at least one half of its
/// time.
const DOMINANT_PHASE_DIVISOR: u64 = 2;

/// Largest number of evidence lines.
const MAX_EVIDENCE_LINES: usize = 6;

/// Outcome of a request and its cause, with the log lines that show it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cause {
    /// Outcome that the caller saw.
    pub outcome: String,
    /// The cause in one sentence.
    pub text: String,
    /// Related log lines of the hosts.
    pub evidence: Vec<String>,
}

impl Cause {
    pub(super) fn from_timeline(timeline: &RequestTimeline<'_>) -> Self {
        let end = timeline.steps.iter().rev().find(|line| {
            matches!(line.event, "CF0501" | "CF0502" | "CF0503" | "CF0508" | "CF0509")
        });
        let Some(end) = end else { return end_not_logged(timeline) };
        match end.event {
            "CF0501" => answered(timeline, end),
            "CF0502" => refused(timeline, end),
            "CF0503" => unknown(timeline, end),
            "CF0508" => stream_cut(timeline, end),
            _ => abandoned(timeline, end),
        }
    }
}

fn answered(timeline: &RequestTimeline<'_>, end: &LogLine<'_>) -> Cause {
    let ms = |name| end.number(name).unwrap_or_default();
    let (waited, first, total) = (ms("waited_ms"), ms("first_ms"), ms("total_ms"));
    let runner = end.field("runner").unwrap_or("?");
    let status = ms("status");
    let outcome = format!("answered with status {status} after {total} ms by runner {runner}");
    let retries = timeline.steps.iter().filter(|line| line.event == "CF0507").count();
    let turned_away = timeline.steps.iter().filter(|line| line.event == "CF0505").count();
    let text = if status >= 400 {
        format!("runner {runner} responded with status {status}, which was forwarded unchanged")
    } else if retries + turned_away > 0 && waited * DOMINANT_PHASE_DIVISOR >= total {
        format!(
            "{waited} of {total} ms passed before the last dispatch: {retries} retries, \
             {turned_away} rejections by runners"
        )
    } else if waited * DOMINANT_PHASE_DIVISOR >= total {
        format!("it waited {waited} of {total} ms for a slot at a runner")
    } else if first.saturating_sub(waited) * DOMINANT_PHASE_DIVISOR >= total {
        format!(
            "{} of {total} ms passed before the first chunk from runner {runner}",
            first - waited
        )
    } else {
        format!("{} of {total} ms passed after the first chunk", total.saturating_sub(first))
    };
    let mut evidence = failed_dispatches(timeline);
    evidence.extend(upstream_load(timeline, end));
    Cause { outcome, text, evidence }
}

fn refused(timeline: &RequestTimeline<'_>, end: &LogLine<'_>) -> Cause {
    let reason = end.field("reason").unwrap_or("?");
    let waited = end.number("waited_ms").unwrap_or_default();
    let mut outcome = format!("refused as {reason} after {waited} ms, not run");
    if let Some(retry) = end.number("retry_ms") {
        outcome.push_str(&format!(", retry after {retry} ms"));
    }
    let workspace = end.field("workspace").unwrap_or("?");
    let (text, evidence) = match reason {
        "over-quota" => {
            let used = dispatched_units(timeline, workspace, end);
            (
                format!("workspace {workspace} had used up its quota"),
                vec![format!(
                    "{used} units of {workspace} were dispatched in the {} s before",
                    DEFAULT_QUOTA_WINDOW_MS / 1_000
                )],
            )
        }
        "stale-configuration" => {
            let staleness = end.number("proof_ms").unwrap_or_default();
            let store = lines_near(timeline, end, |line| {
                line.source == end.source
                    && matches!(line.event, "CF0541" | "CF0534" | "CF0533" | "CF0544")
            });
            (
                format!(
                    "host {} had not verified its configuration for {staleness} ms, and a key may \
                     have been revoked",
                    end.source
                ),
                store,
            )
        }
        "turned-away" => (
            "runners turned it away and the retry budget was exhausted".to_owned(),
            failed_dispatches(timeline),
        ),
        "shed" | "target-unreachable" | "queue-full" => {
            let text = match waited {
                0 => "the backlog at its arrival could not be served before its caller gives up",
                _ => "it waited until it could no longer be served before its caller gives up",
            };
            let mut evidence = failed_dispatches(timeline);
            evidence.extend(upstream_load(timeline, end));
            evidence.extend(leaving_or_removed_runners(timeline, end));
            (text.to_owned(), evidence)
        }
        "version-unknown" | "version-gone" => {
            let text = match reason {
                "version-gone" => "no runner has the software version that began its stream",
                _ => "the software version that began its stream was not known",
            };
            (text.to_owned(), leaving_or_removed_runners(timeline, end))
        }
        "memory-limit" => {
            let text = "callers held all the memory of the host that they may, see CF0518";
            (text.to_owned(), Vec::new())
        }
        "prompt-quarantined" => {
            let text = "its prompt has a part under which runners crashed one after the other";
            (text.to_owned(), failed_dispatches(timeline))
        }
        "request-quarantined" => {
            let text = "runners crashed one after the other as they ran this request";
            (text.to_owned(), failed_dispatches(timeline))
        }
        other => (format!("the host refused it: {other}"), Vec::new()),
    };
    Cause { outcome, text, evidence }
}

fn unknown(timeline: &RequestTimeline<'_>, end: &LogLine<'_>) -> Cause {
    let reason = end.field("reason").unwrap_or("?");
    let total = end.number("total_ms").unwrap_or_default();
    let outcome = format!("may have run ({reason}), reported to its caller after {total} ms");
    let Some(runner) = end.optional_field("runner") else {
        return Cause {
            outcome,
            text: "the logs name no runner".to_owned(),
            evidence: failed_dispatches(timeline),
        };
    };
    let text = match reason {
        "upstream-timeout" => format!("runner {runner} did not respond in time"),
        _ => describe_broken_connection(timeline, end, &runner),
    };
    let mut evidence = failed_dispatches(timeline);
    evidence.extend(runner_changes(timeline, end, &runner));
    Cause { outcome, text, evidence }
}

fn stream_cut(timeline: &RequestTimeline<'_>, end: &LogLine<'_>) -> Cause {
    let reason = end.field("reason").unwrap_or("?");
    let total = end.number("total_ms").unwrap_or_default();
    let last = end.optional_field("after").map_or("none".into(), |last| last);
    let outcome = format!("stream cut after {total} ms, last event {last}");
    let sent = timeline.steps.iter().rev().find(|line| line.event == "CF0504");
    let runner = sent.and_then(|line| line.field("runner")).unwrap_or("?");
    let text = match reason {
        "time-limit" => {
            format!("the class's time limit expired while runner {runner} was streaming")
        }
        _ => describe_broken_connection(timeline, end, runner),
    };
    let mut evidence = failed_dispatches(timeline);
    evidence.extend(runner_changes(timeline, end, runner));
    Cause { outcome, text, evidence }
}

fn abandoned(timeline: &RequestTimeline<'_>, end: &LogLine<'_>) -> Cause {
    let stage = end.field("stage").unwrap_or("?");
    let total = end.number("total_ms").unwrap_or_default();
    let outcome = format!("abandoned by its caller after {total} ms");
    let sent = timeline.steps.iter().rev().find(|line| line.event == "CF0504");
    let mut evidence = failed_dispatches(timeline);
    let text = match sent.filter(|_| stage == "sent") {
        Some(sent) => {
            let runner = sent.field("runner").unwrap_or("?");
            let had = match (sent.at_ms, end.at_ms) {
                (Some(from), Some(to)) => to.saturating_sub(from),
                _ => total,
            };
            evidence.extend(runner_changes(timeline, end, runner));
            evidence.extend(runner_changes(timeline, sent, runner));
            format!("runner {runner} had it for {had} ms without completing the response")
        }
        None => format!("it was still waiting for a runner ({stage})"),
    };
    evidence.extend(upstream_load(timeline, end));
    Cause { outcome, text, evidence }
}

/// The logs have no end of the request: its host went down, or its log ended or
/// dropped lines.
fn end_not_logged(timeline: &RequestTimeline<'_>) -> Cause {
    let outcome = "its end is not logged".to_owned();
    let Some(last) = timeline.steps.last() else {
        return Cause {
            outcome,
            text: "the logs do not contain it".to_owned(),
            evidence: Vec::new(),
        };
    };
    let later = |line: &&LogLine<'_>| line.source == last.source && line.at_ms >= last.at_ms;
    let next = timeline
        .other_lines
        .iter()
        .filter(later)
        .find(|line| matches!(line.event, "CF0101" | "CF0104" | "CF0601"));
    let text = match next.map(|line| line.event) {
        Some("CF0101") => format!("the process of host {} restarted", last.source),
        Some("CF0104") => {
            format!("host {} was stopped and aborted it at the time limit of the stop", last.source)
        }
        Some(_) => format!("host {} dropped log lines", last.source),
        None => format!("host {} went down, or its log ends before the request does", last.source),
    };
    Cause { outcome, text, evidence: next.map(format_line).into_iter().collect() }
}

/// Describes whether only this response broke, or others of the runner too.
fn describe_broken_connection(
    timeline: &RequestTimeline<'_>,
    end: &LogLine<'_>,
    runner: &str,
) -> String {
    let others = timeline.other_lines.iter().filter(|line| {
        line.event == "CF0506" && line.field("runner") == Some(runner) && is_near(line, end)
    });
    match others.count() {
        0 => format!("the connection to runner {runner} broke, for this request only"),
        n => {
            format!("runner {runner} broke {n} other requests too: it crashed or was disconnected")
        }
    }
}

/// Returns the failed dispatches of the request.
fn failed_dispatches(timeline: &RequestTimeline<'_>) -> Vec<String> {
    let failed = timeline.steps.iter().filter(|line| matches!(line.event, "CF0505" | "CF0506"));
    failed.take(MAX_EVIDENCE_LINES).map(format_line).collect()
}

/// Returns the changes of a runner that hosts logged around `end`.
fn runner_changes(timeline: &RequestTimeline<'_>, end: &LogLine<'_>, runner: &str) -> Vec<String> {
    lines_near(timeline, end, |line| {
        matches!(line.event, "CF0521" | "CF0522" | "CF0523") && line.field("runner") == Some(runner)
    })
}

/// Returns the runners that hosts logged as leaving or removed around `end`.
fn leaving_or_removed_runners(timeline: &RequestTimeline<'_>, end: &LogLine<'_>) -> Vec<String> {
    lines_near(timeline, end, |line| matches!(line.event, "CF0522" | "CF0523"))
}

/// Returns the load of the request's upstream at its coordinator, around `end`.
fn upstream_load(timeline: &RequestTimeline<'_>, end: &LogLine<'_>) -> Option<String> {
    let upstream = end.field("upstream")?;
    let candidates = timeline.other_lines.iter().filter(|line| {
        line.event == "CF0551" && line.field("upstream") == Some(upstream) && is_near(line, end)
    });
    // Every host schedules a few requests itself; the coordinator has the most
    // in progress.
    let line = candidates.max_by_key(|line| {
        let load = line.field("load").unwrap_or_default();
        let busy = load.split(", ").nth(1).and_then(|part| part.split(' ').next());
        (busy.and_then(|n| n.parse::<u64>().ok()), line.at_ms)
    })?;
    Some(format_line(line))
}

/// Returns the units of a workspace that were dispatched in the window before
/// `end`.
fn dispatched_units(timeline: &RequestTimeline<'_>, workspace: &str, end: &LogLine<'_>) -> u64 {
    let until = end.at_ms.unwrap_or_default();
    let sent = timeline.other_lines.iter().filter(|line| {
        line.event == "CF0504"
            && line.field("workspace") == Some(workspace)
            && line.at_ms.is_some_and(|at| at <= until && at + DEFAULT_QUOTA_WINDOW_MS >= until)
    });
    sent.filter_map(|line| line.field("cost")?.parse::<f64>().ok()).sum::<f64>() as u64
}

/// Returns lines around `end`: the first of each event and runner.
fn lines_near<F>(timeline: &RequestTimeline<'_>, end: &LogLine<'_>, wanted: F) -> Vec<String>
where
    F: Fn(&LogLine<'_>) -> bool,
{
    let mut seen = Vec::new();
    let mut found = Vec::new();
    for line in timeline.other_lines.iter().filter(|line| is_near(line, end) && wanted(line)) {
        let kind = (line.event, line.field("runner"));
        if !seen.contains(&kind) {
            seen.push(kind);
            found.push(format_line(line));
        }
    }
    found.truncate(MAX_EVIDENCE_LINES);
    found
}

fn is_near(line: &LogLine<'_>, end: &LogLine<'_>) -> bool {
    match (line.at_ms, end.at_ms) {
        (Some(a), Some(b)) => a.abs_diff(b) <= EVIDENCE_WINDOW_MS,
        _ => false,
    }
}

fn format_line(line: &LogLine<'_>) -> String {
    format!("{}: {} ({})", line.source, line.text, line.details())
}

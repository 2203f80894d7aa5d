//! Why a request ended as it did.

use super::{LogLine, Story};

/// Other lines within this time of an event may show its cause: a lost runner
/// or store is logged within seconds.
const NEARBY_MS: u64 = 3_000;

/// Default window of the workspace quotas.
const QUOTA_WINDOW_MS: u64 = 8_000;

/// A phase is the cause of a slow request if it took at least one half of its
/// time.
const LARGE_PART: u64 = 2;

/// Largest number of evidence lines.
const MOST_EVIDENCE: usize = 6;

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
    pub(super) fn of(story: &Story<'_>) -> Self {
        let end = story.steps.iter().rev().find(|line| {
            matches!(line.event, "CF0501" | "CF0502" | "CF0503" | "CF0508" | "CF0509")
        });
        let Some(end) = end else { return host_lost(story) };
        match end.event {
            "CF0501" => answered(story, end),
            "CF0502" => refused(story, end),
            "CF0503" => unknown(story, end),
            "CF0508" => stream_cut(story, end),
            _ => abandoned(story, end),
        }
    }
}

fn answered(story: &Story<'_>, end: &LogLine<'_>) -> Cause {
    let ms = |name| end.number(name).unwrap_or_default();
    let (waited, first, total) = (ms("waited_ms"), ms("first_ms"), ms("total_ms"));
    let runner = end.field("runner").unwrap_or("?");
    let status = ms("status");
    let outcome = format!("answered with {status} after {total} ms by {runner}");
    let again = story.steps.iter().filter(|line| line.event == "CF0507").count();
    let turned_away = story.steps.iter().filter(|line| line.event == "CF0505").count();
    let text = if status >= 400 {
        format!("runner {runner} itself answered {status}; its answer was passed on as it was")
    } else if again + turned_away > 0 && waited * LARGE_PART >= total {
        format!(
            "{waited} of {total} ms went before the last sending: {again} runners failed it, \
             {turned_away} turned it away"
        )
    } else if waited * LARGE_PART >= total {
        format!("{waited} of {total} ms it waited for a place at a runner")
    } else if first.saturating_sub(waited) * LARGE_PART >= total {
        format!("{} of {total} ms runner {runner} took to the first piece", first - waited)
    } else {
        format!("{} of {total} ms the stream itself took", total.saturating_sub(first))
    };
    let mut evidence = failures(story);
    evidence.extend(load(story, end));
    Cause { outcome, text, evidence }
}

fn refused(story: &Story<'_>, end: &LogLine<'_>) -> Cause {
    let reason = end.field("reason").unwrap_or("?");
    let waited = end.number("waited_ms").unwrap_or_default();
    let mut outcome = format!("refused as {reason} after {waited} ms, not run");
    if let Some(retry) = end.number("retry_ms") {
        outcome.push_str(&format!(", told to come back in {retry} ms"));
    }
    let workspace = end.field("workspace").unwrap_or("?");
    let (text, evidence) = match reason {
        "over-quota" => {
            let used = used_tokens(story, workspace, end);
            (
                format!("workspace {workspace} had used up its quota"),
                vec![format!(
                    "{used} units of {workspace} went to runners in the {} s before",
                    QUOTA_WINDOW_MS / 1_000
                )],
            )
        }
        "stale-configuration" => {
            let proof = end.number("proof_ms").unwrap_or_default();
            let store = nearby(story, end, |line| {
                line.source == end.source
                    && matches!(line.event, "CF0541" | "CF0534" | "CF0533" | "CF0544")
            });
            (
                format!(
                    "host {} could not prove its configuration current for {proof} ms, and a key \
                     may have been taken away",
                    end.source
                ),
                store,
            )
        }
        "turned-away" => (
            "runners turned it away and no retry was left in the budget".to_owned(),
            failures(story),
        ),
        "shed" | "target-unreachable" | "queue-full" => {
            let text = match waited {
                0 => "the backlog at its arrival could not be served before its caller leaves",
                _ => "it waited until it could no longer be served before its caller leaves",
            };
            let mut evidence = failures(story);
            evidence.extend(load(story, end));
            evidence.extend(lost_runners(story, end));
            (text.to_owned(), evidence)
        }
        other => (format!("the host refused it: {other}"), Vec::new()),
    };
    Cause { outcome, text, evidence }
}

fn unknown(story: &Story<'_>, end: &LogLine<'_>) -> Cause {
    let reason = end.field("reason").unwrap_or("?");
    let total = end.number("total_ms").unwrap_or_default();
    let outcome = format!("may have run ({reason}), told to its caller after {total} ms");
    let Some(runner) = end.inner("runner") else {
        return Cause { outcome, text: "no runner is named".to_owned(), evidence: failures(story) };
    };
    let text = match reason {
        "upstream-timeout" => format!("runner {runner} gave no answer in time"),
        _ => broken(story, end, &runner),
    };
    let mut evidence = failures(story);
    evidence.extend(news_of(story, end, &runner));
    Cause { outcome, text, evidence }
}

fn stream_cut(story: &Story<'_>, end: &LogLine<'_>) -> Cause {
    let reason = end.field("reason").unwrap_or("?");
    let total = end.number("total_ms").unwrap_or_default();
    let last = end.inner("after").map_or("none".into(), |last| last);
    let outcome = format!("stream cut after {total} ms, last event {last}");
    let sent = story.steps.iter().rev().find(|line| line.event == "CF0504");
    let runner = sent.and_then(|line| line.field("runner")).unwrap_or("?");
    let text = match reason {
        "time-limit" => format!("the class's time limit ended while runner {runner} streamed"),
        _ => broken(story, end, runner),
    };
    let mut evidence = failures(story);
    evidence.extend(news_of(story, end, runner));
    Cause { outcome, text, evidence }
}

fn abandoned(story: &Story<'_>, end: &LogLine<'_>) -> Cause {
    let stage = end.field("stage").unwrap_or("?");
    let total = end.number("total_ms").unwrap_or_default();
    let outcome = format!("its caller left after {total} ms");
    let sent = story.steps.iter().rev().find(|line| line.event == "CF0504");
    let mut evidence = failures(story);
    let text = match sent.filter(|_| stage == "sent") {
        Some(sent) => {
            let runner = sent.field("runner").unwrap_or("?");
            let had = match (sent.at_ms, end.at_ms) {
                (Some(from), Some(to)) => to.saturating_sub(from),
                _ => total,
            };
            evidence.extend(news_of(story, end, runner));
            evidence.extend(news_of(story, sent, runner));
            format!("runner {runner} had it for {had} ms and had not answered it whole")
        }
        None => format!("it waited for a runner all the while ({stage})"),
    };
    evidence.extend(load(story, end));
    Cause { outcome, text, evidence }
}

/// The logs have no end of the request: the host or its log was lost.
fn host_lost(story: &Story<'_>) -> Cause {
    let outcome = "no line tells of its end".to_owned();
    let Some(last) = story.steps.last() else {
        return Cause { outcome, text: "no line names it".to_owned(), evidence: Vec::new() };
    };
    let later = |line: &&LogLine<'_>| line.source == last.source && line.at_ms >= last.at_ms;
    let next = story
        .around
        .iter()
        .filter(later)
        .find(|line| matches!(line.event, "CF0101" | "CF0104" | "CF0601"));
    let text = match next.map(|line| line.event) {
        Some("CF0101") => format!("the process of host {} ended and started anew", last.source),
        Some("CF0104") => format!("host {} was stopped and cut it at its limit", last.source),
        Some(_) => format!("host {} dropped lines of its log", last.source),
        None => format!("host {} was lost, or the log ends before the request", last.source),
    };
    Cause { outcome, text, evidence: next.map(sentence).into_iter().collect() }
}

/// Returns whether only this response broke, or others of the runner too.
fn broken(story: &Story<'_>, end: &LogLine<'_>, runner: &str) -> String {
    let others = story.around.iter().filter(|line| {
        line.event == "CF0506" && line.field("runner") == Some(runner) && is_near(line, end)
    });
    match others.count() {
        0 => format!("the connection to runner {runner} broke, for this request only"),
        n => format!("runner {runner} broke off {n} other requests too: it crashed or was cut off"),
    }
}

/// Returns the failed dispatches of the request.
fn failures(story: &Story<'_>) -> Vec<String> {
    let failed = story.steps.iter().filter(|line| matches!(line.event, "CF0505" | "CF0506"));
    failed.take(MOST_EVIDENCE).map(sentence).collect()
}

/// Returns the changes of a runner that hosts logged around `end`.
fn news_of(story: &Story<'_>, end: &LogLine<'_>, runner: &str) -> Vec<String> {
    nearby(story, end, |line| {
        matches!(line.event, "CF0521" | "CF0522" | "CF0523") && line.field("runner") == Some(runner)
    })
}

/// Returns the runners that hosts logged as leaving or removed around `end`.
fn lost_runners(story: &Story<'_>, end: &LogLine<'_>) -> Vec<String> {
    nearby(story, end, |line| matches!(line.event, "CF0522" | "CF0523"))
}

/// Returns the load of the request's upstream at its coordinator, around `end`.
fn load(story: &Story<'_>, end: &LogLine<'_>) -> Option<String> {
    let upstream = end.field("upstream")?;
    let of_upstream = story.around.iter().filter(|line| {
        line.event == "CF0551" && line.field("upstream") == Some(upstream) && is_near(line, end)
    });
    // Every host schedules a few requests itself; the coordinator has the most
    // in progress.
    let line = of_upstream.max_by_key(|line| {
        let load = line.field("load").unwrap_or_default();
        let busy = load.split(", ").nth(1).and_then(|part| part.split(' ').next());
        (busy.and_then(|n| n.parse::<u64>().ok()), line.at_ms)
    })?;
    Some(sentence(line))
}

/// Returns the units of a workspace that were dispatched in the window before
/// `end`.
fn used_tokens(story: &Story<'_>, workspace: &str, end: &LogLine<'_>) -> u64 {
    let until = end.at_ms.unwrap_or_default();
    let sent = story.around.iter().filter(|line| {
        line.event == "CF0504"
            && line.field("workspace") == Some(workspace)
            && line.at_ms.is_some_and(|at| at <= until && at + QUOTA_WINDOW_MS >= until)
    });
    sent.filter_map(|line| line.field("cost")?.parse::<f64>().ok()).sum::<f64>() as u64
}

/// Returns lines around `end`: the first of each event and runner.
fn nearby<F>(story: &Story<'_>, end: &LogLine<'_>, wanted: F) -> Vec<String>
where
    F: Fn(&LogLine<'_>) -> bool,
{
    let mut seen = Vec::new();
    let mut found = Vec::new();
    for line in story.around.iter().filter(|line| is_near(line, end) && wanted(line)) {
        let kind = (line.event, line.field("runner"));
        if !seen.contains(&kind) {
            seen.push(kind);
            found.push(sentence(line));
        }
    }
    found.truncate(MOST_EVIDENCE);
    found
}

fn is_near(line: &LogLine<'_>, end: &LogLine<'_>) -> bool {
    match (line.at_ms, end.at_ms) {
        (Some(a), Some(b)) => a.abs_diff(b) <= NEARBY_MS,
        _ => false,
    }
}

fn sentence(line: &LogLine<'_>) -> String {
    format!("{}: {} ({})", line.source, line.text, line.details())
}

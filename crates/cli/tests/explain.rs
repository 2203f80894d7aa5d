//! Explanations of requests from the logs of hosts.

#![allow(clippy::unwrap_used)]

use comfreyway_cli::explain::{LogLine, RequestTimeline};
use rstest::rstest;

/// Returns the explanation of a request from the logs of hosts.
fn explanation(id: &str, logs: &[(&str, &str)]) -> String {
    let lines = logs
        .iter()
        .flat_map(|(host, text)| text.lines().filter_map(|line| LogLine::parse(host, line.trim())));
    RequestTimeline::new(id, lines.collect()).unwrap().to_string()
}

const CRASH: &str = "\
    [2026-12-03T10:00:02.602Z INFO  comfreyway] request sent to runner event=CF0504 id=a1 \
    runner=r7 address=10.2.64.8:8088 workspace=desk cost=11069 waited_ms=2602 left_ms=9397 \
    after=none
    [2026-12-03T10:00:02.760Z WARN  comfreyway] runner sent no usable response event=CF0506 id=a1 \
    runner=r7 cause=connection closed before message completed after_ms=158
    [2026-12-03T10:00:02.761Z WARN  comfreyway] runner sent no usable response event=CF0506 id=b2 \
    runner=r7 cause=connection closed before message completed after_ms=40
    [2026-12-03T10:00:02.761Z WARN  comfreyway] outcome of request unknown, reported to its caller \
    event=CF0503 id=a1 reason=upstream-broke runner=Some(\"r7\") sent=1 total_ms=2761";

#[test]
fn several_broken_requests_indicate_a_runner_crash() {
    let other = "[2026-12-03T10:00:04.100Z INFO  comfreyway] runner removed event=CF0523 runner=r7 \
                 upstream=dala";
    let text = explanation("a1", &[("h1", CRASH), ("h2", other)]);
    assert!(text.contains("outcome: may have run (upstream-broke)"), "{text}");
    assert!(text.contains("runner r7 broke 1 other requests too"), "{text}");
    assert!(text.contains("h2: runner removed"), "{text}");
    assert!(text.contains("158 ms  h1  runner sent no usable response"), "{text}");
}

#[test]
fn single_broken_response_is_no_runner_crash() {
    let text = explanation("a1", &[("h1", &CRASH.replace("id=b2 runner=r7", "id=b2 runner=r8"))]);
    assert!(text.contains("for this request only"), "{text}");
}

/// The load shown is the coordinator's, not that of the host that refused.
#[test]
fn overload_refusal_shows_the_coordinator_backlog() {
    let refused = "[10:00:05.000 INFO  comfreyway] request refused, not run event=CF0502 id=c3 \
                   reason=target-unreachable class=report workspace=desk upstream=dala \
                   waited_ms=1850 retry_ms=818 revision=33";
    let own = "[10:00:04.500 INFO  comfreyway] load of an upstream event=CF0551 upstream=dala \
               load=0 wait, 1 in progress; r1 1/5";
    let coordinator = "\
        [10:00:04.400 INFO  comfreyway] load of an upstream event=CF0551 upstream=dala load=59 \
        wait, 51 in progress; r1 5/5
        [10:00:04.400 INFO  comfreyway] load of an upstream event=CF0551 upstream=survey load=7 \
        wait, 99 in progress; s1 5/5";
    let text = explanation("c3", &[("h1", refused), ("h1", own), ("h2", coordinator)]);
    assert!(text.contains("refused as target-unreachable after 1850 ms, not run"), "{text}");
    assert!(text.contains("retry after 818 ms"), "{text}");
    assert!(text.contains("load=59 wait, 51 in progress"), "{text}");
    assert!(!text.contains("survey"), "{text}");
}

#[test]
fn stale_configuration_refusal_shows_the_store_failure() {
    let log = "\
        [10:00:01.000 WARN  comfreyway] store can't be watched event=CF0541 cause=timed out
        [10:00:03.000 INFO  comfreyway] request refused, not run event=CF0502 id=d4 \
        reason=stale-configuration revision=3 proof_ms=3601";
    let text = explanation("d4", &[("h1", log)]);
    assert!(text.contains("host h1 had not verified its configuration"), "{text}");
    assert!(text.contains("store can't be watched"), "{text}");
}

#[rstest]
#[case::restarted(
    "[10:00:09.000 INFO  comfreyway] daemon started event=CF0101 host=h1",
    "the process of host h1 restarted"
)]
#[case::down("", "host h1 went down")]
fn request_without_logged_end_names_the_host_failure(#[case] later: &str, #[case] expected: &str) {
    let sent = "[10:00:03.000 INFO  comfreyway] request sent to runner event=CF0504 id=e5 \
                runner=r1 workspace=desk cost=200 waited_ms=0 left_ms=996 after=none";
    let text = explanation("e5", &[("h1", sent), ("h1", later)]);
    assert!(text.contains(expected), "{text}");
}

#[test]
fn slow_response_names_its_longest_phase() {
    let log = "\
        [10:00:03.000 INFO  comfreyway] request retried at another runner event=CF0507 id=f6 sent=1 \
        reason=upstream-broke
        [10:00:04.000 INFO  comfreyway] request answered event=CF0501 id=f6 class=report \
        workspace=desk upstream=dala runner=r2 sent=2 waited_ms=900 first_ms=1000 total_ms=1200 \
        status=200 revision=3";
    let text = explanation("f6", &[("h1", log)]);
    assert!(text.contains("900 of 1200 ms passed before the last dispatch"), "{text}");
}

#[test]
fn over_quota_refusal_counts_dispatched_units() {
    let log = "\
        [10:00:01.000 INFO  comfreyway] request sent to runner event=CF0504 id=x \
        runner=r1 workspace=desk cost=200.5 waited_ms=0 left_ms=996 after=None
        [10:00:02.000 INFO  comfreyway] request sent to runner event=CF0504 id=y \
        runner=r1 workspace=other cost=77 waited_ms=0 left_ms=996 after=None
        [10:00:03.000 INFO  comfreyway] request refused, not run event=CF0502 id=g7 \
        reason=over-quota workspace=desk waited_ms=0 retry_ms=900 revision=3";
    let text = explanation("g7", &[("h1", log)]);
    assert!(text.contains("200 units of desk were dispatched"), "{text}");
}

/// A log collector writes time and host before each line.
#[test]
fn host_name_before_a_line_is_its_source() {
    let line = "   12.250 h7 [2026-12-03T10:00:00Z INFO  comfreyway] daemon started event=CF0101";
    let line = LogLine::parse("all", line).unwrap();
    assert_eq!((line.source, line.at_ms), ("h7", Some(12_250)));
}

#[test]
fn abandoned_request_names_the_silent_runner() {
    let log = "\
        [10:00:00.000 INFO  comfreyway] request sent to runner event=CF0504 id=h8 runner=r1 \
        workspace=desk cost=9 waited_ms=2 left_ms=11994 after=None
        [10:00:11.995 INFO  comfreyway] caller disconnected before the response was complete event=CF0509 id=h8 \
        stage=sent runner=Some(\"r1\") total_ms=11996";
    let text = explanation("h8", &[("h1", log)]);
    assert!(text.contains("runner r1 had it for 11995 ms"), "{text}");
}

#[test]
fn lines_without_events_are_skipped() {
    assert_eq!(LogLine::parse("h1", "thread 'main' panicked at nothing"), None);
    assert!(RequestTimeline::new("a1", Vec::new()).is_none());
}

#[test]
fn refusal_for_lack_of_a_version_shows_the_runners_that_left() {
    let log = "\
        [10:00:02.000 INFO  comfreyway] runner removed event=CF0523 runner=r1 upstream=dala
        [10:00:03.000 INFO  comfreyway] request refused, not run event=CF0502 id=i9 \
        reason=version-gone class=report workspace=desk upstream=dala waited_ms=0 retry_ms=1000";
    let text = explanation("i9", &[("h1", log)]);
    assert!(text.contains("no runner has the software version"), "{text}");
    assert!(text.contains("runner removed"), "{text}");
}

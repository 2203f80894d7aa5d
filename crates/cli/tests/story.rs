//! Stories of requests, from lines as hosts write them.

#![allow(clippy::unwrap_used)]

use comfreyway_cli::story::{LogLine, Story};
use rstest::rstest;

/// The text of a story from the logs of hosts.
fn told(id: &str, logs: &[(&str, &str)]) -> String {
    let lines = logs
        .iter()
        .flat_map(|(host, text)| text.lines().filter_map(|line| LogLine::parse(host, line.trim())));
    Story::new(id, lines.collect()).unwrap().to_string()
}

const CRASH: &str = "\
    [2026-12-03T10:00:02.602Z INFO  comfreyway] request sent to runner event=CF0504 id=a1 \
    runner=r7 address=10.2.64.8:8088 workspace=desk cost=11069 waited_ms=2602 left_ms=9397 \
    after=None
    [2026-12-03T10:00:02.760Z WARN  comfreyway] runner sent no usable response event=CF0506 id=a1 \
    runner=r7 cause=connection closed before message completed after_ms=158
    [2026-12-03T10:00:02.761Z WARN  comfreyway] runner sent no usable response event=CF0506 id=b2 \
    runner=r7 cause=connection closed before message completed after_ms=40
    [2026-12-03T10:00:02.761Z WARN  comfreyway] outcome of request unknown, reported to its caller \
    event=CF0503 id=a1 reason=upstream-broke runner=Some(\"r7\") sent=1 total_ms=2761";

#[test]
fn a_runner_that_broke_off_several_requests_has_crashed() {
    let other = "[2026-12-03T10:00:04.100Z INFO  comfreyway] runner removed event=CF0523 runner=r7 \
                 upstream=dala";
    let story = told("a1", &[("h1", CRASH), ("h2", other)]);
    assert!(story.contains("outcome: may have run (upstream-broke)"), "{story}");
    assert!(story.contains("runner r7 broke off 1 other requests too"), "{story}");
    assert!(story.contains("h2: runner removed"), "{story}");
    assert!(story.contains("158 ms  h1  runner sent no usable response"), "{story}");
}

#[test]
fn a_broken_answer_alone_is_no_crash() {
    let story = told("a1", &[("h1", &CRASH.replace("id=b2 runner=r7", "id=b2 runner=r8"))]);
    assert!(story.contains("for this request only"), "{story}");
}

/// The load is that of the host that coordinates, the nearest before the end.
#[test]
fn a_refusal_under_overload_names_the_backlog_at_the_coordinator() {
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
    let story = told("c3", &[("h1", refused), ("h1", own), ("h2", coordinator)]);
    assert!(story.contains("refused as target-unreachable after 1850 ms, not run"), "{story}");
    assert!(story.contains("told to come back in 818 ms"), "{story}");
    assert!(story.contains("load=59 wait, 51 in progress"), "{story}");
    assert!(!story.contains("survey"), "{story}");
}

#[test]
fn a_stale_configuration_is_told_with_what_hid_the_store() {
    let log = "\
        [10:00:01.000 WARN  comfreyway] store can't be watched event=CF0541 cause=timed out
        [10:00:03.000 INFO  comfreyway] request refused, not run event=CF0502 id=d4 \
        reason=stale-configuration revision=3 proof_ms=3601";
    let story = told("d4", &[("h1", log)]);
    assert!(story.contains("host h1 could not prove its configuration"), "{story}");
    assert!(story.contains("store can't be watched"), "{story}");
}

#[rstest]
#[case::restarted(
    "[10:00:09.000 INFO  comfreyway] daemon started event=CF0101 host=h1",
    "started anew"
)]
#[case::lost("", "host h1 was lost")]
fn a_request_without_an_end_tells_of_its_host(#[case] later: &str, #[case] told_of: &str) {
    let sent = "[10:00:03.000 INFO  comfreyway] request sent to runner event=CF0504 id=e5 \
                runner=r1 workspace=desk cost=200 waited_ms=0 left_ms=996 after=None";
    let story = told("e5", &[("h1", sent), ("h1", later)]);
    assert!(story.contains(told_of), "{story}");
}

#[test]
fn a_late_answer_names_the_largest_part_of_its_time() {
    let log = "\
        [10:00:03.000 INFO  comfreyway] request retried at another runner event=CF0507 id=f6 sent=1 \
        reason=upstream-broke
        [10:00:04.000 INFO  comfreyway] request answered event=CF0501 id=f6 class=report \
        workspace=desk upstream=dala runner=r2 sent=2 waited_ms=900 first_ms=1000 total_ms=1200 \
        status=200 revision=3";
    let story = told("f6", &[("h1", log)]);
    assert!(story.contains("900 of 1200 ms went before the last sending"), "{story}");
}

#[test]
fn what_a_workspace_used_before_is_counted() {
    let log = "\
        [10:00:01.000 INFO  comfreyway] request sent to runner event=CF0504 id=x \
        runner=r1 workspace=desk cost=200.5 waited_ms=0 left_ms=996 after=None
        [10:00:02.000 INFO  comfreyway] request sent to runner event=CF0504 id=y \
        runner=r1 workspace=other cost=77 waited_ms=0 left_ms=996 after=None
        [10:00:03.000 INFO  comfreyway] request refused, not run event=CF0502 id=g7 \
        reason=over-quota workspace=desk waited_ms=0 retry_ms=900 revision=3";
    let story = told("g7", &[("h1", log)]);
    assert!(story.contains("200 units of desk went to runners"), "{story}");
}

/// A collector writes time and host before each line.
#[test]
fn a_line_that_names_its_host_is_that_host_s() {
    let line = "   12.250 h7 [2026-12-03T10:00:00Z INFO  comfreyway] daemon started event=CF0101";
    let line = LogLine::parse("all", line).unwrap();
    assert_eq!((line.source, line.at_ms), ("h7", Some(12_250)));
}

#[test]
fn a_caller_that_left_names_the_runner_that_was_silent() {
    let log = "\
        [10:00:00.000 INFO  comfreyway] request sent to runner event=CF0504 id=h8 runner=r1 \
        workspace=desk cost=9 waited_ms=2 left_ms=11994 after=None
        [10:00:11.995 INFO  comfreyway] caller disconnected before the response was complete event=CF0509 id=h8 \
        stage=sent runner=Some(\"r1\") total_ms=11996";
    let story = told("h8", &[("h1", log)]);
    assert!(story.contains("runner r1 had it for 11995 ms"), "{story}");
}

#[test]
fn lines_that_are_no_events_are_passed_over() {
    assert_eq!(LogLine::parse("h1", "thread 'main' panicked at nothing"), None);
    assert!(Story::new("a1", Vec::new()).is_none());
}

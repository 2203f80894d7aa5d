//! Responses that runners break off, in each framing.

use comfreyway_testkit::{
    fleet_runner::RunnerMode,
    raw_runner::{RawResponse, RawRunner},
};
use rstest::rstest;

use super::harness::{FleetHarness, call, events, raw_call};

/// The end of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns a response without a length or chunks, which ends with its connection.
fn unframed(body: &str) -> RawResponse {
    RawResponse { body: body.as_bytes().to_vec(), ..RawResponse::default() }
}

/// Returns a chunked response that is complete as far as its framing tells.
fn chunked(body: &str) -> RawResponse {
    let chunk = match body.len() {
        0 => String::new(),
        length => format!("{length:x}\r\n{body}\r\n"),
    };
    RawResponse {
        head: "transfer-encoding: chunked\r\n".to_owned(),
        body: format!("{chunk}{LAST_CHUNK}").into_bytes(),
        ..RawResponse::default()
    }
}

fn is_framed_as_complete(response: &str) -> bool {
    response.ends_with(LAST_CHUNK)
}

/// Plays a stream that ends after each byte of its events, each at another runner.
#[rstest]
#[case::unframed(unframed)]
#[case::chunked(chunked)]
#[actix_rt::test]
async fn a_stream_that_ends_inside_an_event_is_not_framed_as_complete(
    #[case] framed: fn(&str) -> RawResponse,
) {
    let fleet = FleetHarness::new();
    let stream = events(3);
    let lengths = (1..stream.len()).filter(|length| !stream[..*length].ends_with("\n\n"));
    let runner =
        |length| fleet.start_raw_runner("dala", &format!("e{length}"), framed(&stream[..length]));
    let runners = lengths.map(runner).collect::<Vec<_>>();
    let host = fleet.start_host("h1").await;
    for number in 0..runners.len() * 4 {
        let (used, unused): (Vec<_>, Vec<_>) =
            runners.iter().partition(|runner| !runner.requests().is_empty());
        if unused.is_empty() {
            break;
        }
        // Its pause may end before the others have been used.
        used.iter().for_each(|runner| fleet.store.delete(&format!("servers/{}", runner.name())));
        // Repeats of a request under which runners end would be refused.
        let response = raw_call(&host, &format!("/tags/{number}")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(!is_framed_as_complete(&response), "{response}");
    }
    let unused = runners.iter().filter(|runner| runner.requests().is_empty());
    assert_eq!(unused.map(RawRunner::name).collect::<Vec<_>>(), Vec::<&str>::new());
}

#[rstest]
#[case::unframed(unframed)]
#[case::chunked(chunked)]
#[actix_rt::test]
async fn a_stream_that_ends_after_an_event_is_complete(#[case] framed: fn(&str) -> RawResponse) {
    let fleet = FleetHarness::new();
    let _runner = fleet.start_raw_runner("dala", "e1", framed(&events(3)));
    let host = fleet.start_host("h1").await;
    let response = raw_call(&host, "/tags/").await;
    assert!(is_framed_as_complete(&response) && response.contains("data: e3"), "{response}");
}

#[actix_rt::test]
async fn a_stream_without_framing_or_events_is_not_framed_as_complete() {
    let fleet = FleetHarness::new();
    let _runner = fleet.start_raw_runner("dala", "e1", unframed(""));
    let host = fleet.start_host("h1").await;
    let response = raw_call(&host, "/tags/").await;
    assert!(!is_framed_as_complete(&response), "{response}");
}

#[actix_rt::test]
async fn a_response_on_a_stream_route_that_has_no_events_is_whole() {
    let fleet = FleetHarness::new();
    let body = r#"{"events":[]}"#;
    let head = format!("content-type: application/json\r\ncontent-length: {}\r\n", body.len());
    let response = RawResponse { head, ..unframed(body) };
    let _runner = fleet.start_raw_runner("dala", "e1", response);
    let host = fleet.start_host("h1").await;
    assert_eq!(call(&host, "id-1", "/tags/").await.body.as_deref(), Some(body));
}

#[actix_rt::test]
async fn a_stream_that_ends_inside_an_event_resumes_on_another_runner() {
    let mut fleet = FleetHarness::new();
    let truncated = fleet.start_raw_runner("dala", "e1", unframed("id: 1\ndata: e1\n\nid: 2\nda"));
    let host = fleet.start_host("h1").await;
    fleet = fleet.with_runner("dala", "e2", RunnerMode::Stream(4));
    // Requests go to either runner first.
    for number in 0.. {
        let response = call(&host, &format!("id-{number}"), "/report/").await;
        assert_eq!(response.body, Some(events(4)), "request {number}");
        if !truncated.requests().is_empty() {
            break;
        }
    }
    let runs = fleet.runners[0].runs();
    let resumed = runs.iter().find_map(|run| run.headers.get("last-event-id"));
    assert_eq!(resumed.map(String::as_str), Some("1"));
}

#[actix_rt::test]
async fn a_resumed_stream_that_ends_inside_an_event_is_not_framed_as_complete() {
    let fleet = FleetHarness::new();
    let truncated = |n: u64| unframed(&format!("id: {n}\ndata: e{n}\n\nid: {}\nda", n + 1));
    let runners = [1, 2].map(|n| fleet.start_raw_runner("dala", &format!("e{n}"), truncated(n)));
    let host = fleet.start_host("h1").await;
    let response = raw_call(&host, "/report/").await;
    assert!(!is_framed_as_complete(&response), "{response}");
    let sent = |runner: &RawRunner| runner.requests().len();
    assert_eq!(runners.iter().map(sent).sum::<usize>(), 2);
}

#[rstest]
#[case::truncated(r#"{"answers":[{"id":1},"#, None)]
#[case::in_a_string(r#"["ans"#, None)]
#[case::empty("", None)]
#[case::whole(r#"{"answers":[]}"#, Some(r#"{"answers":[]}"#))]
#[case::whole_scalar("17", Some("17"))]
#[actix_rt::test]
async fn a_json_response_that_ends_with_its_connection_is_checked(
    #[case] body: &str,
    #[case] expected: Option<&str>,
) {
    let fleet = FleetHarness::new();
    let head = "content-type: application/json; charset=utf-8\r\n".to_owned();
    let _runner = fleet.start_raw_runner("survey", "r1", RawResponse { head, ..unframed(body) });
    let host = fleet.start_host("h1").await;
    let response = call(&host, "id-1", "/lookup/count/").await;
    match expected {
        Some(body) => assert_eq!((response.status, response.body.as_deref()), (200, Some(body))),
        None => assert_eq!((response.status, response.reason().as_str()), (502, "upstream-broke")),
    }
}

/// A stream that can't be continued at an exact event would repeat its start.
#[actix_rt::test]
async fn a_broken_stream_without_event_ids_is_not_resumed() {
    let fleet = FleetHarness::new();
    let truncated = unframed("data: a\n\ndata: b");
    let runners = ["e1", "e2"].map(|name| fleet.start_raw_runner("dala", name, truncated.clone()));
    let host = fleet.start_host("h1").await;
    let response = raw_call(&host, "/report/").await;
    assert!(!is_framed_as_complete(&response), "{response}");
    assert_eq!(response.matches("data: a").count(), 1, "{response}");
    assert_eq!(runners.iter().map(|runner| runner.requests().len()).sum::<usize>(), 1);
}

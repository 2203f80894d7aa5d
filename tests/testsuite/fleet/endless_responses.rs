//! Responses of runners that never end, in their head or their body.

use comfreyway_testkit::{fleet_runner::RunnerMode, raw_runner::RawResponse};
use rstest::rstest;

use super::harness::{FleetHarness, call, events};

/// Returns a response with this head and the start of a body, followed by `endless`.
fn response(head: &str, body: &str, endless: &[u8]) -> RawResponse {
    let endless = endless.repeat(1 << 10);
    RawResponse { head: head.to_owned(), body: body.into(), endless, ..RawResponse::default() }
}

/// Returns a response whose head goes on with `endless`.
fn head(head: &str, endless: &[u8]) -> RawResponse {
    RawResponse { unfinished_head: true, ..response(head, "", endless) }
}

/// Returns informational responses, with `endless` as the further ones.
fn informational(endless: &[u8]) -> RawResponse {
    RawResponse { status: Some(103), ..response("", "", endless) }
}

#[rstest]
#[case::chunk_extension(response("transfer-encoding: chunked\r\n", "5;x=", b"x"))]
#[case::chunk_size(response("transfer-encoding: chunked\r\n", "", b"0"))]
#[case::trailers(response("transfer-encoding: chunked\r\n", "0\r\n", b"a: b\r\n"))]
#[case::header(head("x-endless: ", b"x"))]
#[case::headers(head("", b"x-endless: x\r\n"))]
#[case::informational_responses(informational(b"HTTP/1.1 103 Early Hints\r\n\r\n"))]
#[actix_rt::test]
async fn a_stream_without_end_resumes_on_another_runner(#[case] endless: RawResponse) {
    let fleet = FleetHarness::new();
    let first = fleet.start_raw_runner("dala", "e1", endless);
    let host = fleet.start_host("h1").await;
    let _fleet = fleet.with_runner("dala", "e2", RunnerMode::Stream(4));
    for number in 0.. {
        let response = call(&host, &format!("id-{number}"), "/report/").await;
        assert_eq!(response.body, Some(events(4)), "request {number}");
        if !first.requests().is_empty() {
            break;
        }
    }
}

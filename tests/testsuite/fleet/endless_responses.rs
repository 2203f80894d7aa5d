//! Responses of runners that never end, in their head or their body.

use comfreyway_testkit::{fleet_runner::RunnerMode, raw_runner::RawResponse};
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::Daemon;

use super::harness::{FleetHarness, call, configuration, events};

/// Memory that a host may use, from the users' target.
const MAX_HOST_MEMORY_KB: u64 = 128 << 10;

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

/// Time limit in which a busy machine reads an event of the largest size in chunks of a few
/// bytes.
const TIME_LIMIT_MS: u64 = 60_000;

fn patient_configuration() -> Value {
    let mut configuration = configuration(2);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = json!(TIME_LIMIT_MS);
    }
    configuration
}

#[rstest]
#[case::unframed_event(response("", "id: 1\ndata: e1\n\nid: 2\ndata: ", b"x"))]
#[case::event_of_many_lines(response("", "id: 1\ndata: e1\n\n", b"data: x\n"))]
#[case::chunked_event(response("transfer-encoding: chunked\r\n", "", b"5\r\ndata:\r\n"))]
#[case::chunk_extension(response("transfer-encoding: chunked\r\n", "5;x=", b"x"))]
#[case::chunk_size(response("transfer-encoding: chunked\r\n", "", b"0"))]
#[case::trailers(response("transfer-encoding: chunked\r\n", "0\r\n", b"a: b\r\n"))]
#[case::header(head("x-endless: ", b"x"))]
#[case::headers(head("", b"x-endless: x\r\n"))]
#[case::informational_responses(informational(b"HTTP/1.1 103 Early Hints\r\n\r\n"))]
#[actix_rt::test]
async fn a_stream_without_end_resumes_on_another_runner(#[case] endless: RawResponse) {
    let fleet = FleetHarness::new();
    fleet.put_configuration(patient_configuration());
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

#[actix_rt::test]
async fn many_responses_without_end_do_not_use_up_the_memory() {
    let fleet = FleetHarness::new();
    let endless = response("", "", b"x");
    let runners =
        (0..16).map(|n| fleet.start_raw_runner("survey", &format!("r{n}"), endless.clone()));
    let runners = runners.collect::<Vec<_>>();
    let host = fleet.start_host("h1").await;
    let ids = (0..32).map(|n| format!("id-{n}")).collect::<Vec<_>>();
    for response in join_all(ids.iter().map(|id| call(&host, id, "/lookup/count/"))).await {
        assert_eq!((response.status, response.reason().as_str()), (502, "upstream-broke"));
    }
    let used = runners.iter().filter(|runner| !runner.requests().is_empty()).count();
    assert!(used > 8, "only {used} runners were used");
    let peak_kb = peak_memory_kb(&host);
    assert!(peak_kb < MAX_HOST_MEMORY_KB, "{peak_kb} kB at the peak");
}

fn peak_memory_kb(host: &Daemon) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", host.pid())).unwrap();
    let value = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    value.trim().trim_end_matches(" kB").parse().unwrap()
}

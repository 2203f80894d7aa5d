//! Runners that respond while a long request is still being sent to them, and end the
//! connection: no part of their response reaches the caller as a whole one.

use std::{net::SocketAddr, time::Duration};

use comfreyway_testkit::{
    daemon::{Signal, unused_address},
    early_runner::{ConnectionEnd, EarlyResponse, EarlyRunner},
};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{
    Daemon,
    raw::{exchange, is_whole, status},
};

use super::{
    cut_off::{CutOff, PATH},
    harness::{DESK_KEY, FleetHarness, ID, KEY, configuration, runner_entry},
};

/// A body that fits into the kernel's buffers, and one that does not.
const BODIES: [usize; 2] = [200 << 10, 4 << 20];

/// The configuration of the tests with long bodies. Routes of the path are streamed or not.
fn long_bodies(streaming: bool) -> Value {
    let mut config = configuration(1);
    config["limits"]["maxBodyBytes"] = json!(5 << 20);
    if streaming {
        config["routes"][1]["kind"] = json!("streaming");
    }
    config
}

fn fleet(streaming: bool) -> FleetHarness {
    let fleet = FleetHarness::new();
    fleet.put_configuration(long_bodies(streaming));
    fleet
}

/// Sends a request with a body of this many bytes. Returns the whole response.
async fn call(host: &Daemon, id: &str, body: usize) -> String {
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: desk.example\r\n{ID}: {id}\r\n{KEY}: {DESK_KEY}\r\n\
         content-length: {body}\r\nconnection: close\r\n\r\n"
    );
    // Repeats of a request under which runners end would be refused.
    let mut sent = id.as_bytes().to_vec();
    sent.resize(body, b'x');
    exchange(host.settings().callers, &head, &sent).await
}

/// Responses that are cut.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Text,
    LargeText,
    WholeJson,
    Http10,
    NotFound,
    Failed,
    AfterContinue,
    AfterEarlyHints,
    Chunked,
    TooShort,
}

impl Cut {
    fn response(self, end: ConnectionEnd) -> EarlyResponse {
        let part = |head: &str, body: &[u8]| EarlyResponse {
            status_line: "HTTP/1.1 200",
            head: head.to_owned(),
            body: body.to_vec(),
            end,
            ..EarlyResponse::default()
        };
        let text = part("content-type: text/plain\r\n", b"a part of the answer");
        match self {
            Self::Text => text,
            Self::LargeText => part("content-type: text/plain\r\n", &vec![b'y'; 300 << 10]),
            Self::WholeJson => part("content-type: application/json\r\n", br#"{"answers":[]}"#),
            Self::Http10 => EarlyResponse { status_line: "HTTP/1.0 200", ..text },
            Self::NotFound => EarlyResponse { status_line: "HTTP/1.1 404", ..text },
            Self::Failed => EarlyResponse { status_line: "HTTP/1.1 500", ..text },
            Self::AfterContinue => {
                EarlyResponse { interim: "HTTP/1.1 100 Continue\r\n\r\n", ..text }
            }
            Self::AfterEarlyHints => {
                EarlyResponse { interim: "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n", ..text }
            }
            Self::Chunked => part("transfer-encoding: chunked\r\n", b"6\r\na part\r\n"),
            Self::TooShort => part("content-length: 100\r\n", b"a part"),
        }
    }
}

const RESETS: [ConnectionEnd; 6] = [
    ConnectionEnd::Reset(Duration::ZERO),
    ConnectionEnd::Reset(Duration::from_millis(5)),
    ConnectionEnd::Reset(Duration::from_millis(100)),
    ConnectionEnd::Close,
    ConnectionEnd::HalfClose(Duration::from_millis(100)),
    ConnectionEnd::ResetAfterBody,
];

/// The runner's process ends while the request is being written, or resets its connection. On
/// the way through another host, the connection to the runner is the other host's.
#[rstest]
#[actix_rt::test]
async fn a_part_of_a_response_to_an_unfinished_upload_is_not_delivered_as_whole(
    #[values(
        Cut::Text,
        Cut::LargeText,
        Cut::WholeJson,
        Cut::Http10,
        Cut::NotFound,
        Cut::Failed,
        Cut::AfterContinue,
        Cut::AfterEarlyHints,
        Cut::Chunked,
        Cut::TooShort
    )]
    cut: Cut,
) {
    let fleet = fleet(false);
    let host = fleet.start_host("h1").await;
    let mut wrong = Vec::new();
    for (number, end) in RESETS.into_iter().enumerate() {
        for body in BODIES {
            let name = format!("r{number}-{body}");
            let runner = EarlyRunner::start(unused_address().unwrap(), cut.response(end)).unwrap();
            let entry = runner_entry(runner.address(), "survey", "ready").to_string();
            fleet.store.put(&format!("servers/{name}"), entry.as_bytes());
            let response = call(&host, &name, body).await;
            fleet.store.delete(&format!("servers/{name}"));
            if is_whole(&response) && status(&response) != "502" {
                wrong.push(format!("{end:?}, {body} bytes: {}", status(&response)));
            }
        }
    }
    assert!(wrong.is_empty(), "{cut:?} is delivered as whole after {wrong:#?}");
}

#[rstest]
#[case::reset(ConnectionEnd::Reset(Duration::ZERO))]
#[case::later_reset(ConnectionEnd::Reset(Duration::from_millis(5)))]
#[case::close(ConnectionEnd::Close)]
#[case::half_close(ConnectionEnd::HalfClose(Duration::from_millis(100)))]
#[case::reset_after_body(ConnectionEnd::ResetAfterBody)]
#[actix_rt::test]
async fn a_part_of_a_response_through_another_host_is_not_delivered_as_whole(
    #[case] end: ConnectionEnd,
    #[values(BODIES[0], BODIES[1])] body: usize,
) {
    let hosts = CutOff::new(fleet(false), 1).await;
    let start = |address: SocketAddr| EarlyRunner::start(address, Cut::Text.response(end)).unwrap();
    let starting = hosts.start_runners("id-1", start);
    let (response, _runners) = futures_util::join!(call(&hosts.near, "id-1", body), starting);
    assert_eq!(hosts.forwarded("id-1"), 1, "the request was forwarded again");
    assert!(!is_whole(&response) || status(&response) == "502", "{response}");
}

/// The runner's response is still open when the host between ends.
#[rstest]
#[case::text("content-type: text/plain\r\n", b"a part of the answer")]
#[case::json("content-type: application/json\r\n", br#"{"answers":[]}"#)]
#[actix_rt::test]
async fn a_part_of_a_response_is_not_delivered_as_whole_if_the_other_host_is_killed(
    #[case] head: &str,
    #[case] body: &[u8],
) {
    let hosts = CutOff::new(fleet(false), 1).await;
    let response = EarlyResponse {
        status_line: "HTTP/1.1 200",
        head: head.to_owned(),
        body: body.to_vec(),
        end: ConnectionEnd::Reset(Duration::from_secs(5)),
        ..EarlyResponse::default()
    };
    let start = |address: SocketAddr| EarlyRunner::start(address, response.clone()).unwrap();
    let kill = async {
        let runners = hosts.start_runners("id-1", start).await;
        hosts.others[0].signal(Signal::Kill).unwrap();
        runners
    };
    let (response, _runners) = futures_util::join!(call(&hosts.near, "id-1", 100), kill);
    assert_eq!(hosts.forwarded("id-1"), 1, "the request was forwarded again");
    assert!(!is_whole(&response) || status(&response) == "502", "{response}");
}

/// A stream without a length whose last event is whole.
#[rstest]
#[case::reset(ConnectionEnd::Reset(Duration::ZERO))]
#[case::close(ConnectionEnd::Close)]
#[case::half_close(ConnectionEnd::HalfClose(Duration::from_millis(100)))]
#[case::reset_after_body(ConnectionEnd::ResetAfterBody)]
#[actix_rt::test]
async fn a_stream_that_is_reset_during_its_upload_is_not_framed_as_complete(
    #[case] end: ConnectionEnd,
    #[values(BODIES[0], BODIES[1])] body: usize,
) {
    let fleet = fleet(true);
    let response = EarlyResponse {
        status_line: "HTTP/1.1 200",
        head: "content-type: text/event-stream\r\n".to_owned(),
        body: b"data: e1\n\ndata: e2\n\n".to_vec(),
        end,
        ..EarlyResponse::default()
    };
    let runner = EarlyRunner::start(unused_address().unwrap(), response).unwrap();
    let entry = runner_entry(runner.address(), "survey", "ready").to_string();
    fleet.store.put("servers/r1", entry.as_bytes());
    let host = fleet.start_host("h1").await;
    let response = call(&host, "id-1", body).await;
    assert!(!is_whole(&response) || status(&response) == "502", "{response}");
}

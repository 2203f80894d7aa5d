//! Callers that read slowly, or stop reading.

use std::time::Duration;

use comfreyway_testkit::fleet_runner::RunnerMode;
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::Daemon;

use super::harness::{DESK_KEY, FleetHarness, ID, KEY, call, configuration};

/// Time without progress after which a caller is given up.
const IDLE_MS: u64 = 1_000;

/// Bytes of one event, and events of a response that no socket buffers take whole.
const EVENT_BYTES: usize = 20_000;
const EVENTS: u64 = 1_200;

/// Maximum number of looks at a log, and the time between two.
const MAX_WAITS: usize = 500;
const WAIT: Duration = Duration::from_millis(20);

async fn start(fleet: &FleetHarness) -> Daemon {
    let mut configuration = configuration(2);
    configuration["limits"]["idleTimeoutMs"] = json!(IDLE_MS);
    fleet.put_configuration(configuration);
    fleet.start_host("h1").await
}

/// Sends a request and returns the connection, of which nothing was read.
async fn open(host: &Daemon, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(host.settings().callers).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\n{ID}: slow\r\n{KEY}: {DESK_KEY}\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

#[rstest]
#[case::stream("/report/")]
#[case::not_resumable("/tags/")]
#[actix_rt::test]
async fn a_caller_that_stops_reading_keeps_no_slot(#[case] path: &str) {
    let fleet = FleetHarness::new().with_runner("dala", "e1", RunnerMode::Stream(EVENTS));
    fleet.runners[0].set_version(&"x".repeat(EVENT_BYTES));
    let host = start(&fleet).await;
    let stalled = open(&host, path).await;
    let mut waits = 0;
    while !host.log().contains("event=CF0509 id=slow stage=sent") {
        waits += 1;
        assert!(waits < MAX_WAITS, "the request of a caller that reads nothing never ended");
        actix_rt::time::sleep(WAIT).await;
    }
    drop(stalled);
    fleet.runners[0].set_mode(RunnerMode::Stream(2));
    assert_eq!(call(&host, "next", path).await.status, 200);
}

#[actix_rt::test]
async fn a_caller_that_reads_slowly_gets_its_whole_response() {
    let fleet = FleetHarness::new().with_runner("dala", "e1", RunnerMode::Stream(EVENTS));
    fleet.runners[0].set_version(&"x".repeat(EVENT_BYTES));
    let host = start(&fleet).await;
    let mut stream = open(&host, "/tags/").await;
    let mut buf = vec![0; 1 << 20];
    let (mut bytes, mut end) = (0, Vec::new());
    loop {
        let read = stream.read(&mut buf).await.unwrap();
        if read == 0 {
            break;
        }
        bytes += read;
        end.extend_from_slice(&buf[..read]);
        end.drain(..end.len().saturating_sub(5));
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(bytes >= EVENT_BYTES * EVENTS as usize, "{bytes}");
    assert_eq!(end, b"0\r\n\r\n");
    assert!(!host.log().contains("event=CF0509"));
}

//! Callers that leave early, send several requests at once, or frame them in odd ways.

use std::{collections::BTreeMap, time::Duration};

use comfreyway_testkit::{
    daemon::Signal,
    fleet_runner::{FleetRunner, RunnerMode},
};
use futures_util::future::join_all;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::support::Daemon;

use super::harness::{DESK_KEY, FleetHarness, ID, KEY, call};

/// Time that a caller listens to a connection that stays open.
const LISTEN_TIME: Duration = Duration::from_millis(500);

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /lookup/count/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: {id}\r\n{KEY}: {DESK_KEY}\r\n\
         {framing}\r\n"
    )
}

fn whole(id: &str) -> String {
    head(id, "content-length: 4\r\n") + "body"
}

fn fleet() -> FleetHarness {
    FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole).with_runner(
        "survey",
        "r2",
        RunnerMode::Whole,
    )
}

/// Returns the number of runs of each request.
fn runs(fleet: &FleetHarness) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    let ran = fleet.runners.iter().flat_map(FleetRunner::runs);
    ran.for_each(|run| *runs.entry(run.request_id).or_default() += 1);
    runs
}

async fn send(host: &Daemon, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(host.settings().callers).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream
}

/// Reads until the connection ends, at most for the time.
async fn read(stream: &mut TcpStream, time: Duration) -> String {
    let mut bytes = Vec::new();
    // A refusal of an unread request ends with a reset.
    let _ = timeout(time, stream.read_to_end(&mut bytes)).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

#[actix_rt::test]
async fn a_request_that_is_cut_short_does_not_run() {
    let (fleet, chunks) = (fleet(), "4\r\nbody\r\n");
    let host = fleet.start_host("h1").await;
    let cuts = [
        ("content-length: 5\r\n", "body".to_owned()),
        ("content-length: 60001\r\n", "x".repeat(60_000)),
        (CHUNKED, "4\r\nbo".to_owned()),
        (CHUNKED, chunks.to_owned()),
        (CHUNKED, format!("{chunks}0")),
        (CHUNKED, format!("{chunks}0\r\n\r")),
        (CHUNKED, format!("{chunks}0\r\nx: y\r\n")),
    ];
    for (framing, body) in cuts {
        for resets in [false, true] {
            let stream = send(&host, &(head("cut", framing) + &body)).await;
            if resets {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
        let mut stream = send(&host, &(head("cut", framing) + &body)).await;
        stream.shutdown().await.unwrap();
        let response = read(&mut stream, Duration::from_secs(5)).await;
        assert!(response.starts_with("HTTP/1.1 400 "), "{framing}{body}: {response}");
    }
    assert_eq!(call(&host, "whole", "/lookup/count/").await.status, 200);
    assert_eq!(runs(&fleet), BTreeMap::from([("whole".to_owned(), 1)]));
}

#[actix_rt::test]
async fn a_request_inside_a_body_does_not_run() {
    let fleet = fleet();
    let host = fleet.start_host("h1").await;
    let inner = whole("inner");
    let chunks = format!("{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len());
    let length = |length: usize| format!("content-length: {length}\r\n");
    let bodies = [
        (length(inner.len()), inner.clone()),
        (length(4) + CHUNKED, chunks.clone()),
        (CHUNKED.to_owned() + &length(4), chunks.clone()),
        (length(5 + inner.len()) + CHUNKED, "0\r\n\r\n".to_owned() + &inner),
        (length(4) + &length(4 + inner.len()), "body".to_owned() + &inner),
        (length(4 + inner.len()) + &length(4), "body".to_owned() + &inner),
        ("transfer-encoding: chunked, identity\r\n".to_owned(), chunks.clone()),
        ("transfer-encoding:\tchunked\r\n".to_owned() + &length(4), chunks),
    ];
    for (number, (framing, body)) in bodies.iter().enumerate() {
        let mut stream = send(&host, &(head(&format!("outer-{number}"), framing) + body)).await;
        read(&mut stream, LISTEN_TIME).await;
    }
    let runs = runs(&fleet);
    assert!(runs.contains_key("outer-0"), "{runs:?}");
    assert!(!runs.contains_key("inner") && runs.values().all(|runs| *runs == 1), "{runs:?}");
}

#[actix_rt::test]
async fn requests_in_one_write_run_at_most_once_if_their_caller_leaves() {
    let fleet = fleet();
    let host = fleet.start_host("h1").await;
    fleet.runners.iter().for_each(|runner| runner.set_work_time(Duration::from_millis(20)));
    for number in 0..10 {
        let requests = (0..3).map(|place| whole(&format!("id-{number}-{place}")));
        let stream = send(&host, &requests.collect::<String>()).await;
        sleep(Duration::from_millis(5 * number)).await;
        if number % 2 == 0 {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    }
    assert_eq!(call(&host, "last", "/lookup/count/").await.status, 200);
    let runs = runs(&fleet);
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
}

#[actix_rt::test]
async fn a_body_that_is_sent_after_a_refusal_does_not_make_its_request_run() {
    let fleet = fleet();
    let host = fleet.start_host("h1").await;
    let framing = "content-length: 4\r\nexpect: 100-continue\r\n";
    let refused = [
        head("route", framing).replace("/lookup/count/", "/none/"),
        head("key", framing).replace(DESK_KEY, "another"),
        head("size", "content-length: 200000\r\nexpect: 100-continue\r\n"),
    ];
    for request in refused {
        let mut stream = send(&host, &request).await;
        let response = read(&mut stream, Duration::from_secs(5)).await;
        assert!(response.starts_with("HTTP/1.1 4"), "{response}");
        // The host has closed the connection.
        let _ = stream.write_all(("body".to_owned() + &whole("next")).as_bytes()).await;
        assert_eq!(read(&mut stream, LISTEN_TIME).await, "");
    }
    assert_eq!(runs(&fleet), BTreeMap::new());
}

/// Some of the bodies are complete just as their requests are refused.
#[actix_rt::test]
async fn a_request_that_is_refused_while_its_body_arrives_does_not_run() {
    const CALLERS: u64 = 40;
    let fleet = fleet();
    let settings = fleet.settings("h1").with_limit("stop-limit", "4s");
    let mut host = Daemon::start_ready(settings).await;
    host.signal(Signal::Terminate).unwrap();
    let calls = (0..CALLERS).map(|number| {
        let host = &host;
        async move {
            sleep(Duration::from_millis(500)).await;
            let framing = if number % 2 == 0 { "content-length: 4\r\n" } else { CHUNKED };
            let (first, rest) = match number % 2 {
                0 => ("bo", "dy"),
                _ => ("2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"),
            };
            let id = format!("id-{number}");
            let mut stream = send(host, &(head(&id, framing) + first)).await;
            sleep(Duration::from_millis(2_100 + number * 20)).await;
            // The host may have closed the connection.
            let _ = stream.write_all(rest.as_bytes()).await;
            let response = read(&mut stream, Duration::from_secs(5)).await;
            (id, response.starts_with("HTTP/1.1 503 "), response)
        }
    });
    let told = join_all(calls).await;
    let runs = runs(&fleet);
    assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
    assert!(told.iter().any(|(_, is_refused, _)| *is_refused), "{told:?}");
    for (id, is_refused, response) in told {
        assert!(!is_refused || !runs.contains_key(&id), "{id} ran: {response}");
    }
    assert!(host.exited().await.unwrap().success());
}

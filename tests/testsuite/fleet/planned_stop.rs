//! The planned stop of a host.

use std::time::Duration;

use comfreyway_testkit::{
    daemon::{Signal, eventually},
    fleet_runner::RunnerMode,
};
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    time::sleep,
};

use crate::support::Daemon;

use super::harness::{DESK_KEY, FleetHarness, ID, KEY, call, events, try_call, try_call_at};

/// A stop that closed connections with requests in progress once hung until the
/// process was killed.
#[actix_rt::test]
async fn a_stream_that_outlasts_the_load_balancers_drain_time_is_finished() {
    let fleet = FleetHarness::new().with_runner("dala", "e1", RunnerMode::Stream(5));
    let mut host = fleet.start_host("h1").await;
    fleet.runners[0].gate().close();
    let stop = async {
        let started = || async { (fleet.runners[0].runs().len() == 1).then_some(()) };
        eventually(started).await.expect("the stream did not start");
        host.signal(Signal::Terminate).unwrap();
        let unready = || async { (!host.is_ready().await).then_some(()) };
        eventually(unready).await.expect("the host stays ready");
        // After the load balancer's drain time the host refuses new requests:
        // the stop limit could cut their responses.
        let refused = || async {
            let response = try_call(&host, "late").await?;
            (response.reason() == "stopping").then_some(response)
        };
        let response = eventually(refused).await.expect("late requests are not refused");
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
        fleet.runners[0].gate().open();
    };
    let (response, ()) = futures_util::join!(call(&host, "id-1", "/tags/"), stop);
    assert_eq!((response.status, response.body), (200, Some(events(5))));
    assert!(host.exited().await.unwrap().success());
}

/// A load balancer still sends callers to a host for a while after the host has
/// stopped being ready. Their requests are served, and each response closes its
/// connection.
#[actix_rt::test]
async fn requests_that_the_load_balancer_still_sends_are_served() {
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = fleet.start_host("h1").await;
    host.signal(Signal::Terminate).unwrap();
    let unready = || async { (!host.is_ready().await).then_some(()) };
    eventually(unready).await.expect("the host stays ready");
    let first = try_call(&host, "id-1").await.expect("the host closed at once");
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.headers.get("connection").map(String::as_str), Some("close"));
}

/// The signal reports changed settings, which take effect at the next start.
#[actix_rt::test]
async fn a_hangup_signal_aborts_no_request() {
    let fleet = FleetHarness::new().with_runner("dala", "e1", RunnerMode::Stream(5));
    let host = fleet.start_host("h1").await;
    fleet.runners[0].gate().close();
    let reload = async {
        let started = || async { (fleet.runners[0].runs().len() == 1).then_some(()) };
        eventually(started).await.expect("the stream did not start");
        host.signal(Signal::Hangup).unwrap();
        let logged = || async { host.log().contains("CF0105").then_some(()) };
        eventually(logged).await.expect("the signal was not logged");
        fleet.runners[0].gate().open();
    };
    let (response, ()) = futures_util::join!(call(&host, "id-1", "/tags/"), reload);
    assert_eq!(response.body, Some(events(5)));
    assert!(host.is_ready().await);
}

/// Requests that waited for a runner at the stop limit lost their connections, though they
/// had not run; so did those that ran.
#[actix_rt::test]
async fn every_request_is_answered_before_the_stop_limit() {
    const RUNNING: usize = 2;
    const WAITING: usize = 30;
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Whole);
    let settings = fleet.settings("h1").with_limit("stop-limit", "4s");
    let mut host = Daemon::start_ready(settings).await;
    fleet.runners[0].gate().close();
    let callers = host.settings().callers;
    let calls = |prefix: &str, count: usize| {
        let ids = (0..count).map(|number| format!("{prefix}-{number}")).collect::<Vec<_>>();
        join_all(ids.into_iter().map(|id| async move {
            let response = try_call_at(callers, &id, "/lookup/count/").await;
            response.unwrap_or_else(|| panic!("{id} got no answer"))
        }))
    };
    let stop = async {
        let started = || async { (fleet.runners[0].runs().len() == RUNNING).then_some(()) };
        eventually(started).await.expect("the requests did not start");
        let waiting = calls("waiting", WAITING);
        let signal = async {
            let is_waiting = || async { host.log().contains("event=CF0510").then_some(()) };
            eventually(is_waiting).await.expect("no request waits");
            host.signal(Signal::Terminate).unwrap();
        };
        futures_util::join!(waiting, signal).0
    };
    let (running, waiting) = futures_util::join!(calls("running", RUNNING), stop);
    for response in &waiting {
        assert_eq!((response.status, response.reason()), (503, "stopping".to_owned()));
        assert!(response.headers.contains_key("retry-after"), "{response:?}");
    }
    for response in &running {
        assert_eq!((response.status, response.reason()), (502, "stop-limit".to_owned()));
    }
    assert_eq!(fleet.runners[0].runs().len(), RUNNING);
    assert!(host.exited().await.unwrap().success());
}

/// The process ended once the HTTP library had the last bytes, which a slow caller had not
/// received yet.
#[actix_rt::test]
async fn a_response_that_its_caller_reads_slowly_is_finished() {
    const EVENT_BYTES: usize = 20_000;
    const EVENTS: u64 = 700;
    let fleet = FleetHarness::new().with_runner("survey", "r1", RunnerMode::Stream(EVENTS));
    fleet.runners[0].set_version(&"x".repeat(EVENT_BYTES));
    let settings = fleet.settings("h1").with_limit("stop-limit", "60s");
    let mut host = Daemon::start_ready(settings).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 << 10).unwrap();
    let mut stream = socket.connect(host.settings().callers).await.unwrap();
    let head = format!(
        "POST /lookup/ HTTP/1.1\r\nhost: desk.example\r\n{ID}: slow\r\n{KEY}: {DESK_KEY}\r\n\
         content-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut buf = vec![0; 40 << 10];
    let mut bytes = stream.read(&mut buf).await.unwrap();
    host.signal(Signal::Terminate).unwrap();
    while let Ok(read) = stream.read(&mut buf).await {
        if read == 0 {
            break;
        }
        bytes += read;
        sleep(Duration::from_millis(20)).await;
    }
    assert!(bytes >= EVENT_BYTES * EVENTS as usize, "{bytes}");
    assert!(host.exited().await.unwrap().success());
}

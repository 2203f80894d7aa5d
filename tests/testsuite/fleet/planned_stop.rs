//! The planned stop of a host.

use comfreyway_testkit::{
    daemon::{Signal, eventually},
    fleet_runner::RunnerMode,
};

use super::harness::{FleetHarness, call, events, try_call};

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

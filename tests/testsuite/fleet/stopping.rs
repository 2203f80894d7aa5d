//! The planned stop of a host.

use comfreyway_testkit::{
    daemon::{Signal, eventually},
    fleet_runner::RunnerMode,
};

use super::site::{Site, call, events, try_call};

/// The stop once hung when it closed connections with requests in progress,
/// until the process was killed.
#[actix_rt::test]
async fn a_stream_that_outlasts_the_balancers_time_is_finished() {
    let site = Site::new().with_runner("dala", "e1", RunnerMode::Stream(5));
    let mut host = site.host("h1").await;
    site.runners[0].gate().close();
    let stop = async {
        let held = || async { (site.runners[0].runs().len() == 1).then_some(()) };
        eventually(held).await.expect("the stream did not start");
        host.signal(Signal::Terminate).unwrap();
        let unready = || async { (!host.is_ready().await).then_some(()) };
        eventually(unready).await.expect("the host stays ready");
        // After the balancer's time the host refuses what still comes: an
        // answer could be cut by the stop limit.
        let refused = || async {
            let answer = try_call(&host, "late").await?;
            (answer.reason() == "stopping").then_some(answer)
        };
        let answer = eventually(refused).await.expect("late requests are not refused");
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        site.runners[0].gate().open();
    };
    let (answer, ()) = futures_util::join!(call(&host, "id-1", "/tags/"), stop);
    assert_eq!((answer.status, answer.body), (200, Some(events(5))));
    assert!(host.exited().await.unwrap().success());
}

/// The balancer still sends callers to a host for a while after it has stopped
/// being ready; they are served, each on its last connection.
#[actix_rt::test]
async fn callers_that_the_balancer_still_sends_are_served() {
    let site = Site::new().with_runner("survey", "r1", RunnerMode::Whole);
    let host = site.host("h1").await;
    host.signal(Signal::Terminate).unwrap();
    let unready = || async { (!host.is_ready().await).then_some(()) };
    eventually(unready).await.expect("the host stays ready");
    let first = try_call(&host, "id-1").await.expect("the host closed at once");
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.headers.get("connection").map(String::as_str), Some("close"));
}

#[actix_rt::test]
async fn a_signal_that_settings_changed_cuts_nothing() {
    let site = Site::new().with_runner("dala", "e1", RunnerMode::Stream(5));
    let host = site.host("h1").await;
    site.runners[0].gate().close();
    let reload = async {
        let held = || async { (site.runners[0].runs().len() == 1).then_some(()) };
        eventually(held).await.expect("the stream did not start");
        host.signal(Signal::Hangup).unwrap();
        let noted = || async { host.log().contains("CF0105").then_some(()) };
        eventually(noted).await.expect("the signal was not noted");
        site.runners[0].gate().open();
    };
    let (answer, ()) = futures_util::join!(call(&host, "id-1", "/tags/"), reload);
    assert_eq!(answer.body, Some(events(5)));
    assert!(host.is_ready().await);
}

//! A planned stop while a stream is in progress.

use comfreyway_testkit::{
    daemon::{DaemonSettings, Signal, TempDir, eventually},
    engine::{EngineSettings, EngineStandIn},
};
use rstest::rstest;

use crate::support::{Daemon, Fixture, Response};

/// One daemon with one engine.
struct Harness {
    daemon: Daemon,
    engine: EngineStandIn,
    _dir: TempDir,
}

impl Harness {
    async fn start(stop_limit: &str) -> Self {
        let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
        let text = Fixture::new().with_engine(engine.address()).text();
        let dir = TempDir::new().unwrap();
        let file = dir.write("configuration.ini", &text).unwrap();
        let settings = DaemonSettings::with_embedded("host-0", &file).unwrap();
        let settings = settings.with_limit("stop-limit", stop_limit);
        Self { daemon: Daemon::start_ready(settings).await, engine, _dir: dir }
    }

    /// Sends a request whose stream the engine holds, begins the stop and waits
    /// until the daemon refuses new requests.
    async fn stop_during_a_stream(&self) -> actix_rt::task::JoinHandle<Response> {
        self.engine.gate().close();
        let caller = self.daemon.caller();
        let call = actix_rt::spawn(async move { caller.chat("held", 40, true).await });
        self.engine.log().reached(1).await;
        self.daemon.signal(Signal::Terminate).unwrap();
        let log = || async { self.daemon.log().contains("CF0102").then_some(()) };
        eventually(log).await.expect("the stop did not begin");
        call
    }
}

#[actix_rt::test]
async fn stream_in_progress_is_finished() {
    let mut harness = Harness::start("none").await;
    let call = harness.stop_during_a_stream().await;
    let refused = harness.daemon.caller().chat("late", 1, false).await;
    assert_eq!((refused.outcome.as_str(), refused.reason.as_str()), ("not-run", "stopping"));
    harness.engine.gate().open();
    let response = call.await.unwrap();
    assert!(response.is_complete(), "{response:?}");
    assert!(harness.daemon.exited().await.unwrap().success());
    assert_eq!(harness.engine.log().count(), 1);
    assert!(!harness.daemon.log().contains("CF0104"));
}

#[rstest]
#[case::second_signal("none", true)]
#[case::operators_limit("1s", false)]
#[actix_rt::test]
async fn only_a_second_signal_or_the_limit_aborts_a_stream(
    #[case] limit: &str,
    #[case] signalled: bool,
) {
    let mut harness = Harness::start(limit).await;
    let call = harness.stop_during_a_stream().await;
    if signalled {
        harness.daemon.signal(Signal::Terminate).unwrap();
    }
    let response = call.await.unwrap();
    assert!(!response.is_complete(), "{response:?}");
    harness.daemon.exited().await.unwrap();
    assert!(harness.daemon.log().contains("CF0104"), "the abort is not in the log");
}

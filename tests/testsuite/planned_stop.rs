//! A planned stop while a stream is in progress.

use comfreyway_testkit::{
    daemon::{DaemonSettings, Signal, TempDir, eventually},
    engine::{EngineSettings, EngineStandIn},
};
use rstest::rstest;

use crate::support::{Answer, Daemon, Fixture};

/// One daemon before one engine.
struct Bench {
    daemon: Daemon,
    engine: EngineStandIn,
    _dir: TempDir,
}

impl Bench {
    async fn start(stop_limit: &str) -> Self {
        let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
        let text = Fixture::new().with_engine(engine.address()).text();
        let dir = TempDir::new().unwrap();
        let file = dir.write("configuration.ini", &text).unwrap();
        let settings = DaemonSettings::with_embedded("host-0", &file).unwrap();
        let settings = settings.with_limit("stop-limit", stop_limit);
        Self { daemon: Daemon::start_ready(settings).await, engine, _dir: dir }
    }

    /// Sends a request whose stream the engine holds, begins the stop, and
    /// waits until the daemon refuses new work.
    async fn stop_during_a_stream(&self) -> actix_rt::task::JoinHandle<Answer> {
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
    let mut bench = Bench::start("none").await;
    let call = bench.stop_during_a_stream().await;
    let refused = bench.daemon.caller().chat("late", 1, false).await;
    assert_eq!((refused.outcome.as_str(), refused.reason.as_str()), ("not-run", "stopping"));
    bench.engine.gate().open();
    let answer = call.await.unwrap();
    assert!(answer.looks_answered(), "{answer:?}");
    assert!(bench.daemon.exited().await.unwrap().success());
    assert_eq!(bench.engine.log().count(), 1);
    assert!(!bench.daemon.log().contains("CF0104"));
}

#[rstest]
#[case::second_signal("none", true)]
#[case::operators_limit("1s", false)]
#[actix_rt::test]
async fn only_a_second_signal_or_the_limit_cuts_a_stream(
    #[case] limit: &str,
    #[case] signalled: bool,
) {
    let mut bench = Bench::start(limit).await;
    let call = bench.stop_during_a_stream().await;
    if signalled {
        bench.daemon.signal(Signal::Terminate).unwrap();
    }
    let answer = call.await.unwrap();
    assert!(!answer.looks_answered(), "{answer:?}");
    bench.daemon.exited().await.unwrap();
    assert!(bench.daemon.log().contains("CF0104"), "the cut is not in the log");
}

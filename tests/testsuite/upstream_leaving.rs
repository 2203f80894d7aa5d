//! Leaving runners get no new requests after a few seconds, and their requests
//! in progress finish.

use std::time::{Duration, Instant};

use comfreyway_testkit::{
    Leaving,
    daemon::{DaemonSettings, TempDir, eventually},
    engine::{EngineSettings, EngineStandIn},
};
use rstest::rstest;

use crate::support::{Caller, Daemon, Fixture};

/// Time after which a leaving runner gets no new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time for which requests are sent after that.
const OBSERVED_TIME: Duration = Duration::from_secs(1);
const TOKENS: u32 = 5;

struct Harness {
    daemon: Daemon,
    engines: Vec<EngineStandIn>,
    _dir: TempDir,
}

impl Harness {
    /// Starts two engines and a daemon; `first_leaves` marks the first engine as
    /// leaving in the configuration.
    async fn new(first_leaves: bool) -> Self {
        let start = || EngineStandIn::start(EngineSettings::new().with_max_batch(4)).unwrap();
        let engines = vec![start(), start()];
        let mut fixture = Fixture::new();
        for engine in &engines {
            fixture = fixture.with_engine(engine.address());
        }
        if first_leaves {
            fixture = fixture.with_leaving(engines[0].address());
        }
        let dir = TempDir::new().unwrap();
        let file = dir.write("configuration.ini", &fixture.text()).unwrap();
        let settings = DaemonSettings::with_embedded("host-1", &file).unwrap();
        let daemon = Daemon::start_ready(settings).await;
        Self { daemon, engines, _dir: dir }
    }

    fn caller(&self) -> Caller {
        self.daemon.caller()
    }

    fn runs(&self) -> (usize, usize) {
        (self.engines[0].log().count(), self.engines[1].log().count())
    }

    /// Sends different requests, four at a time, for this long.
    async fn send_for(&self, time: Duration) {
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < time {
            let calls = (0..4).map(|_| {
                number += 1;
                let (caller, content) = (self.caller(), format!("Question {number}"));
                async move { caller.chat(&content, TOKENS, true).await }
            });
            for response in futures_util::future::join_all(calls).await {
                assert_ne!(response.outcome, "unknown", "{response:?}");
            }
        }
    }

    /// Sends requests until each engine has run some.
    async fn warm_up(&self) {
        while self.runs().0 == 0 || self.runs().1 == 0 {
            self.send_for(Duration::from_millis(1)).await;
        }
    }
}

#[actix_rt::test]
async fn runner_marked_as_leaving_by_an_operator_gets_no_requests() {
    let harness = Harness::new(true).await;
    harness.send_for(OBSERVED_TIME).await;
    assert_eq!(harness.runs().0, 0);
    assert!(harness.runs().1 > 0);
}

#[rstest]
#[case::announced(Leaving::Announced)]
#[case::refusing(Leaving::Refusing)]
#[actix_rt::test]
async fn runner_that_reports_leaving_itself_gets_no_new_requests(#[case] leaving: Leaving) {
    let harness = Harness::new(false).await;
    harness.warm_up().await;
    harness.engines[0].set_leaving(leaving);
    harness.send_for(LEAVING_LIMIT).await;
    let before = harness.runs();
    harness.send_for(OBSERVED_TIME).await;
    let after = harness.runs();
    assert_eq!(after.0, before.0);
    assert!(after.1 > before.1);
}

#[actix_rt::test]
async fn requests_in_progress_on_a_leaving_runner_finish() {
    let harness = Harness::new(false).await;
    harness.warm_up().await;
    // Both engines block, so that a request reaches the first one whichever the
    // scheduler prefers.
    harness.engines.iter().for_each(|engine| engine.gate().close());
    let before = harness.runs().0;
    let mut held = Vec::new();
    eventually(|| {
        let (caller, content) = (harness.caller(), format!("Held {}", held.len()));
        held.push(actix_rt::spawn(async move { caller.chat(&content, TOKENS, true).await }));
        let runs = harness.runs().0 - before;
        async move { (runs > 0).then_some(()) }
    })
    .await
    .expect("a request reaches the engine");
    harness.engines[0].set_leaving(Leaving::Announced);
    harness.engines.iter().for_each(|engine| engine.gate().open());
    for call in held {
        let response = call.await.unwrap();
        assert!(response.is_complete(), "{response:?}");
    }
}

#[actix_rt::test]
async fn runner_that_stops_leaving_is_used_again() {
    let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
    let text = Fixture::new().with_engine(engine.address()).text();
    let dir = TempDir::new().unwrap();
    let file = dir.write("configuration.ini", &text).unwrap();
    let settings = DaemonSettings::with_embedded("host-0", &file).unwrap();
    let daemon = Daemon::start_ready(settings).await;
    let caller = daemon.caller();
    for round in 0..3 {
        engine.set_leaving(Leaving::Announced);
        let marked = caller.chat(&format!("marked {round}"), 1, false).await;
        engine.set_leaving(Leaving::No);
        let later = caller.chat(&format!("later {round}"), 1, false).await;
        assert!(marked.is_complete() && later.is_complete(), "{marked:?} {later:?}");
    }
    assert_eq!(engine.log().count(), 6);
}

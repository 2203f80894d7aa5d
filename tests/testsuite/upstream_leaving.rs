//! Upstreams that leave: no new work after a few seconds, and what runs ends.

use std::time::{Duration, Instant};

use comfreyway_testkit::{
    Leaving,
    daemon::{DaemonSettings, TempDir, eventually},
    engine::{EngineSettings, EngineStandIn},
};
use rstest::rstest;

use crate::support::{Caller, Daemon, Fixture};

/// Time after which a leaving upstream gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time for which requests go on being sent after that.
const WATCHED: Duration = Duration::from_secs(1);
const TOKENS: u32 = 5;

struct Bench {
    daemon: Daemon,
    engines: Vec<EngineStandIn>,
    _dir: TempDir,
}

impl Bench {
    /// Two engines, the first of which an operator may have told to leave.
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
            for answer in futures_util::future::join_all(calls).await {
                assert_ne!(answer.outcome, "unknown", "{answer:?}");
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
async fn runner_that_an_operator_told_to_leave_gets_no_work() {
    let bench = Bench::new(true).await;
    bench.send_for(WATCHED).await;
    assert_eq!(bench.runs().0, 0);
    assert!(bench.runs().1 > 0);
}

#[rstest]
#[case::announced(Leaving::Announced)]
#[case::refusing(Leaving::Refusing)]
#[actix_rt::test]
async fn runner_that_says_so_itself_gets_no_new_work(#[case] leaving: Leaving) {
    let bench = Bench::new(false).await;
    bench.warm_up().await;
    bench.engines[0].set_leaving(leaving);
    bench.send_for(LEAVING_LIMIT).await;
    let before = bench.runs();
    bench.send_for(WATCHED).await;
    let after = bench.runs();
    assert_eq!(after.0, before.0);
    assert!(after.1 > before.1);
}

#[actix_rt::test]
async fn work_that_runs_on_a_leaving_runner_ends() {
    let bench = Bench::new(false).await;
    bench.warm_up().await;
    // Both are held, so that requests reach the first one whichever is preferred.
    bench.engines.iter().for_each(|engine| engine.gate().close());
    let before = bench.runs().0;
    let mut held = Vec::new();
    eventually(|| {
        let (caller, content) = (bench.caller(), format!("Held {}", held.len()));
        held.push(actix_rt::spawn(async move { caller.chat(&content, TOKENS, true).await }));
        let runs = bench.runs().0 - before;
        async move { (runs > 0).then_some(()) }
    })
    .await
    .expect("a request reaches the engine");
    bench.engines[0].set_leaving(Leaving::Announced);
    bench.engines.iter().for_each(|engine| engine.gate().open());
    for call in held {
        let answer = call.await.unwrap();
        assert!(answer.looks_answered(), "{answer:?}");
    }
}

#[actix_rt::test]
async fn runner_that_stays_after_all_is_used_again() {
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
        assert!(marked.looks_answered() && later.looks_answered(), "{marked:?} {later:?}");
    }
    assert_eq!(engine.log().count(), 6);
}

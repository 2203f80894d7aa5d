//! Outages and slow answers of the platform. Nothing on the request path waits
//! for it.

use std::time::Duration;

use comfreyway_testkit::{
    daemon::DaemonSettings,
    engine::{EngineSettings, EngineStandIn},
    store::{StoreFaults, StoreOutage, StoreStandIn},
};
use rstest::rstest;

use crate::{
    fleet::site::runner_entry,
    support::{Daemon, Fixture, seed},
};

const TOKENS: u32 = 5;
const REQUESTS: usize = 20;
/// Time after which a leaving upstream gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// A daemon before one engine, with the key-value service beside it.
struct Bench {
    engine: EngineStandIn,
    kv: StoreStandIn,
}

impl Bench {
    async fn new() -> Self {
        let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
        let kv = StoreStandIn::start().unwrap();
        seed(&kv, &Fixture::new().with_engine(engine.address())).await;
        Self { engine, kv }
    }

    fn settings(&self) -> DaemonSettings {
        DaemonSettings::with_class_store("host-1", self.kv.address()).unwrap()
    }

    /// Every request is answered, and each ran once.
    async fn serves(&self, daemon: &Daemon) {
        for i in 0..REQUESTS {
            let answer = daemon.caller().chat(&format!("Question {i}"), TOKENS, true).await;
            assert!(answer.looks_answered(), "{answer:?}");
            assert_eq!(self.engine.log().count_of(&answer.request_id), 1);
        }
    }
}

#[rstest]
#[case::unavailable(StoreOutage::Busy)]
#[case::cut(StoreOutage::Cut)]
#[case::hanging(StoreOutage::Silent)]
#[actix_rt::test]
async fn requests_are_served_through_an_outage(#[case] outage: StoreOutage) {
    let bench = Bench::new().await;
    let daemon = Daemon::start_ready(bench.settings()).await;
    bench.kv.set_faults(StoreFaults::new().with_outage(outage));
    bench.serves(&daemon).await;
    assert!(daemon.is_ready().await);
}

#[actix_rt::test]
async fn requests_are_served_while_the_service_refuses_connections() {
    let mut bench = Bench::new().await;
    let daemon = Daemon::start_ready(bench.settings()).await;
    bench.kv.stop();
    bench.serves(&daemon).await;
    bench.kv.start_again().unwrap();
    bench.serves(&daemon).await;
}

#[actix_rt::test]
async fn requests_are_served_while_the_service_is_slow() {
    let bench = Bench::new().await;
    let daemon = Daemon::start_ready(bench.settings()).await;
    bench.kv.set_faults(StoreFaults::new().with_delay(Duration::from_secs(2)));
    bench.serves(&daemon).await;
}

#[actix_rt::test]
async fn daemon_that_starts_in_an_outage_runs_nothing_until_it_has_a_configuration() {
    let mut bench = Bench::new().await;
    bench.kv.stop();
    let mut daemon = Daemon::start(bench.settings());
    let refused = comfreyway_testkit::daemon::eventually(|| async {
        let answer = daemon.caller().chat("Too early", TOKENS, true).await;
        answer.status.map(|_| answer)
    })
    .await
    .expect("the daemon listens");
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert!(!daemon.is_ready().await);
    bench.kv.start_again().unwrap();
    daemon.ready().await.unwrap();
    bench.serves(&daemon).await;
    assert_eq!(bench.engine.log().count(), REQUESTS);
}

#[actix_rt::test]
async fn runner_that_the_store_calls_leaving_gets_no_new_work() {
    let engines: Vec<_> =
        (0..2).map(|_| EngineStandIn::start(EngineSettings::new()).unwrap()).collect();
    let kv = StoreStandIn::start().unwrap();
    let fixture =
        engines.iter().fold(Fixture::new(), |fixture, e| fixture.with_engine(e.address()));
    seed(&kv, &fixture).await;
    let list = |i: usize, state: &str| {
        let entry = runner_entry(engines[i].address(), "dala-llm", state);
        kv.put(&format!("servers/dala-llm-{i}"), entry.to_string().as_bytes());
    };
    list(0, "ready");
    list(1, "ready");
    let settings = DaemonSettings::with_class_store("host-1", kv.address());
    let daemon = Daemon::start_ready(settings.unwrap()).await;
    let send = |count: usize| {
        let calls = (0..count).map(|i| {
            let caller = daemon.caller();
            async move { caller.chat(&format!("Question {i}"), TOKENS, true).await }
        });
        futures_util::future::join_all(calls)
    };
    while engines[0].log().count() == 0 {
        send(8).await;
    }
    list(0, "draining");
    actix_rt::time::sleep(LEAVING_LIMIT).await;
    let before = engines[0].log().count();
    for answer in send(50).await {
        assert!(answer.looks_answered(), "{answer:?}");
    }
    assert_eq!(engines[0].log().count(), before);
}

//! Outages and slow responses of the platform. No request waits for the
//! platform.

use std::time::Duration;

use comfreyway_testkit::{
    daemon::DaemonSettings,
    engine::{EngineSettings, EngineStandIn},
    store::{StoreFaults, StoreOutage, StoreStandIn},
};
use rstest::rstest;

use crate::{
    fleet::harness::runner_entry,
    support::{Daemon, Fixture, seed},
};

const TOKENS: u32 = 5;
const REQUESTS: usize = 20;
/// Time after which a leaving runner gets no new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// One engine and the key-value service whose configuration refers to it.
struct Harness {
    engine: EngineStandIn,
    kv: StoreStandIn,
}

impl Harness {
    async fn new() -> Self {
        let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
        let kv = StoreStandIn::start().unwrap();
        seed(&kv, &Fixture::new().with_engine(engine.address())).await;
        Self { engine, kv }
    }

    fn settings(&self) -> DaemonSettings {
        DaemonSettings::with_class_store("host-1", self.kv.address()).unwrap()
    }

    /// Asserts that every request gets a complete response and ran once.
    async fn assert_serves(&self, daemon: &Daemon) {
        for i in 0..REQUESTS {
            let response = daemon.caller().chat(&format!("Question {i}"), TOKENS, true).await;
            assert!(response.is_complete(), "{response:?}");
            assert_eq!(self.engine.log().count_of(&response.request_id), 1);
        }
    }
}

#[rstest]
#[case::unavailable(StoreOutage::Busy)]
#[case::cut(StoreOutage::Cut)]
#[case::hanging(StoreOutage::Silent)]
#[actix_rt::test]
async fn requests_are_served_during_an_outage(#[case] outage: StoreOutage) {
    let harness = Harness::new().await;
    let daemon = Daemon::start_ready(harness.settings()).await;
    harness.kv.set_faults(StoreFaults::new().with_outage(outage));
    harness.assert_serves(&daemon).await;
    assert!(daemon.is_ready().await);
}

#[actix_rt::test]
async fn requests_are_served_while_the_service_refuses_connections() {
    let mut harness = Harness::new().await;
    let daemon = Daemon::start_ready(harness.settings()).await;
    harness.kv.stop();
    harness.assert_serves(&daemon).await;
    harness.kv.start_again().unwrap();
    harness.assert_serves(&daemon).await;
}

#[actix_rt::test]
async fn requests_are_served_while_the_service_is_slow() {
    let harness = Harness::new().await;
    let daemon = Daemon::start_ready(harness.settings()).await;
    harness.kv.set_faults(StoreFaults::new().with_delay(Duration::from_secs(2)));
    harness.assert_serves(&daemon).await;
}

#[actix_rt::test]
async fn daemon_started_in_an_outage_runs_nothing_until_it_has_a_configuration() {
    let mut harness = Harness::new().await;
    harness.kv.stop();
    let mut daemon = Daemon::start(harness.settings());
    let refused = comfreyway_testkit::daemon::eventually(|| async {
        let response = daemon.caller().chat("Too early", TOKENS, true).await;
        response.status.map(|_| response)
    })
    .await
    .expect("the daemon sent no response");
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert!(!daemon.is_ready().await);
    harness.kv.start_again().unwrap();
    daemon.ready().await.unwrap();
    harness.assert_serves(&daemon).await;
    assert_eq!(harness.engine.log().count(), REQUESTS);
}

#[actix_rt::test]
async fn runner_marked_as_draining_in_the_store_gets_no_new_requests() {
    let engines: Vec<_> =
        (0..2).map(|_| EngineStandIn::start(EngineSettings::new()).unwrap()).collect();
    let kv = StoreStandIn::start().unwrap();
    let fixture =
        engines.iter().fold(Fixture::new(), |fixture, e| fixture.with_engine(e.address()));
    seed(&kv, &fixture).await;
    let put_runner = |i: usize, state: &str| {
        let entry = runner_entry(engines[i].address(), "dala-llm", state);
        kv.put(&format!("servers/dala-llm-{i}"), entry.to_string().as_bytes());
    };
    put_runner(0, "ready");
    put_runner(1, "ready");
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
    put_runner(0, "draining");
    actix_rt::time::sleep(LEAVING_LIMIT).await;
    let before = engines[0].log().count();
    for response in send(50).await {
        assert!(response.is_complete(), "{response:?}");
    }
    assert_eq!(engines[0].log().count(), before);
}

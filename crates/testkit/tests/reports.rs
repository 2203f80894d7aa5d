//! Tests that the daemon reports the state of runners from responses of stand-ins
//! and from the store.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, rc::Rc};

use actix::{Actor, Context, Handler};
use comfreyway_adapter::{StoreClient, StoreHostList};
use comfreyway_core::ids::PoolId;
use comfreyway_node::reports::{
    ReportsActor, RunnerEvent, RunnerEventKind, WatchRunners, WatchedRunner,
};
use comfreyway_platform::HostList;
use comfreyway_testkit::{
    Leaving,
    engine::{EngineSettings, EngineStandIn},
    service::ServiceStandIn,
    store::StoreStandIn,
};
use rstest::rstest;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Forwards events to a channel.
struct Listener(UnboundedSender<RunnerEvent>);

impl Actor for Listener {
    type Context = Context<Self>;
}

impl Handler<RunnerEvent> for Listener {
    type Result = ();

    fn handle(&mut self, event: RunnerEvent, _: &mut Self::Context) {
        self.0.send(event).unwrap();
    }
}

fn runner(address: SocketAddr, engine: bool) -> WatchedRunner {
    let pool = PoolId { upstream: "llm".parse().unwrap(), region: "almaty".parse().unwrap() };
    WatchedRunner { pool, name: "r1".parse().unwrap(), address, engine }
}

fn listen(
    runner: WatchedRunner,
    host_list: Option<Rc<dyn HostList>>,
) -> UnboundedReceiver<RunnerEvent> {
    let (tx, rx) = unbounded_channel();
    let owner = Listener(tx).start().recipient();
    ReportsActor::new(host_list, owner).start().do_send(WatchRunners(vec![runner]));
    rx
}

async fn next_leaving(rx: &mut UnboundedReceiver<RunnerEvent>) -> bool {
    loop {
        if let RunnerEventKind::Leaving(leaving) = rx.recv().await.unwrap().kind {
            return leaving;
        }
    }
}

#[rstest]
#[case::announced(Leaving::Announced)]
#[case::refusing(Leaving::Refusing)]
#[actix_rt::test]
async fn leaving_runner_is_reported_from_its_responses(#[case] leaving: Leaving) {
    let service = ServiceStandIn::start().unwrap();
    let mut events = listen(runner(service.address(), false), None);
    assert!(matches!(events.recv().await.unwrap().kind, RunnerEventKind::Load(_)));
    service.set_leaving(leaving);
    assert!(next_leaving(&mut events).await);
    service.set_leaving(Leaving::No);
    assert!(!next_leaving(&mut events).await);
}

#[actix_rt::test]
async fn draining_runner_is_reported_from_the_host_list() {
    let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
    let store = StoreStandIn::start().unwrap();
    let list = |state: &str| {
        let address = engine.address();
        let entry = format!(
            r#"{{"service":"llm","address":"{address}","zone":"medeu","version":"v1",
                "slots":2,"state":"{state}","coldLeftMs":0,"seq":1}}"#
        );
        store.put("servers/r1", entry.as_bytes());
    };
    list("ready");
    // An entry that can't be parsed adds no runner and hides none.
    store.put("servers/r0", b"?");
    let client = StoreHostList::new(StoreClient::new(store.address()));
    let mut events = listen(runner(engine.address(), true), Some(Rc::new(client)));
    list("draining");
    assert!(next_leaving(&mut events).await);
    list("ready");
    assert!(!next_leaving(&mut events).await);
}

#[actix_rt::test]
async fn cache_events_of_an_engine_are_read_once() {
    let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let chat = serde_json::json!({
        "model": "m",
        "messages": [{"role": "user", "content": "x".repeat(1_000)}],
        "max_tokens": 1,
    });
    let mut events = listen(runner(engine.address(), true), None);
    awc::Client::default().post(url).send_json(&chat).await.unwrap();
    let mut stored = 0;
    let mut loads_after = 0;
    while loads_after < 2 {
        match events.recv().await.unwrap().kind {
            RunnerEventKind::Cache(comfreyway_core::pool::CacheEvent::Stored(blocks)) => {
                assert!(!blocks.is_empty());
                stored += 1;
            }
            RunnerEventKind::Load(_) if stored > 0 => loads_after += 1,
            _ => {}
        }
    }
    assert_eq!(stored, 1);
}

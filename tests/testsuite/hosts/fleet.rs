//! Several daemons over one key-value service and the same upstreams.

use std::rc::Rc;

use comfreyway_adapter::{StoreClient, StoreKeyValue};
use comfreyway_core::{
    cluster::PoolRecord,
    config::{Change, ChangeId, ChangeOutcome, Document},
    ids::HostName,
};
use comfreyway_node::config::{ConfigActor, NoPeers};
use comfreyway_platform::KeyValue;
use comfreyway_testkit::{
    RunLog,
    daemon::{DaemonSettings, eventually},
    engine::{EngineSettings, EngineStandIn},
    service::ServiceStandIn,
    store::StoreStandIn,
};

use crate::support::{Caller, Daemon, Fixture};

/// Key of the engines' pool in the key-value service.
const ENGINE_POOL_KEY: &str = "comfreyway/pools/dala-llm@almaty";

/// Several daemons over one key-value service and the same upstreams.
pub(super) struct Fleet {
    pub(super) kv: StoreStandIn,
    pub(super) engine: EngineStandIn,
    pub(super) service: ServiceStandIn,
    pub(super) daemons: Vec<Option<Daemon>>,
}

impl Fleet {
    /// Starts the daemons and waits until all are ready and the pool of the
    /// engines has a standby.
    pub(super) async fn start(hosts: usize) -> Self {
        let kv = StoreStandIn::start().unwrap();
        let engine = EngineStandIn::start(EngineSettings::new()).unwrap();
        let service = ServiceStandIn::start().unwrap();
        let fixture = Fixture::new().with_engine(engine.address()).with_service(service.address());
        write_configuration(&kv, &fixture.text()).await;
        let name = |ix| format!("host-{ix}");
        let settings: Vec<_> = (0..hosts)
            .map(|ix| DaemonSettings::with_class_store(&name(ix), kv.address()))
            .collect();
        let settings: Vec<_> = settings.into_iter().map(Result::unwrap).collect();
        let peers: Vec<_> = settings.iter().map(|s| (s.name.clone(), s.peers)).collect();
        let mut daemons = Vec::new();
        for mut settings in settings {
            let own = settings.name.clone();
            for (name, address) in peers.iter().filter(|(name, _)| *name != own) {
                settings = settings.with_peer(name, *address);
            }
            daemons.push(Daemon::start(settings));
        }
        for daemon in &mut daemons {
            daemon.ready().await.unwrap();
        }
        let daemons = daemons.into_iter().map(Some).collect();
        let fleet = Self { kv, engine, service, daemons };
        if hosts > 1 {
            fleet.wait_for_record(|record| record.standby.is_some()).await;
        }
        fleet
    }

    /// Waits until the stored record of the engines' pool meets a condition.
    pub(super) async fn wait_for_record(
        &self,
        condition: impl Fn(&PoolRecord) -> bool,
    ) -> PoolRecord {
        let found = eventually(|| async {
            let found = self.kv.keys().get(ENGINE_POOL_KEY).await.unwrap()?;
            let record: PoolRecord = serde_json::from_slice(&found.value).unwrap();
            condition(&record).then_some(record)
        });
        found.await.expect("the pool's record never met the condition")
    }

    pub(super) async fn owner(&self) -> usize {
        let record = self.wait_for_record(|record| record.owner.is_some()).await;
        index(&record.owner.unwrap().name)
    }

    pub(super) async fn standby(&self) -> usize {
        let record = self.wait_for_record(|record| record.standby.is_some()).await;
        index(&record.standby.unwrap().name)
    }

    pub(super) fn daemon(&self, ix: usize) -> &Daemon {
        self.daemons[ix].as_ref().unwrap()
    }

    /// Kills a daemon.
    pub(super) fn kill(&mut self, ix: usize) {
        self.daemons[ix] = None;
    }

    /// Starts an exited daemon again, with the same settings.
    pub(super) async fn restart(&mut self, ix: usize) {
        let settings = self.daemon(ix).settings().clone();
        self.daemons[ix] = None;
        let mut daemon = Daemon::start(settings);
        daemon.ready().await.unwrap();
        self.daemons[ix] = Some(daemon);
    }

    pub(super) fn caller(&self, ix: usize) -> Caller {
        self.daemon(ix).caller()
    }

    /// Returns a running daemon that is not excluded.
    pub(super) fn other_than(&self, excluded: &[usize]) -> usize {
        let eligible = |ix: &usize| !excluded.contains(ix) && self.daemons[*ix].is_some();
        (0..self.daemons.len()).find(eligible).unwrap()
    }
}

fn index(name: &HostName) -> usize {
    name.as_str().trim_start_matches("host-").parse().unwrap()
}

/// Writes the first configuration as an operator does.
async fn write_configuration(kv: &StoreStandIn, text: &str) {
    let document = comfreyway_proto::ini::read(text).unwrap();
    let client = Rc::new(StoreKeyValue::new(StoreClient::new(kv.address())));
    let writer = ConfigActor::start_on_control("writer".parse().unwrap(), client, Rc::new(NoPeers));
    let (id, author) = (ChangeId::new(0, 1), "operator".parse().unwrap());
    let edits = Document::default().diff(&document);
    let outcome = writer.change(Change { id, author, edits }).await;
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    writer.stop();
}

/// Asserts that no request ID ran twice.
pub(super) fn assert_each_ran_once(log: &RunLog) {
    let mut ids: Vec<_> = log.runs().into_iter().map(|run| run.request_id).collect();
    ids.sort();
    let count = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), count, "a request ran twice");
}

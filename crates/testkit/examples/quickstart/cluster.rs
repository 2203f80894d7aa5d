//! Processes and stand-ins of the quickstart.

use std::{env, io, net::SocketAddr};

use comfreyway_cli::ops::Client;
use comfreyway_core::config::{Change, ChangeId, Document};
use comfreyway_proto::operator::ChangeOutcomeName;
use comfreyway_testkit::{
    daemon::{DaemonProcess, DaemonSettings, Signal, eventually},
    engine::{EngineSettings, EngineStandIn},
    service::ServiceStandIn,
    store::StoreStandIn,
};

use crate::Failure;

/// Number of daemons.
const HOSTS: usize = 3;

/// Speeds of the engines: prefill and decode in tokens per second.
const ENGINE_RATES: [(f64, f64); 3] = [(8_000.0, 60.0), (4_000.0, 40.0), (2_000.0, 25.0)];

/// Processes and stand-ins of the quickstart. All of them stop on drop.
pub(crate) struct Cluster {
    daemons: Vec<DaemonProcess>,
    engines: Vec<EngineStandIn>,
    portal: ServiceStandIn,
    _key_value: StoreStandIn,
}

impl Cluster {
    /// Starts everything and waits until every daemon is ready.
    pub(crate) async fn start() -> Result<Self, Failure> {
        let engines: Vec<_> = ENGINE_RATES
            .iter()
            .map(|&(prefill, decode)| EngineSettings::new().with_rates(prefill, decode))
            .map(EngineStandIn::start)
            .collect::<io::Result<_>>()?;
        let portal = ServiceStandIn::start()?;
        let key_value = StoreStandIn::start()?;
        let daemons = start_daemons(key_value.address())?;
        let mut cluster = Self { daemons, engines, portal, _key_value: key_value };
        cluster.configure().await?;
        for daemon in &mut cluster.daemons {
            daemon.ready().await.map_err(|e| format!("{e}; its log:\n{}", daemon.log()))?;
        }
        Ok(cluster)
    }

    /// Returns the number of engines.
    pub(crate) fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Returns the daemons' addresses for callers.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings().callers).collect()
    }

    /// Returns the numbers of requests that the engines and the service ran.
    pub(crate) fn run_counts(&self) -> (usize, usize) {
        let runs = self.engines.iter().map(|engine| engine.log().count()).sum();
        (runs, self.portal.log().count())
    }

    /// Makes a planned stop of the first daemon and waits for its exit.
    pub(crate) async fn stop_first(&mut self) -> Result<(), Failure> {
        let mut first = self.daemons.remove(0);
        first.signal(Signal::Terminate)?;
        let status = first.exited().await?;
        if status.success() { Ok(()) } else { Err(format!("{status}").into()) }
    }

    /// Submits the initial configuration to one daemon, as an operator does.
    async fn configure(&self) -> Result<(), Failure> {
        let document = comfreyway_proto::ini::read(&self.configuration())?;
        let change = Change {
            id: ChangeId::new(0, 1),
            author: "quickstart".parse()?,
            edits: Document::default().diff(&document),
        };
        let client = Client::new(self.daemons[0].settings().operators, None);
        let accepted = eventually(|| async {
            let report = client.change(change.clone(), false).await.ok()?;
            (report.outcome == ChangeOutcomeName::Accepted).then_some(())
        });
        accepted.await.ok_or_else(|| "the configuration was not accepted".into())
    }

    fn configuration(&self) -> String {
        let runners: String = self
            .engines
            .iter()
            .enumerate()
            .map(|(i, engine)| {
                let address = engine.address();
                format!("[runner rackdesk r{i}]\naddress = {address}\ndata-centre = derwent-a\n")
            })
            .collect();
        let portal = self.portal.address();
        format!(
            "[class quote]\ntier = 0\nfirst-token = 1300ms\nbetween-tokens = 76ms\n\
             idempotent = no\n\
             [class triage]\ntier = 1\nwhole-answer = 20s\n\
             [class lookup]\ntier = 2\nwhole-answer = 2s\n\
             [workspace state-library]\n\
             [data-centre derwent-a]\nregion = hobart\n\
             [model rackdesk-model]\nupstream = rackdesk\n\
             [upstream rackdesk]\nkind = engine\nresumes = yes\n{runners}\
             [upstream portal]\nkind = service\n\
             [runner portal p0]\naddress = {portal}\ndata-centre = derwent-a\n\
             [route /portal]\nupstream = portal\nclass = lookup\n"
        )
    }
}

fn start_daemons(key_value: SocketAddr) -> Result<Vec<DaemonProcess>, Failure> {
    let settings: Vec<_> = (1..=HOSTS)
        .map(|n| DaemonSettings::with_class_store(&format!("host-{n}"), key_value))
        .collect::<io::Result<_>>()?;
    let addresses: Vec<_> = settings.iter().map(|s| (s.name.clone(), s.peers)).collect();
    let program = env::current_exe()?;
    let start = |settings: DaemonSettings| {
        let others = addresses.iter().filter(|(name, _)| *name != settings.name);
        let settings = others
            .fold(settings.clone().in_data_centre("derwent-a"), |s, (name, at)| {
                s.with_peer(name, *at)
            });
        DaemonProcess::start(&program, &[], settings)
    };
    Ok(settings.into_iter().map(start).collect::<io::Result<_>>()?)
}

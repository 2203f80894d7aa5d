//! Daemons that share one key-value service and are configured as peers.

use std::{
    path::Path,
    process::{Command, Output, Stdio},
    rc::Rc,
    time::Duration,
};

use comfreyway_cli::ops::Client;
use comfreyway_core::{
    config::{Change, ChangeId, ChangeOutcome, Class, Document, Edit, Element},
    ids::Tier,
    request::Target,
};
use comfreyway_node::config::{ConfigActor, NoPeers};
use comfreyway_testkit::{
    daemon::{DaemonProcess, DaemonSettings, eventually, spawn},
    store::StoreStandIn,
};

/// Several daemons and their key-value service.
pub(crate) struct Fleet {
    pub(crate) kv: StoreStandIn,
    pub(crate) daemons: Vec<DaemonProcess>,
}

/// An edit that sets a class.
pub(crate) fn class(name: &str, tier: u8) -> Edit {
    let target = Target::Whole(Duration::from_secs(1));
    let class = Class { tier: Tier(tier), target, idempotent: true, cancellable: true };
    Edit::Set(Element::Class(name.parse().unwrap(), class))
}

/// A change of one element.
pub(crate) fn change(base: u64, nonce: u64, edit: Edit) -> Change {
    let id = ChangeId::new(base, nonce);
    Change { id, author: "aigul".parse().unwrap(), edits: vec![edit] }
}

pub(crate) fn start_daemon(settings: DaemonSettings) -> DaemonProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_comfreywayd"));
    DaemonProcess::start(program, &[], settings).unwrap()
}

impl Fleet {
    /// Starts daemons whose configuration, version 1, has one class.
    pub(crate) async fn start(count: usize) -> Self {
        let kv = StoreStandIn::start().unwrap();
        let store = Rc::new(kv.keys().clone());
        let host = "first".parse().unwrap();
        let writer = ConfigActor::start_on_control(host, store, Rc::new(NoPeers));
        let outcome = writer.change(change(0, 1, class("quote", 0))).await;
        assert!(matches!(outcome, ChangeOutcome::Accepted { version: 1, .. }), "{outcome:?}");
        writer.stop();
        let names: Vec<_> = (0..count).map(|i| format!("entry-{i}")).collect();
        let settings =
            names.iter().map(|name| DaemonSettings::with_class_store(name, kv.address()));
        let settings: Vec<_> = settings.map(Result::unwrap).collect();
        let with_peers = settings.iter().map(|own| {
            let others = settings.iter().filter(|other| other.name != own.name);
            others.fold(own.clone(), |own, other| own.with_peer(&other.name, other.peers))
        });
        let mut daemons: Vec<_> = with_peers.map(start_daemon).collect();
        for daemon in &mut daemons {
            daemon.ready().await.unwrap();
        }
        let fleet = Self { kv, daemons };
        fleet.wait_for_sessions().await;
        fleet
    }

    /// Waits until every daemon knows that all of them have version 1 or newer.
    async fn wait_for_sessions(&self) {
        for i in 0..self.daemons.len() {
            let client = self.client(i);
            let connected = eventually(|| async {
                let report = client.config_status().await.ok()?;
                let known = report.hosts.iter().filter(|host| host.version >= Some(1)).count();
                (known == self.daemons.len()).then_some(())
            });
            connected.await.unwrap();
        }
    }

    /// Returns an operators' client of one daemon.
    pub(crate) fn client(&self, i: usize) -> Client {
        Client::new(self.daemons[i].settings().operators, None)
    }

    /// Runs the operators' client against one daemon.
    pub(crate) fn run(&self, i: usize, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyway"));
        command
            .arg(format!("--server={}", self.daemons[i].settings().operators))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        spawn(&mut command).unwrap().wait_with_output().unwrap()
    }

    /// Returns the document in force on one daemon.
    pub(crate) async fn document(&self, i: usize) -> Document {
        self.client(i).config().await.unwrap().document
    }

    /// Waits until one daemon has at least this version in force.
    pub(crate) async fn wait_for_version(&self, i: usize, version: u64) {
        let client = self.client(i);
        let reached = eventually(|| async {
            let report = client.config_status().await.ok()?;
            (report.version >= version).then_some(())
        });
        reached.await.unwrap();
    }

    /// Counts the changes of the history with this ID.
    pub(crate) async fn count_applied(&self, id: ChangeId) -> usize {
        let history = self.client(0).history().await.unwrap();
        history.changes.iter().filter(|change| change.id == id).count()
    }
}

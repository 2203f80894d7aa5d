//! Performs the actions of [`Cluster`], which decides on the ownership of pools.

use std::{collections::BTreeSet, rc::Rc};

use actix::{ActorFutureExt, AsyncContext, Context, StreamHandler, WrapFuture};
use comfreyway_core::{
    cluster::{ClaimSource, Cluster, ClusterAction, ClusterInput},
    entry::EntryInput,
    ids::{Epoch, HostId, HostName, PoolId},
    owner::OwnerInput,
    time::MonoTime,
};
use comfreyway_platform::KeyValue;
use comfreyway_proto::peer::{HandOver, PeerMessage};
use futures_util::stream;
use tokio::sync::{mpsc, watch};

use crate::membership::{HostLease, OwnershipStore};

use super::ControlActor;

/// The cluster's state with its access to the key-value service.
pub(super) struct Ownership {
    pub(super) cluster: Cluster,
    store: OwnershipStore,
    lease_wanted: watch::Sender<bool>,
}

impl Ownership {
    pub(super) fn new(host: HostId, kv: Rc<dyn KeyValue>, peers: BTreeSet<HostName>) -> Self {
        let no_peers = peers.is_empty();
        let cluster = Cluster::new(host).with_expected_peers(peers);
        let cluster = if no_peers { cluster.without_startup_delay() } else { cluster };
        let (lease_wanted, _) = watch::channel(false);
        Self { cluster, store: OwnershipStore::new(kv), lease_wanted }
    }
}

/// Sent after each renewal: the time until which this host's lease holds.
struct LeaseRenewed(MonoTime);

impl StreamHandler<LeaseRenewed> for ControlActor {
    fn handle(&mut self, LeaseRenewed(until): LeaseRenewed, cx: &mut Context<Self>) {
        self.cluster_input(ClusterInput::LeaseRenewed(until), cx);
    }

    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl ControlActor {
    /// Starts the task that holds this host's lease while the cluster wants it.
    pub(super) fn start_lease(&mut self, cx: &mut Context<Self>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let wanted = self.ownership.lease_wanted.subscribe();
        let store = self.ownership.store.clone();
        let lease = HostLease::new(self.host.clone(), store, self.clock, wanted, tx);
        actix_rt::spawn(lease.run());
        let renewals = stream::unfold(rx, |mut rx| async {
            rx.recv().await.map(|until| (LeaseRenewed(until), rx))
        });
        cx.add_stream(renewals);
    }

    /// Handles an input of the cluster and performs the resulting actions.
    pub(super) fn cluster_input(&mut self, input: ClusterInput, cx: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.ownership.cluster.handle(self.clock.now(), input, &mut actions);
        for action in actions {
            self.run_cluster_action(action, cx);
        }
        self.run_effects(cx);
    }

    fn run_cluster_action(&mut self, action: ClusterAction, cx: &mut Context<Self>) {
        let now = self.clock.now();
        match action {
            ClusterAction::Read(pool) => self.read_record(pool, cx),
            ClusterAction::Write { pool, expected, record } => {
                let store = self.ownership.store.clone();
                let write = async move {
                    let result = store.write(&pool, expected, &record).await;
                    ClusterInput::WriteCompleted { pool, result }
                };
                self.spawn_call(write, cx);
            }
            ClusterAction::ReadPresence { pool, host } => {
                let store = self.ownership.store.clone();
                let read = async move {
                    let result = store.presence(&host).await;
                    ClusterInput::PresenceReadCompleted { pool, result }
                };
                self.spawn_call(read, cx);
            }
            ClusterAction::HoldLease(wanted) => {
                self.ownership.lease_wanted.send_replace(wanted);
            }
            ClusterAction::BeginTerm { pool, epoch, claim_source } => {
                self.begin_term(now, &pool, epoch, &claim_source);
            }
            ClusterAction::EndTerm(pool) => self.end_term(&pool),
            ClusterAction::SetStandby { pool, host } => {
                self.owner_input(now, &pool, OwnerInput::SetStandby(host));
            }
            ClusterAction::SetCommitCondition { pool, condition } => {
                self.owner_input(now, &pool, OwnerInput::CommitCondition(condition));
            }
            ClusterAction::OwnerChanged { pool, view } => {
                let input = EntryInput::OwnerChanged { pool, view };
                self.decisions.entry_input(now, input, &mut self.effects);
            }
            ClusterAction::Announce { to, announcement } => {
                self.send_to(to.as_ref(), &PeerMessage::Announce(announcement));
            }
            ClusterAction::HandOver { to, pool, epoch } => {
                self.send(&to, &PeerMessage::HandOver(HandOver { pool, epoch }));
            }
            ClusterAction::AnnounceLeaving => self.send_to(None, &PeerMessage::Leaving),
            ClusterAction::SetTimer(at) => self.set_timer(at, cx),
        }
    }

    fn read_record(&self, pool: PoolId, cx: &mut Context<Self>) {
        let store = self.ownership.store.clone();
        let read = async move {
            let result = store.read(&pool).await;
            ClusterInput::ReadCompleted { pool, result }
        };
        self.spawn_call(read, cx);
    }

    /// Spawns a call to the key-value service; its result is an input of the
    /// cluster.
    fn spawn_call<F>(&self, call: F, cx: &mut Context<Self>)
    where
        F: Future<Output = ClusterInput> + 'static,
    {
        let call = call.into_actor(self);
        cx.spawn(call.map(|input, control, cx| control.cluster_input(input, cx)));
    }

    fn owner_input(&mut self, now: MonoTime, pool: &PoolId, input: OwnerInput) {
        self.decisions.owner_input(now, pool, input, &mut self.effects);
    }

    fn begin_term(&mut self, now: MonoTime, pool: &PoolId, epoch: Epoch, from: &ClaimSource) {
        self.decisions.begin_term(now, pool, epoch, from);
        for input in self.runners.inputs(pool) {
            self.owner_input(now, pool, OwnerInput::Pool(input));
        }
        let members = self.ownership.cluster.members();
        let holders = self.decisions.claim_holders(pool);
        let down_holders: Vec<_> =
            holders.into_iter().filter(|host| !members.is_up(host)).collect();
        for host in down_holders {
            self.owner_input(now, pool, OwnerInput::EntryDown(host));
        }
        self.watch_runners();
    }

    fn end_term(&mut self, pool: &PoolId) {
        let owner = self.ownership.cluster.owner(pool);
        let epoch = owner.map(|(_, epoch)| epoch).unwrap_or_default();
        self.decisions.end_term(pool, epoch);
        self.watch_runners();
    }
}

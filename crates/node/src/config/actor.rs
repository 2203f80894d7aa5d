//! The actor that holds the configuration in force.
//!
//! It runs on the control thread beside [`crate::control::ControlActor`], passes what
//! the store and the peers send to [`ConfigSync`], and performs the resulting
//! actions. Changes are written one at a time, so that the writers of one host
//! don't lose swaps to each other.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, ActorFutureExt, AsyncContext, Context, SpawnHandle, StreamHandler, WrapFuture};
use comfreyway_core::{
    config::{
        AcceptedConfig, Document, StoredConfig,
        sync::{ANNOUNCE_INTERVAL, ConfigSync, SyncAction, SyncInput},
    },
    ids::HostName,
};
use comfreyway_platform::{KeyValue, Revision};
use futures_util::{StreamExt, stream};
use tokio::sync::{Mutex, watch};

use crate::{
    control::Clock,
    events::{Event, log_event},
};

use super::{
    ConfigHandle, ConfigSender, ConfigStatus,
    store::{ConfigStore, HEAD_KEY, StoreError},
    wire::to_wire,
};

/// Time between two reads of the key-value service by a host that watches it
/// or is not ready. Bounds the delay if a watch stops delivering events.
const POLL_INTERVAL: Duration = Duration::from_millis(2_000);

/// Wait after a failed watch or read before the watch is started again.
const WATCH_RETRY_WAIT: Duration = Duration::from_millis(1_000);

/// Holds the configuration in force.
pub struct ConfigActor {
    clock: Clock,
    sync: ConfigSync,
    pub(super) store: Rc<ConfigStore>,
    pub(super) write_lock: Rc<Mutex<()>>,
    peers: Rc<dyn ConfigSender>,
    accepted: watch::Sender<Arc<AcceptedConfig>>,
    document: watch::Sender<Arc<Document>>,
    ready: watch::Sender<bool>,
    active_watch: Option<SpawnHandle>,
    read_pending: bool,
    /// True if the last read succeeded; none before the first.
    store_reachable: Option<bool>,
}

impl ConfigActor {
    /// Starts the actor on the current arbiter.
    #[must_use]
    pub fn start_on_control(
        host: HostName,
        kv: Rc<dyn KeyValue>,
        peers: Rc<dyn ConfigSender>,
    ) -> ConfigHandle {
        let clock = Clock::new();
        let (accepted, accepted_rx) = watch::channel(Arc::default());
        let (document, document_rx) = watch::channel(Arc::default());
        let (ready, ready_rx) = watch::channel(false);
        let actor = Self {
            sync: ConfigSync::new(host, clock.now()),
            clock,
            store: Rc::new(ConfigStore::new(kv)),
            write_lock: Rc::default(),
            peers,
            accepted,
            document,
            ready,
            active_watch: None,
            read_pending: false,
            store_reachable: None,
        };
        let actor = actor.start();
        ConfigHandle { actor, accepted: accepted_rx, document: document_rx, ready: ready_rx }
    }

    pub(super) fn in_force(&self) -> &AcceptedConfig {
        self.sync.accepted()
    }

    pub(super) fn status(&self) -> ConfigStatus {
        ConfigStatus {
            version: self.sync.accepted().version(),
            ready: self.sync.is_ready(),
            peers: self.sync.peer_versions(),
            store_reachable: self.store_reachable == Some(true),
        }
    }

    pub(super) fn handle_input(&mut self, input: SyncInput, cx: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.sync.handle(self.clock.now(), input, &mut actions);
        for action in actions {
            self.run_action(action, cx);
        }
    }

    fn run_action(&mut self, action: SyncAction, cx: &mut Context<Self>) {
        match action {
            SyncAction::Apply(accepted) => {
                log_event!(Event::ConfigInForce, version = accepted.version());
                self.document.send_replace(Arc::new(accepted.document().clone()));
                self.accepted.send_replace(accepted);
            }
            SyncAction::Ready => {
                self.ready.send_replace(true);
            }
            SyncAction::Send { to, message } => {
                if let Ok(message) = to_wire(&message) {
                    self.peers.send(&to, message);
                }
            }
            SyncAction::Watch(true) => {
                self.start_watch(cx);
                self.read(cx);
            }
            SyncAction::Watch(false) => {
                if let Some(watch) = self.active_watch.take() {
                    cx.cancel_future(watch);
                }
            }
        }
    }

    /// Reads the store unless a read is pending.
    fn read(&mut self, cx: &mut Context<Self>) {
        if std::mem::replace(&mut self.read_pending, true) {
            return;
        }
        let store = self.store.clone();
        let read = async move { store.read().await }.into_actor(self);
        cx.spawn(read.map(|read, actor: &mut Self, cx| {
            actor.read_pending = false;
            actor.handle_read(read, cx);
        }));
    }

    /// Handles the result of a read. Returns false if the read failed.
    pub(super) fn handle_read(
        &mut self,
        read: Result<StoredConfig, StoreError>,
        cx: &mut Context<Self>,
    ) -> bool {
        let was_reachable = self.store_reachable.replace(read.is_ok());
        match read {
            Ok(read) => {
                if was_reachable == Some(false) {
                    log_event!(Event::StoredConfigReadable, version = read.accepted.version());
                }
                self.handle_input(SyncInput::Stored(Arc::new(read.accepted)), cx);
                true
            }
            Err(e) => {
                if was_reachable != Some(false) {
                    log_event!(Event::StoredConfigUnreadable, cause:% = e);
                }
                false
            }
        }
    }

    fn start_watch(&mut self, cx: &mut Context<Self>) {
        let store = self.store.clone();
        let heads = stream::unfold((store, Revision(0)), |(store, seen)| async move {
            let (read, seen) = next_watched(&store, seen).await;
            Some((StoreChanged(read), (store, seen)))
        });
        self.active_watch = Some(cx.add_stream(heads));
    }
}

/// Waits for a change of the head after revision `seen`, reads the current head,
/// and returns it with the revision of the change. The value in the watch's event
/// is not used, because a read in between may have returned a later one. After a
/// failed watch or read, waits for [`WATCH_RETRY_WAIT`], so that failures don't
/// cause a tight loop.
async fn next_watched(
    store: &ConfigStore,
    seen: Revision,
) -> (Option<Arc<AcceptedConfig>>, Revision) {
    let mut events = store.kv().watch(HEAD_KEY, store.revision().max(seen));
    if let Some(Ok(event)) = events.next().await {
        let seen = event.revision();
        if let Ok(read) = store.read().await {
            return (Some(Arc::new(read.accepted)), seen);
        }
    }
    tokio::time::sleep(WATCH_RETRY_WAIT).await;
    (None, seen)
}

/// Sent when the watch has seen a new head, with the configuration, or has failed.
struct StoreChanged(Option<Arc<AcceptedConfig>>);

impl StreamHandler<StoreChanged> for ConfigActor {
    fn handle(&mut self, StoreChanged(read): StoreChanged, cx: &mut Context<Self>) {
        if let Some(accepted) = read {
            self.handle_input(SyncInput::Stored(accepted), cx);
        }
    }

    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl Actor for ConfigActor {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        self.handle_input(SyncInput::Tick, cx);
        self.read(cx);
        cx.run_interval(ANNOUNCE_INTERVAL, |actor, cx| actor.handle_input(SyncInput::Tick, cx));
        cx.run_interval(POLL_INTERVAL, |actor, cx| {
            if actor.active_watch.is_some() || !actor.sync.is_ready() {
                actor.read(cx);
            }
        });
    }
}

//! The configuration as other threads see it.

use std::sync::Arc;

use actix::Addr;
use comfreyway_core::config::{AcceptedConfig, Change, ChangeOutcome, Document, UnknownCause};
use tokio::sync::watch;

use super::{
    ConfigActor, ConfigPeerEvent, ConfigStatus,
    requests::{Refresh, Stop, SubmitChange},
    status::ReadStatus,
};

/// Reads and changes the configuration from any thread. Cheap to clone.
#[derive(Clone)]
pub struct ConfigHandle {
    pub(super) actor: Addr<ConfigActor>,
    pub(super) accepted: watch::Receiver<Arc<AcceptedConfig>>,
    pub(super) document: watch::Receiver<Arc<Document>>,
    pub(super) ready: watch::Receiver<bool>,
}

impl ConfigHandle {
    /// The document in force, and each later one.
    #[must_use]
    pub fn document(&self) -> watch::Receiver<Arc<Document>> {
        self.document.clone()
    }

    /// The configuration in force with its history.
    #[must_use]
    pub fn accepted(&self) -> Arc<AcceptedConfig> {
        self.accepted.borrow().clone()
    }

    /// Turns true once the configuration in force is new enough to serve with.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Writes a change. Ends within seconds; the outcome is unknown if the
    /// key-value service does not answer.
    pub async fn change(&self, change: Change) -> ChangeOutcome {
        let id = change.id;
        let unknown = ChangeOutcome::Unknown { id, cause: UnknownCause::ServiceDown };
        self.actor.send(SubmitChange(change)).await.unwrap_or(unknown)
    }

    /// Reads the key-value service and puts what it holds in force. Returns
    /// false if it does not answer.
    pub async fn refresh(&self) -> bool {
        self.actor.send(Refresh).await.unwrap_or(false)
    }

    /// Passes on an event of a peer.
    pub fn peer_event(&self, event: ConfigPeerEvent) {
        self.actor.do_send(event);
    }

    /// Ends the actor.
    pub fn stop(&self) {
        self.actor.do_send(Stop);
    }

    /// Versions in force here and on the peers; none while the process ends.
    pub async fn status(&self) -> Option<ConfigStatus> {
        self.actor.send(ReadStatus).await.ok()
    }
}

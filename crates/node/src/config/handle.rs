//! Access to the configuration from other threads.

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
    /// Returns a channel with the document in force, updated with each change.
    #[must_use]
    pub fn document(&self) -> watch::Receiver<Arc<Document>> {
        self.document.clone()
    }

    /// Returns the configuration in force with its history.
    #[must_use]
    pub fn accepted(&self) -> Arc<AcceptedConfig> {
        self.accepted.borrow().clone()
    }

    /// Returns a channel that turns true once the configuration in force is new
    /// enough to serve requests with.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Writes a change. Returns within seconds; the outcome is unknown if the
    /// key-value service does not respond.
    pub async fn change(&self, change: Change) -> ChangeOutcome {
        let id = change.id;
        let unknown = ChangeOutcome::Unknown { id, cause: UnknownCause::ServiceDown };
        self.actor.send(SubmitChange(change)).await.unwrap_or(unknown)
    }

    /// Reads the configuration from the key-value service and puts it in force.
    /// Returns false if the read failed.
    pub async fn refresh(&self) -> bool {
        self.actor.send(Refresh).await.unwrap_or(false)
    }

    /// Passes an event of a peer to the actor.
    pub fn peer_event(&self, event: ConfigPeerEvent) {
        self.actor.do_send(event);
    }

    /// Stops the actor.
    pub fn stop(&self) {
        self.actor.do_send(Stop);
    }

    /// Returns the versions in force on this host and on its peers; none if the
    /// actor has stopped.
    pub async fn status(&self) -> Option<ConfigStatus> {
        self.actor.send(ReadStatus).await.ok()
    }
}

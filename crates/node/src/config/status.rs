//! Versions in force on this host and its peers.

use std::collections::BTreeMap;

use actix::{Context, Handler, Message, MessageResult};
use comfreyway_core::ids::HostName;

use super::ConfigActor;

/// Versions in force on this host and on the peers with a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigStatus {
    /// The version in force on this host.
    pub version: u64,
    /// True if this host is ready to serve with it.
    pub ready: bool,
    /// The last version that each peer announced, if any.
    pub peers: BTreeMap<HostName, Option<u64>>,
    /// True if the last read of the key-value service succeeded.
    pub store_reachable: bool,
}

/// Returns the versions in force.
#[derive(Message)]
#[rtype(result = "ConfigStatus")]
pub(super) struct ReadStatus;

impl Handler<ReadStatus> for ConfigActor {
    type Result = MessageResult<ReadStatus>;

    fn handle(&mut self, _: ReadStatus, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.status())
    }
}

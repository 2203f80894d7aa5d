//! First message of a session.

use std::net::SocketAddr;

use comfreyway_core::ids::HostId;
use serde::{Deserialize, Serialize};

/// Version of the peers' protocol that this code speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// First message of a session, in both directions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The sender, with the incarnation of its present run.
    pub host: HostId,
    /// Address at which the sender accepts peers.
    #[serde(with = "super::address_text")]
    pub address: SocketAddr,
    /// Version of the protocol that the sender speaks.
    #[serde(default)]
    pub version: u16,
}

impl Hello {
    /// A greeting in this version of the protocol.
    #[must_use]
    pub fn new(host: HostId, address: SocketAddr) -> Self {
        Self { host, address, version: PROTOCOL_VERSION }
    }
}

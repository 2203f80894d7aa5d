//! First message of a session.

use std::net::SocketAddr;

use comfreyway_core::ids::HostId;
use serde::{Deserialize, Serialize};

/// Version of the peer protocol that this release implements.
pub const PROTOCOL_VERSION: u16 = 1;

/// First message of a session, in both directions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The sender, with its current incarnation.
    pub host: HostId,
    /// Address at which the sender accepts peers.
    #[serde(with = "super::address_text")]
    pub address: SocketAddr,
    /// Protocol version of the sender.
    #[serde(default)]
    pub version: u16,
}

impl Hello {
    /// Creates a message with this release's protocol version.
    #[must_use]
    pub fn new(host: HostId, address: SocketAddr) -> Self {
        Self { host, address, version: PROTOCOL_VERSION }
    }
}

//! Sends requests to runners through another host.
//!
//! A host that can't connect to a runner sends the request to another host, which sends
//! it on over a new connection and returns the runner's response unchanged. `client` is
//! the side of the first host, `server` that of the other; `hop` holds the headers
//! between them, which neither callers nor runners see.
//!
//! The hop speaks HTTP on a connection for a single request. So the end of either host
//! ends the other side, a slow reader slows the runner down, and no bytes of one request
//! reach another. A request counts as not sent only if no byte went to the other host, or
//! if that host states so for this attempt. The other host never uses a third one.

mod client;
mod hop;
mod server;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use comfreyway_core::{fleet::Member, ids::HostId};

pub(super) use self::{
    client::{ForwardFailure, send_through},
    server::{ForwardServer, ForwardSlots},
};

/// A host that forwards requests of others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ForwardHost {
    pub(super) id: HostId,
    address: SocketAddr,
    /// Proves that the sender has read the host's entry in the store.
    token: u64,
}

impl ForwardHost {
    /// Returns the host of an entry in the store, if it forwards requests.
    pub(super) fn new(member: &Member) -> Option<Self> {
        let address = member.forward?;
        Some(Self { id: member.id.clone(), address, token: member.token })
    }
}

//! Listening sockets of a daemon.

use std::net::{SocketAddr, TcpListener};

use crate::settings::ListenAddresses;

use super::RunError;

/// Listening sockets of a daemon, bound before anything else starts.
pub(crate) struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: TcpListener,
    /// None if the host forwards no requests of others.
    pub(crate) forward: Option<TcpListener>,
}

impl Listeners {
    /// Binds all addresses.
    pub(crate) fn bind(listen: &ListenAddresses) -> Result<Self, RunError> {
        Ok(Self {
            callers: bind(listen.callers)?,
            operators: bind(listen.operators)?,
            peers: bind(listen.peers)?,
            forward: listen.forward.map(bind).transpose()?,
        })
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).map_err(|e| RunError::Listen(address, e))
}

/// Returns the local address of a listener.
pub(crate) fn local_address(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|_| "unknown".to_owned(), |address| address.to_string())
}

//! The sockets of a daemon.

use std::net::{SocketAddr, TcpListener};

use crate::settings::ListenAddresses;

use super::RunError;

/// The sockets of a daemon, bound before anything else starts.
pub(crate) struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: TcpListener,
}

impl Listeners {
    /// Binds every address.
    pub(crate) fn bind(listen: &ListenAddresses) -> Result<Self, RunError> {
        Ok(Self {
            callers: bind(listen.callers)?,
            operators: bind(listen.operators)?,
            peers: bind(listen.peers)?,
        })
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).map_err(|e| RunError::Listen(address, e))
}

/// The address that the kernel gave to a listener.
pub(crate) fn local_address(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|_| "unknown".to_owned(), |address| address.to_string())
}

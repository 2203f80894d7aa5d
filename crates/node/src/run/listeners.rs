//! Listening sockets of a daemon.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    events::{Event, log_event},
    settings::ListenAddresses,
};

use super::RunError;

/// Interval of attempts to bind the addresses.
const BIND_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts between two log lines.
const ATTEMPTS_PER_LINE: u32 = 100;

/// Listening sockets of a daemon, bound before anything else starts.
pub(crate) struct Listeners {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: TcpListener,
    /// None if the host forwards no requests of others.
    pub(crate) forward: Option<TcpListener>,
}

impl Listeners {
    /// Binds all addresses, and waits while one can't be had: the process of before may not
    /// have ended yet, a connection of any process of the machine may have a port until it
    /// closes, and a machine that starts may not have its addresses yet. None is bound meanwhile, so that callers get no connection that is not
    /// served.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound for another reason.
    pub(crate) async fn bind(listen: &ListenAddresses) -> Result<Self, RunError> {
        let mut attempts = 0_u32;
        loop {
            match Self::try_bind(listen) {
                Err(RunError::Listen(address, e)) if may_pass(&e) => {
                    if attempts.is_multiple_of(ATTEMPTS_PER_LINE) {
                        log_event!(Event::AddressUnavailable, address:% = address, cause:% = e);
                    }
                }
                bound => return bound,
            }
            attempts = attempts.wrapping_add(1);
            sleep(BIND_INTERVAL).await;
        }
    }

    fn try_bind(listen: &ListenAddresses) -> Result<Self, RunError> {
        Ok(Self {
            callers: bind(listen.callers)?,
            operators: bind(listen.operators)?,
            peers: bind(listen.peers)?,
            forward: listen.forward.map(bind).transpose()?,
        })
    }
}

/// Returns true if an address may be free later.
fn may_pass(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable)
}

fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).map_err(|e| RunError::Listen(address, e))
}

/// Returns the local address of a listener.
pub(crate) fn local_address(listener: &TcpListener) -> String {
    listener.local_addr().map_or_else(|_| "unknown".to_owned(), |address| address.to_string())
}

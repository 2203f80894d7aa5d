//! Addresses that must be known before the daemon that listens on them starts.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use super::spawn::lock_spawning;

/// Returns an address that nothing listens on, with a port chosen by the kernel.
///
/// The port is free when this returns. No other process binds it before the
/// daemon does, since each call uses a different loopback address.
///
/// # Errors
///
/// Fails if no port can be bound.
///
/// # Examples
///
/// ```
/// use comfreyway_testkit::daemon::unused_address;
///
/// assert_ne!(unused_address().unwrap().ip(), unused_address().unwrap().ip());
/// ```
pub fn unused_address() -> io::Result<SocketAddr> {
    let _no_child = lock_spawning();
    TcpListener::bind(unique_address())?.local_addr()
}

/// Returns a loopback address with port 0. Calls in this process cycle through
/// 250 addresses, so that no address is bound again soon: a child process that
/// is being started may hold a closed listener open for a moment.
pub(crate) fn unique_address() -> SocketAddr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let pid = process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + (pid[2] & 0x7f), pid[3], 1 + call[3] % 250);
    SocketAddr::from((ip, 0))
}

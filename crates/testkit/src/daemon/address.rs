//! Addresses for daemons that have to be known before they start.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use super::spawn::lock;

/// An address that nothing listens on, with a port that the kernel chose.
///
/// The port is free again when this returns. No other process takes it in
/// between, since each call takes a loopback address of its own.
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
    let _no_child = lock();
    TcpListener::bind(own_address())?.local_addr()
}

/// Any port of a loopback address that no other call in this process returns
/// soon. Binds are not repeated there: a child process that is being started
/// may hold a listener for a moment after its close.
pub(crate) fn own_address() -> SocketAddr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let pid = process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + (pid[2] & 0x7f), pid[3], 1 + call[3] % 250);
    SocketAddr::from((ip, 0))
}

//! Outgoing TCP connections.

use std::{io, net::SocketAddr, os::fd::AsRawFd};

use tokio::net::{TcpSocket, TcpStream};

/// Opens a connection. Its local port can be bound again while it is open, and for the
/// time after its end in which the kernel keeps it: a daemon on the same machine may have
/// that port in its settings.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.connect(address).await
}

/// Returns the number of sent bytes that the other side has not acknowledged.
pub(crate) fn unacknowledged_bytes(stream: &TcpStream) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    #[allow(unsafe_code)]
    // SAFETY: the descriptor is open as long as `stream` is borrowed, and this request writes
    // one `c_int`.
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result == 0 {
        usize::try_from(bytes).map_err(io::Error::other)
    } else {
        Err(io::Error::last_os_error())
    }
}

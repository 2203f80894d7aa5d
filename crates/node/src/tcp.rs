//! Outgoing TCP connections.

use std::{io, net::SocketAddr};

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

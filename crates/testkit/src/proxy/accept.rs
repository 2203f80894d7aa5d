//! The listening side of the proxy.

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, sync::mpsc::UnboundedReceiver, task::spawn_local};

use super::{Shared, link};

/// A command to the listening side.
pub(super) struct Listen {
    /// True to listen, false to refuse connections.
    pub(super) listens: bool,
    /// Told once the command is in force.
    pub(super) done: std::sync::mpsc::Sender<io::Result<()>>,
}

/// Accepts connections until the proxy stops.
pub(super) async fn run(
    address: SocketAddr,
    listener: std::net::TcpListener,
    mut commands: UnboundedReceiver<Listen>,
    shared: Arc<Shared>,
) -> io::Result<()> {
    let mut listener = Some(TcpListener::from_std(listener)?);
    let mut rules = shared.rules.subscribe();
    loop {
        tokio::select! {
            _ = rules.wait_for(|rules| rules.stopped) => return Ok(()),
            Some(Listen { listens, done }) = commands.recv() => {
                let result = listen(&mut listener, address, listens);
                // The sender of the command waits for this.
                let _ = done.send(result);
            }
            accepted = accept(listener.as_ref()) => {
                if let Ok((stream, _)) = accepted {
                    spawn_local(link::serve(stream, shared.clone()));
                }
            }
        }
    }
}

fn listen(
    listener: &mut Option<TcpListener>,
    address: SocketAddr,
    listens: bool,
) -> io::Result<()> {
    if !listens {
        *listener = None;
    } else if listener.is_none() {
        let socket = std::net::TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        *listener = Some(TcpListener::from_std(socket)?);
    }
    Ok(())
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<(tokio::net::TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

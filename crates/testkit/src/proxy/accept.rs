//! Accepting of connections.

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{net::TcpListener, sync::mpsc::UnboundedReceiver, task::spawn_local};

use super::{Shared, link};

/// A command to listen or to stop listening.
pub(super) struct SetListening {
    /// True to listen, false to refuse connections.
    pub(super) listening: bool,
    /// Receives the result once the command is applied.
    pub(super) done: std::sync::mpsc::Sender<io::Result<()>>,
}

/// Accepts connections until the proxy stops.
pub(super) async fn run(
    address: SocketAddr,
    listener: std::net::TcpListener,
    mut commands: UnboundedReceiver<SetListening>,
    shared: Arc<Shared>,
) -> io::Result<()> {
    let mut listener = Some(TcpListener::from_std(listener)?);
    let mut rules = shared.rules.subscribe();
    loop {
        tokio::select! {
            _ = rules.wait_for(|rules| rules.stopped) => return Ok(()),
            Some(SetListening { listening, done }) = commands.recv() => {
                let result = set_listening(&mut listener, address, listening);
                // Fails only if the sender of the command no longer waits.
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

fn set_listening(
    listener: &mut Option<TcpListener>,
    address: SocketAddr,
    listening: bool,
) -> io::Result<()> {
    if !listening {
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

//! An HTTP server on its own thread.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::mpsc,
    thread::{self, JoinHandle},
};

use actix_web::{App, HttpServer, dev::ServerHandle, web::ServiceConfig};

/// Any free port of the loopback address.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Largest request body of a stand-in, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Largest number of connections that wait to be accepted.
const BACKLOG: u32 = 4096;
/// Largest number of open connections of a stand-in.
const MAX_CONNECTIONS: usize = 20_000;
/// Longest wait for the worker thread to end.
const STOP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
/// Time in which a client must send a request head; zero for no limit.
const REQUEST_HEAD_TIMEOUT: std::time::Duration = std::time::Duration::ZERO;

/// An HTTP server on its own thread. Stops and closes its connections on drop.
#[derive(Debug)]
pub struct LocalServer {
    addresses: Vec<SocketAddr>,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
    /// Disconnected when the worker and its last connection have ended.
    worker_ended: mpsc::Receiver<Never>,
}

/// A message that is never sent.
#[derive(Clone, Copy, Debug)]
enum Never {}

impl LocalServer {
    /// Starts a server on this address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start<F>(address: SocketAddr, configure: F) -> io::Result<Self>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        Self::start_all(&[address], configure)
    }

    /// Starts a server on all of these addresses.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn start_all<F>(addresses: &[SocketAddr], configure: F) -> io::Result<Self>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let listeners: Vec<_> =
            addresses.iter().map(TcpListener::bind).collect::<io::Result<_>>()?;
        let addresses: Vec<_> =
            listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let (tx, rx) = mpsc::channel();
        let (worker_alive, worker_ended) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || serve(listeners, configure, worker_alive, &tx))?;
        let started = rx.recv().map_err(|_| io::Error::other("the server's thread has ended"))?;
        Ok(Self { addresses, handle: started?, thread: Some(thread), worker_ended })
    }

    /// The first address that the server listens on.
    ///
    /// # Panics
    ///
    /// Panics if the server was started without an address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// All addresses that the server listens on.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

impl Drop for LocalServer {
    fn drop(&mut self) {
        // The call sends the stop command; its future only waits for completion.
        drop(self.handle.stop(false));
        if let Some(thread) = self.thread.take() {
            // A panic of the server's thread has already been printed.
            let _ = thread.join();
        }
        // The worker thread ends a little later than the server's.
        let _ = self.worker_ended.recv_timeout(STOP_TIMEOUT);
    }
}

fn serve<F>(
    listeners: Vec<TcpListener>,
    configure: F,
    worker_alive: mpsc::Sender<Never>,
    tx: &mpsc::Sender<io::Result<ServerHandle>>,
) where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let app = move || {
        App::new()
            .app_data(worker_alive.clone())
            .app_data(actix_web::web::PayloadConfig::new(MAX_BODY_BYTES))
            .configure(configure.clone())
    };
    let server = HttpServer::new(app)
        .workers(1)
        .backlog(BACKLOG)
        .max_connections(MAX_CONNECTIONS)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .disable_signals()
        .shutdown_timeout(0);
    let server = listeners.into_iter().try_fold(server, |server, listener| server.listen(listener));
    actix_rt::System::new().block_on(async {
        match server {
            Ok(server) => {
                let server = server.run();
                let _ = tx.send(Ok(server.handle()));
                if let Err(e) = server.await {
                    eprintln!("stand-in: {e}");
                }
            }
            Err(e) => {
                let _ = tx.send(Err(e));
            }
        }
    });
}

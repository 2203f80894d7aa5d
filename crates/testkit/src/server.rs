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
/// Connections that wait to be accepted.
const BACKLOG: u32 = 4096;
/// Open connections of a stand-in.
const MAX_CONNECTIONS: usize = 20_000;
/// Longest wait for the end of the worker's thread.
const STOP_LIMIT: std::time::Duration = std::time::Duration::from_secs(5);
/// Time in which a client has to send a request head; zero for no limit.
const REQUEST_HEAD_LIMIT: std::time::Duration = std::time::Duration::ZERO;

/// An HTTP server on its own thread. Stops, and cuts its connections, on drop.
#[derive(Debug)]
pub struct LocalServer {
    addresses: Vec<SocketAddr>,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
    /// Disconnected once the last connection is gone.
    served: mpsc::Receiver<Never>,
}

/// Is never sent.
#[derive(Clone, Copy, Debug)]
enum Never {}

impl LocalServer {
    /// Starts a server at this address.
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

    /// Starts a server at all of these addresses.
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
        let (serving, served) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || serve(listeners, configure, serving, &tx))?;
        let started = rx.recv().map_err(|_| io::Error::other("the server's thread has ended"))?;
        Ok(Self { addresses, handle: started?, thread: Some(thread), served })
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
        // The command is sent at once; its future only waits for the end.
        drop(self.handle.stop(false));
        if let Some(thread) = self.thread.take() {
            // A panic of the server's thread has been printed already.
            let _ = thread.join();
        }
        // The worker's own thread ends a little later than the server's.
        let _ = self.served.recv_timeout(STOP_LIMIT);
    }
}

fn serve<F>(
    listeners: Vec<TcpListener>,
    configure: F,
    serving: mpsc::Sender<Never>,
    tx: &mpsc::Sender<io::Result<ServerHandle>>,
) where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let app = move || {
        App::new()
            .app_data(serving.clone())
            .app_data(actix_web::web::PayloadConfig::new(MAX_BODY_BYTES))
            .configure(configure.clone())
    };
    let server = HttpServer::new(app)
        .workers(1)
        .backlog(BACKLOG)
        .max_connections(MAX_CONNECTIONS)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .client_request_timeout(REQUEST_HEAD_LIMIT)
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

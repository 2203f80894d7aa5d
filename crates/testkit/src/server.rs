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
/// Time in which a client has to send a request head; zero for no limit.
const REQUEST_HEAD_LIMIT: std::time::Duration = std::time::Duration::ZERO;

/// An HTTP server on its own thread. Stops, and cuts its connections, on drop.
#[derive(Debug)]
pub struct LocalServer {
    address: SocketAddr,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

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
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (tx, rx) = mpsc::channel();
        let thread = thread::Builder::new()
            .name(format!("standin-{}", address.port()))
            .spawn(move || serve(listener, configure, &tx))?;
        let started = rx.recv().map_err(|_| io::Error::other("the server's thread has ended"))?;
        Ok(Self { address, handle: started?, thread: Some(thread) })
    }

    /// The address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
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
    }
}

fn serve<F>(listener: TcpListener, configure: F, tx: &mpsc::Sender<io::Result<ServerHandle>>)
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let app = move || {
        App::new()
            .app_data(actix_web::web::PayloadConfig::new(MAX_BODY_BYTES))
            .configure(configure.clone())
    };
    let server = HttpServer::new(app)
        .workers(1)
        .backlog(1024)
        .tcp_nodelay(true)
        .client_request_timeout(REQUEST_HEAD_LIMIT)
        .disable_signals()
        .shutdown_timeout(0)
        .listen(listener);
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

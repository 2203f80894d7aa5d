//! HTTP server for callers.

use std::{io, net::TcpListener, time::Duration};

use actix_web::{
    App, HttpServer,
    dev::Server,
    web::{self, Data, ServiceConfig},
};

use socket2::SockRef;

use crate::settings::Settings;

use super::{handler::handle, traffic::TrafficState, worker::Worker};

/// Time after which an idle caller connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Time for callers to read the rest of their responses when the server stops.
const SHUTDOWN_TIMEOUT_S: u64 = 30;

/// Send buffer of a caller's socket, in bytes: response data that the kernel
/// buffers for a caller that does not read. The receive buffer towards
/// upstreams is set in `upstream::connector`.
const SEND_BUFFER_BYTES: usize = 256 << 10;

/// Adds the routes for callers to an app. Called once on each worker thread.
pub fn configure(traffic: Data<TrafficState>) -> impl Fn(&mut ServiceConfig) + Clone {
    move |cfg| {
        let worker = Data::new(Worker::new(&traffic.limits));
        cfg.app_data(traffic.clone()).app_data(worker).default_service(web::to(handle));
    }
}

/// Starts the HTTP server for callers.
///
/// If a caller closes its side of the connection, it counts as disconnected and
/// its queued request is withdrawn.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn serve(
    settings: &Settings,
    traffic: Data<TrafficState>,
    listener: TcpListener,
) -> io::Result<Server> {
    // Accepted sockets inherit the buffer size from the listener.
    SockRef::from(&listener).set_send_buffer_size(SEND_BUFFER_BYTES)?;
    let server = HttpServer::new(move || App::new().configure(configure(traffic.clone())))
        .workers(settings.workers)
        .max_connections(settings.limits.max_connections)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(settings.limits.body_timeout)
        .tcp_nodelay(true)
        .h1_allow_half_closed(false)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .listen(listener)?;
    Ok(server.run())
}

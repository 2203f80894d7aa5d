//! The server of the callers' interface.

use std::{io, net::TcpListener, time::Duration};

use actix_web::{
    App, HttpServer,
    dev::Server,
    web::{self, Data, ServiceConfig},
};

use socket2::SockRef;

use crate::settings::Settings;

use super::{handler::handle, traffic::TrafficState, worker::Worker};

/// Time that an unused connection of a caller stays open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Time for a caller to take the rest of an answer when the server stops.
const SHUTDOWN_TIMEOUT_S: u64 = 30;

/// Bytes of answers that the kernel holds for one caller that does not read,
/// see the receiving side in `upstream`.
const SEND_BYTES: usize = 256 << 10;

/// Adds the callers' interface to an app. Called once on each worker thread.
pub fn configure(traffic: Data<TrafficState>) -> impl Fn(&mut ServiceConfig) + Clone {
    move |cfg| {
        let worker = Data::new(Worker::new(&traffic.limits));
        cfg.app_data(traffic.clone()).app_data(worker).default_service(web::to(handle));
    }
}

/// Starts the server of the callers' interface.
///
/// A caller that closes its side of the connection counts as having left: its
/// waiting request is withdrawn.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn serve(
    settings: &Settings,
    traffic: Data<TrafficState>,
    listener: TcpListener,
) -> io::Result<Server> {
    // Accepted connections take it over from the listener.
    SockRef::from(&listener).set_send_buffer_size(SEND_BYTES)?;
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

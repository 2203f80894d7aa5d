//! Connections of callers.

use std::{convert::Infallible, net::TcpListener, pin::pin, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpStream, sync::watch, time::sleep};

use crate::{
    events::{Event, log_event},
    fleet::links::watch_silence,
};

use super::handler::Front;

/// Pause after a connection could not be accepted, usually for want of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time between two looks for unused connections to runners.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a connection may be unused before the configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Least buffer of the server for a request's head.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Serves callers until the process ends. `closing` turns true when unused
/// connections shall be closed.
pub(in crate::fleet) async fn serve(
    listener: TcpListener,
    front: Front,
    closing: watch::Receiver<bool>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log_event!(Event::AcceptFailed, port = "callers", cause:% = e);
            return;
        }
    };
    let links = front.clone();
    actix_rt::spawn(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            links.links.sweep();
        }
    });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(stream, front.clone(), closing.clone()));
            }
            Err(e) => {
                log_event!(Event::AcceptFailed, port = "callers", cause:% = e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, front: Front, mut closing: watch::Receiver<bool>) {
    watch_silence(&stream);
    let limits = front.knowledge.plan().map(|plan| plan.limits);
    let head_bytes =
        limits.map_or(MIN_HEAD_BYTES, |limits| limits.max_head_bytes.max(MIN_HEAD_BYTES));
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_timeout);
    let service = service_fn(move |req: Request<Incoming>| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.handle(req).await) }
    });
    // A connection that comes while the host stops gets one answer, which says
    // that nothing was run.
    let last = *closing.borrow();
    let connection = http1::Builder::new()
        .keep_alive(!last)
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = turned_true(&mut closing), if !last => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("connection of a caller ended: {e}");
    }
}

/// Waits until the value is true. The value is not kept borrowed, which would
/// block its sender.
async fn turned_true(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        // The process ends with the sender; its connections end with it.
        std::future::pending::<()>().await;
    }
}

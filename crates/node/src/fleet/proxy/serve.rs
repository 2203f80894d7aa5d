//! Connections of callers.

use std::{convert::Infallible, net::TcpListener, pin::pin, rc::Rc, time::Duration};

use comfreyway_core::fleet::{CallerMemoryLimits, StopPhase};
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    caller_memory::Caller,
    events::{Event, log_event},
    fleet::{
        lingering_close::{CallerSocket, discard_input},
        runner_connections::set_socket_options,
        unsent::Unsent,
    },
};

use super::handler::Proxy;

/// Wait after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(50);

/// Interval of closing expired connections to runners, and of checks for due probes.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Idle timeout of callers' connections before the configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Minimum buffer for the head of a request; `hyper` panics on a smaller one.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Time for a caller that has to give way to receive the response to its request.
const EVICTED_CLOSE_TIME: Duration = Duration::from_secs(1);

/// Serves callers until the process ends.
pub(in crate::fleet) async fn serve(listener: TcpListener, proxy: Proxy) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log_event!(Event::AcceptFailed, port = "callers", cause:% = e);
            return;
        }
    };
    // Accepted connections inherit it. What the process does not read stays in this buffer.
    let buffer = CallerMemoryLimits::RECEIVE_BUFFER_BYTES;
    if let Err(e) = SockRef::from(&listener).set_recv_buffer_size(buffer) {
        log::debug!("can't set the size of receive buffers: {e}");
    }
    let sweeper = proxy.clone();
    actix_rt::spawn(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            sweeper.connections.sweep();
            sweeper.shared.probe_runners();
        }
    });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without room the connection is closed: nothing of a request was read.
                if let Some(caller) = proxy.host_state.caller_memory.connect() {
                    actix_rt::spawn(serve_connection(stream, proxy.clone(), caller));
                }
            }
            Err(e) => {
                log_event!(Event::AcceptFailed, port = "callers", cause:% = e);
                sleep(ACCEPT_RETRY_WAIT).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, proxy: Proxy, caller: Caller) {
    set_socket_options(&stream);
    let host_state = proxy.host_state.clone();
    let (unsent, caller) = (Unsent::default(), Rc::new(caller));
    let socket = CallerSocket::new(stream, caller.clone());
    let stream = unsent.stream(socket.clone());
    let limits = proxy.host_state.config().map(|config| config.limits);
    let head_bytes =
        limits.map_or(MIN_HEAD_BYTES, |limits| limits.max_head_bytes.max(MIN_HEAD_BYTES));
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let serving = caller.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let (proxy, unsent, caller) = (proxy.clone(), unsent.clone(), serving.clone());
        async move {
            let in_progress = proxy.host_state.start_request().of_caller(caller.clone());
            let res = proxy.handle(req, caller).await;
            Ok::<_, Infallible>(res.map(|body| unsent.track(body, in_progress)))
        }
    });
    // A connection that is accepted while the host stops gets one response,
    // which states that nothing was run.
    let last = host_state.stop_phase() >= StopPhase::Refusing;
    let connection = http1::Builder::new()
        .keep_alive(!last)
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let stops = async {
        match last {
            true => std::future::pending().await,
            false => host_state.stop_phase_reached(StopPhase::Refusing).await,
        }
    };
    let (mut stops, mut evicted) = (pin!(stops), pin!(caller.evicted()));
    let mut is_stopping = false;
    let ended = loop {
        tokio::select! {
            ended = connection.as_mut() => break ended,
            () = stops.as_mut(), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            () = evicted.as_mut() => {
                if !caller.has_request() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
                match timeout(EVICTED_CLOSE_TIME, connection).await {
                    Ok(ended) => break ended,
                    Err(_) => return,
                }
            }
        }
    };
    if let Err(e) = ended {
        log::debug!("connection of a caller ended: {e}");
    }
    if caller.is_unread() {
        discard_input(socket).await;
    }
}

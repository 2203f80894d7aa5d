//! Liveness, readiness and metrics of a host that serves a fleet.
//!
//! Served on the control thread: the platform polls once a second, and a server
//! with threads of its own would cost more than the responses.

use std::{convert::Infallible, net::TcpListener, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::time::sleep;

use crate::{
    events::{Event, log_event},
    metrics::Metrics,
};

use super::host_state::HostState;

/// Wait after a failed accept.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(50);

/// Path prefix of the product's own operator interface.
const OPERATOR_API_PREFIX: &str = "/v1/";

/// Response to calls of that interface, which the command-line client shows to
/// its user.
const OPERATOR_API_REFUSAL: &str = "this host serves a fleet whose configuration the platform's operators \
     write to the platform's store; change it there. For classes and pools of \
     its own, a host needs configuration = own in the section platform of its \
     settings";

/// Serves `/live`, `/ready` and `/metrics`.
#[derive(Clone)]
pub(super) struct Health {
    pub(super) host_state: Arc<HostState>,
    pub(super) metrics: Arc<Metrics>,
    /// Staleness of the configuration up to which this host is ready for
    /// callers.
    pub(super) max_staleness: Duration,
}

impl Health {
    /// Serves until the process ends.
    pub(super) async fn serve(self, listener: TcpListener) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log_event!(Event::AcceptFailed, port = "operators", cause:% = e);
                return;
            }
        };
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log_event!(Event::AcceptFailed, port = "operators", cause:% = e);
                    sleep(ACCEPT_RETRY_WAIT).await;
                    continue;
                }
            };
            let health = self.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                let res = health.respond(req.uri().path());
                async move { Ok::<_, Infallible>(res) }
            });
            actix_rt::spawn(async move {
                let connection = http1::Builder::new();
                if let Err(e) = connection.serve_connection(TokioIo::new(stream), service).await {
                    log::debug!("connection of an operator ended: {e}");
                }
            });
        }
    }

    fn respond(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/live" => text(StatusCode::OK, "live\n"),
            "/ready" => match self.not_ready_reason() {
                None => text(StatusCode::OK, "ready\n"),
                Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, reason),
            },
            "/metrics" => match self.metrics.render() {
                Ok(metrics) => text(StatusCode::OK, metrics),
                Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
            },
            _ if path.starts_with(OPERATOR_API_PREFIX) => {
                text(StatusCode::FORBIDDEN, OPERATOR_API_REFUSAL)
            }
            _ => text(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    /// Returns why this host is not ready for callers, if so.
    fn not_ready_reason(&self) -> Option<&'static str> {
        if self.host_state.is_stopping() {
            return Some("stopping\n");
        }
        if self.host_state.config().is_none() {
            return Some("no configuration\n");
        }
        let staleness = self.host_state.clock.now().since(self.host_state.verified_at());
        (staleness > self.max_staleness).then_some("the configuration may be old\n")
    }
}

fn text<T>(status: StatusCode, body: T) -> Response<Full<Bytes>>
where
    T: Into<Bytes>,
{
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    res.headers_mut().insert(CONTENT_TYPE, plain);
    res
}

//! HTTP client for upstreams.

use std::{net::SocketAddr, time::Duration};

use actix_web::http::{
    Method, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
};
use comfreyway_core::{
    ids::{Epoch, RequestId},
    outcome::{RetryReason, UnknownReason},
};
use comfreyway_proto::headers;
use quick_error::quick_error;

use super::{
    Framing, OutboundRequest, connector::StrictConnector, end_to_end, is_final_status,
    is_reserved_on_responses,
};

/// Time after which an idle connection is closed. Common servers close idle
/// connections after five seconds; closing them earlier makes it unlikely that
/// both sides race.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Age after which a connection is not reused.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(600);

/// Timeout for cancelling a request at an upstream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Why there is no response from an upstream.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    #[allow(unreachable_pub, reason = "the macro knows no narrower visibility")]
    pub enum SendFailure {
        /// No connection was established, so no byte was sent.
        NotSent(reason: RetryReason) {
            display("nothing was sent: {reason}")
        }
        /// The request may have reached the upstream.
        Unknown(reason: UnknownReason) {
            display("the request may have run: {reason}")
        }
    }
}

/// Head of an upstream's response, without hop-by-hop headers.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// End-to-end headers, without those reserved for the scheduler.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// How the body is delimited.
    pub(crate) framing: Framing,
}

/// A response whose body has not been read yet.
pub(crate) struct UpstreamResponse {
    /// The filtered head.
    pub(crate) head: ResponseHead,
    /// The unfiltered headers and the body.
    pub(crate) response: ClientResponse,
}

impl UpstreamResponse {
    fn new(method: &Method, response: ClientResponse) -> Self {
        let status = response.status();
        let framing = Framing::new(method == Method::HEAD, status, response.headers());
        let forwarded =
            end_to_end(response.headers()).filter(|(name, _)| !is_reserved_on_responses(name));
        let headers = forwarded.map(|(name, value)| (name.clone(), value.clone())).collect();
        Self { head: ResponseHead { status, headers, framing }, response }
    }

    /// Returns true if the upstream declares that it is draining.
    pub(crate) fn is_leaving(&self) -> bool {
        header_is_true(self.response.headers(), headers::LEAVING)
    }
}

/// Sends requests to upstreams and reuses connections. One per worker thread;
/// cheap to clone.
#[derive(Clone)]
pub(crate) struct UpstreamClient {
    client: Client,
    response_timeout: Duration,
}

impl UpstreamClient {
    /// Creates a client without connections.
    pub(crate) fn new(connect_timeout: Duration, response_timeout: Duration) -> Self {
        let connector = Connector::new()
            .connector(StrictConnector)
            .timeout(connect_timeout)
            .conn_keep_alive(IDLE_CONNECTION_TIMEOUT)
            .conn_lifetime(MAX_CONNECTION_AGE)
            .limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, response_timeout }
    }

    /// Sends a request. Called at most once per dispatch.
    pub(crate) async fn send(
        &self,
        outbound: &OutboundRequest,
        address: SocketAddr,
        epoch: Epoch,
    ) -> Result<UpstreamResponse, SendFailure> {
        self.transmit(outbound, address, epoch, None).await
    }

    /// Requests the rest of a response after the event with the id `after`. The
    /// upstream does not run the request again.
    pub(crate) async fn resume(
        &self,
        outbound: &OutboundRequest,
        address: SocketAddr,
        epoch: Epoch,
        after: u64,
    ) -> Result<UpstreamResponse, SendFailure> {
        self.transmit(outbound, address, epoch, Some(after)).await
    }

    /// Asks an engine to cancel a request. The result is ignored.
    pub(crate) async fn cancel(&self, id: RequestId, address: SocketAddr) {
        let url = format!("http://{address}/v1/requests/{id}");
        let request = self.client.delete(url).timeout(CANCEL_TIMEOUT).send();
        if let Ok(mut response) = request.await {
            // Reading the empty body returns the connection to the pool.
            let _ = response.body().await;
        }
    }

    async fn transmit(
        &self,
        outbound: &OutboundRequest,
        address: SocketAddr,
        epoch: Epoch,
        resume_after: Option<u64>,
    ) -> Result<UpstreamResponse, SendFailure> {
        let url = format!("http://{address}{}", outbound.path_and_query);
        let mut request = self.client.request(outbound.method.clone(), url).no_decompress();
        let map = request.headers_mut();
        for (name, value) in &outbound.headers {
            map.append(name.clone(), value.clone());
        }
        map.insert(
            HeaderName::from_static(headers::REQUEST_ID),
            header_value(&outbound.id.to_string()),
        );
        map.insert(HeaderName::from_static(headers::FENCING), header_value(&epoch.to_string()));
        if let Some(after) = resume_after {
            map.insert(
                HeaderName::from_static(headers::LAST_EVENT_ID),
                header_value(&after.to_string()),
            );
        }
        let sending = match outbound.body.is_empty() {
            true => request.send(),
            false => request.send_body(outbound.body.clone()),
        };
        match tokio::time::timeout(self.response_timeout, sending).await {
            Ok(Ok(response)) if is_final_status(response.status().as_u16()) => {
                Ok(UpstreamResponse::new(&outbound.method, response))
            }
            Ok(Ok(response)) => {
                log::debug!("response of {address} with invalid status {}", response.status());
                Err(SendFailure::Unknown(UnknownReason::UpstreamBroke))
            }
            Ok(Err(error)) => Err(classify_error(&error)),
            Err(_) => Err(SendFailure::Unknown(UnknownReason::UpstreamTimeout)),
        }
    }
}

/// Classifies an error as a failure to connect or one that may have occurred
/// later. `awc` reports a connection that was closed before the response head
/// as disconnected, which does not prove that nothing was sent.
fn classify_error(error: &SendRequestError) -> SendFailure {
    match error {
        SendRequestError::Connect(ConnectError::Timeout) => {
            SendFailure::NotSent(RetryReason::ConnectTimeout)
        }
        SendRequestError::Connect(ConnectError::Io(_)) => {
            SendFailure::NotSent(RetryReason::ConnectRefused)
        }
        _ => SendFailure::Unknown(UnknownReason::UpstreamBroke),
    }
}

fn header_is_true(map: &HeaderMap, name: &str) -> bool {
    map.get(name).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"))
}

fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}

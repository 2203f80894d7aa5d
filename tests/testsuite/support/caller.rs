//! Test client for the callers' interface of a daemon.

use std::{fmt, net::SocketAddr};

use awc::{Client, ClientRequest, error::SendRequestError, http::StatusCode};
use comfreyway_proto::headers;
use comfreyway_testkit::daemon::MAX_WAIT;
use futures_util::StreamExt;
use serde_json::{Value, json};

/// Characters at the end of a body that are printed when a test fails.
const BODY_TAIL_CHARS: usize = 200;
/// End marker of a complete stream.
const END_MARKER: &str = "data: [DONE]\n\n";

/// A caller of one workspace and class.
#[derive(Clone)]
pub(crate) struct Caller {
    address: SocketAddr,
    client: Client,
    workspace: String,
    class: String,
    key: Option<String>,
}

impl Caller {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let client = Client::builder().timeout(MAX_WAIT).disable_redirects().finish();
        let (workspace, class) = ("ayaq".to_owned(), "summary".to_owned());
        Self { address, client, workspace, class, key: None }
    }

    /// Sets the class.
    pub(crate) fn with_class(mut self, class: &str) -> Self {
        class.clone_into(&mut self.class);
        self
    }

    /// Sets the idempotency key of the requests.
    pub(crate) fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sends a chat request to an engine and reads the whole response.
    pub(crate) async fn chat(&self, content: &str, max_tokens: u32, stream: bool) -> Response {
        let req = self.request(self.client.post(self.url("/v1/chat/completions")));
        Response::read(req.send_json(&chat(content, max_tokens, stream)).await).await
    }

    /// Sends a request to a plain service and reads the whole response.
    pub(crate) async fn call(&self, path: &str, body: &str) -> Response {
        let req = self.request(self.client.post(self.url(path)));
        Response::read(req.send_body(body.to_owned()).await).await
    }

    /// Returns a request to an engine without sending it.
    pub(crate) fn chat_request(&self) -> ClientRequest {
        self.request(self.client.post(self.url("/v1/chat/completions")))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn request(&self, req: ClientRequest) -> ClientRequest {
        let req = req
            .insert_header((headers::WORKSPACE, self.workspace.as_str()))
            .insert_header((headers::CLASS, self.class.as_str()));
        match &self.key {
            Some(key) => req.insert_header((headers::IDEMPOTENCY_KEY, key.as_str())),
            None => req,
        }
    }
}

/// Returns the body of a chat request.
pub(crate) fn chat(content: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": "dala",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// A response as a caller received it.
#[derive(Clone)]
pub(crate) struct Response {
    /// `None` if the connection failed before the status arrived.
    pub(crate) status: Option<StatusCode>,
    /// Outcome header, or empty.
    pub(crate) outcome: String,
    /// Reason header, or empty.
    pub(crate) reason: String,
    /// Request ID that the scheduler assigned, or empty.
    pub(crate) request_id: String,
    /// The part of the body that arrived.
    pub(crate) body: String,
    /// True if the body ended without a connection error.
    pub(crate) ended_cleanly: bool,
}

impl fmt::Debug for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tail: String = self.body.chars().rev().take(BODY_TAIL_CHARS).collect();
        let tail: String = tail.chars().rev().collect();
        f.debug_struct("Response")
            .field("status", &self.status)
            .field("outcome", &self.outcome)
            .field("reason", &self.reason)
            .field("bytes", &self.body.len())
            .field("tail", &tail)
            .field("ended_cleanly", &self.ended_cleanly)
            .finish()
    }
}

impl Response {
    /// Reads a response to its end.
    pub(crate) async fn read<S>(result: Result<awc::ClientResponse<S>, SendRequestError>) -> Self
    where
        S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    {
        let Ok(mut res) = result else { return Self::no_response() };
        let header = |name| {
            let value = res.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let mut response = Self {
            status: Some(res.status()),
            outcome: header(headers::OUTCOME),
            reason: header(headers::REASON),
            request_id: header(headers::REQUEST_ID),
            body: String::new(),
            ended_cleanly: true,
        };
        let mut body = Vec::new();
        while let Some(bytes) = res.next().await {
            match bytes {
                Ok(bytes) => body.extend_from_slice(&bytes),
                Err(_) => {
                    response.ended_cleanly = false;
                    break;
                }
            }
        }
        response.body = String::from_utf8(body).unwrap();
        response
    }

    fn no_response() -> Self {
        Self {
            status: None,
            outcome: String::new(),
            reason: String::new(),
            request_id: String::new(),
            body: String::new(),
            ended_cleanly: false,
        }
    }

    /// True if a caller accepts this as a complete response: a success status and
    /// a body that is valid JSON or ends with the end marker.
    pub(crate) fn is_complete(&self) -> bool {
        let success = self.status.is_some_and(|status| status.is_success());
        let valid_json = serde_json::from_str::<Value>(&self.body).is_ok();
        success && self.ended_cleanly && (self.body.ends_with(END_MARKER) || valid_json)
    }
}

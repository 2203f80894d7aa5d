//! A caller of a daemon.

use std::{fmt, net::SocketAddr};

use awc::{Client, ClientRequest, error::SendRequestError, http::StatusCode};
use comfreyway_proto::headers;
use comfreyway_testkit::daemon::MAX_WAIT;
use futures_util::StreamExt;
use serde_json::{Value, json};

/// Characters of a body's end that are printed when a test fails.
const DEBUG_CHARS: usize = 200;
/// End mark of a whole stream.
const END_MARK: &str = "data: [DONE]\n\n";

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

    /// Sets the identity of the next requests.
    pub(crate) fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Asks an engine, and reads its answer to the end.
    pub(crate) async fn chat(&self, content: &str, max_tokens: u32, stream: bool) -> Answer {
        let req = self.request(self.client.post(self.url("/v1/chat/completions")));
        Answer::read(req.send_json(&chat(content, max_tokens, stream)).await).await
    }

    /// Asks a plain service, and reads its answer to the end.
    pub(crate) async fn call(&self, path: &str, body: &str) -> Answer {
        let req = self.request(self.client.post(self.url(path)));
        Answer::read(req.send_body(body.to_owned()).await).await
    }

    /// A request to an engine that is not sent yet.
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

/// Body of a request to an engine.
pub(crate) fn chat(content: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": "dala",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// What a caller saw of an answer.
#[derive(Clone)]
pub(crate) struct Answer {
    /// Status, or none if the connection broke before it came.
    pub(crate) status: Option<StatusCode>,
    /// Outcome header, or empty.
    pub(crate) outcome: String,
    /// Reason header, or empty.
    pub(crate) reason: String,
    /// Identity that the scheduler gave to the request, or empty.
    pub(crate) request_id: String,
    /// The body as far as it came.
    pub(crate) body: String,
    /// True if the body ended without an error of the connection.
    pub(crate) ended: bool,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end: String = self.body.chars().rev().take(DEBUG_CHARS).collect();
        let end: String = end.chars().rev().collect();
        f.debug_struct("Answer")
            .field("status", &self.status)
            .field("outcome", &self.outcome)
            .field("reason", &self.reason)
            .field("bytes", &self.body.len())
            .field("end", &end)
            .field("ended", &self.ended)
            .finish()
    }
}

impl Answer {
    /// Reads an answer to its end.
    pub(crate) async fn read<S>(sent: Result<awc::ClientResponse<S>, SendRequestError>) -> Self
    where
        S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    {
        let Ok(mut res) = sent else { return Self::broken() };
        let header = |name| {
            let value = res.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let mut answer = Self {
            status: Some(res.status()),
            outcome: header(headers::OUTCOME),
            reason: header(headers::REASON),
            request_id: header(headers::REQUEST_ID),
            body: String::new(),
            ended: true,
        };
        let mut body = Vec::new();
        while let Some(bytes) = res.next().await {
            match bytes {
                Ok(bytes) => body.extend_from_slice(&bytes),
                Err(_) => {
                    answer.ended = false;
                    break;
                }
            }
        }
        answer.body = String::from_utf8(body).unwrap();
        answer
    }

    fn broken() -> Self {
        Self {
            status: None,
            outcome: String::new(),
            reason: String::new(),
            request_id: String::new(),
            body: String::new(),
            ended: false,
        }
    }

    /// True if a caller takes this for a whole answer: a status of success, and
    /// a body that ends as its format wants it.
    pub(crate) fn looks_answered(&self) -> bool {
        let success = self.status.is_some_and(|status| status.is_success());
        let whole_json = serde_json::from_str::<Value>(&self.body).is_ok();
        success && self.ended && (self.body.ends_with(END_MARK) || whole_json)
    }
}

//! Sends a trial request to a daemon's callers' port.

use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

use comfreyway_proto::headers;
use futures_util::StreamExt;
use serde_json::json;

use crate::{CliError, Exit};

use super::client::not_sent;

/// Timeout until the head of the response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Line that ends a complete stream.
const STREAM_END_LINE: &str = "data: [DONE]";

/// Path of model requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// A trial request.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The daemon's callers' port.
    pub to: SocketAddr,
    /// Class of the request; `None` for the route's class.
    pub class: Option<String>,
    /// Workspace of the request.
    pub workspace: String,
    /// Idempotency key, scoped to the workspace.
    pub key: Option<String>,
    /// Path of a plain service; `None` for a model.
    pub path: Option<String>,
    /// The model.
    pub model: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// True for a streamed response.
    pub stream: bool,
}

/// Sends the request and prints the response as it arrives. Prints the outcome
/// to standard error.
///
/// # Errors
///
/// Fails if the daemon can't be reached, or if the connection breaks.
pub async fn send_request(spec: &RequestSpec) -> Result<Exit, CliError> {
    let http = awc::Client::builder().timeout(RESPONSE_HEAD_TIMEOUT).finish();
    let path = spec.path.as_deref().unwrap_or(CHAT_PATH);
    let mut request = http.post(format!("http://{}{path}", spec.to));
    request = request.insert_header((headers::WORKSPACE, spec.workspace.as_str()));
    if let Some(class) = &spec.class {
        request = request.insert_header((headers::CLASS, class.as_str()));
    }
    if let Some(key) = &spec.key {
        request = request.insert_header((headers::IDEMPOTENCY_KEY, key.as_str()));
    }
    let body = json!({
        "model": spec.model,
        "stream": spec.stream,
        "messages": [{ "role": "user", "content": spec.prompt }],
    });
    let mut res = request.send_json(&body).await.map_err(|e| {
        if not_sent(&e) {
            CliError::Unreachable(spec.to, e.to_string())
        } else {
            CliError::RequestUnknown(e.to_string())
        }
    })?;
    let header = |name: &str| {
        let value = res.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header(headers::REQUEST_ID);
    let mut outcome = Outcome::new(&header(headers::OUTCOME), &header(headers::REASON));
    while let Some(chunk) = res.next().await {
        let chunk = chunk.map_err(|e| CliError::RequestUnknown(e.to_string()))?;
        outcome.scan(&chunk);
        let _ = io::stdout().write_all(&chunk);
        let _ = io::stdout().flush();
    }
    outcome.finish();
    eprintln!("\nrequest {id}: {} {}", outcome.name, outcome.reason);
    Ok(outcome.exit())
}

/// Outcome given in the head of the response or, for a stream, in its last
/// event.
struct Outcome {
    name: String,
    reason: String,
    tail: Vec<u8>,
}

impl Outcome {
    fn new(name: &str, reason: &str) -> Self {
        Self { name: name.to_owned(), reason: reason.to_owned(), tail: Vec::new() }
    }

    /// Searches a chunk of a stream for the event with the outcome.
    fn scan(&mut self, chunk: &[u8]) {
        self.tail.extend_from_slice(chunk);
        let text = String::from_utf8_lossy(&self.tail).into_owned();
        let event = format!("event: {}\ndata: ", headers::OUTCOME);
        if let Some((_, data)) = text.rsplit_once(&event)
            && let Some(line) = data.lines().next()
            && let Ok(value) = serde_json::from_str::<serde_json::Value>(line)
        {
            let field = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
            self.name = field("outcome");
            self.reason = field("reason");
        }
        let kept = self.tail.len().min(event.len() + MAX_EVENT_BYTES);
        self.tail.drain(..self.tail.len() - kept);
    }

    /// Sets the outcome of a stream without such an event: answered if the
    /// stream has its end line, otherwise unknown.
    fn finish(&mut self) {
        let ended = String::from_utf8_lossy(&self.tail).contains(STREAM_END_LINE);
        if self.name.is_empty() {
            let name = if ended { "answered" } else { "unknown" };
            name.clone_into(&mut self.name);
        }
    }

    fn exit(&self) -> Exit {
        match self.name.as_str() {
            "answered" => Exit::Done,
            "not-run" => Exit::NotRun,
            _ => Exit::Unknown,
        }
    }
}

/// Largest data of the event with the outcome, in bytes.
const MAX_EVENT_BYTES: usize = 4_096;

//! The request that a load sends again and again.

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::Instant;
use awc::{Client, ClientRequest, http::StatusCode};
use comfreyway_proto::headers;
use futures_util::StreamExt;
use serde_json::json;

/// Request that a load sends again and again.
#[derive(Clone, Debug)]
pub struct RequestTemplate {
    address: SocketAddr,
    path: String,
    class: String,
    workspaces: usize,
    body: Vec<u8>,
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outcome {
    pub(super) complete: bool,
    pub(super) events: u64,
    pub(super) first_byte: Duration,
    pub(super) total: Duration,
}

impl RequestTemplate {
    /// Creates a streaming request to an engine, direct or through a daemon.
    #[must_use]
    pub fn stream(address: SocketAddr, prompt: &str, max_tokens: u32) -> Self {
        let body = json!({
            "model": "dala",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": true,
        });
        let path = "/v1/chat/completions".to_owned();
        let body = body.to_string().into_bytes();
        Self { address, path, class: "summary".to_owned(), workspaces: 1, body }
    }

    /// Creates a small request to a plain service, direct or through a daemon.
    #[must_use]
    pub fn plain(address: SocketAddr, path: &str) -> Self {
        let (path, class) = (path.to_owned(), "lookup".to_owned());
        Self { address, path, class, workspaces: 1, body: Vec::new() }
    }

    /// Spreads the requests over this many workspaces in turn.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: usize) -> Self {
        self.workspaces = workspaces.max(1);
        self
    }

    fn build(&self, client: &Client, number: usize) -> ClientRequest {
        let workspace = format!("workspace-{}", number % self.workspaces);
        client
            .post(format!("http://{}{}", self.address, self.path))
            .insert_header((headers::CLASS, self.class.as_str()))
            .insert_header((headers::WORKSPACE, workspace))
    }

    /// Sends the request and reads the response. Times count from `planned`.
    pub(super) async fn send(&self, client: &Client, number: usize, planned: Instant) -> Outcome {
        let mut outcome = Outcome {
            complete: false,
            events: 0,
            first_byte: Duration::ZERO,
            total: Duration::ZERO,
        };
        let sent = self.build(client, number).send_body(self.body.clone()).await;
        if let Ok(mut res) = sent {
            let streamed = !self.body.is_empty();
            let mut ended = true;
            let mut last_line_end = false;
            while let Some(bytes) = res.next().await {
                let Ok(bytes) = bytes else {
                    ended = false;
                    break;
                };
                if outcome.first_byte.is_zero() {
                    outcome.first_byte = planned.elapsed();
                }
                outcome.events += count_events(&bytes, &mut last_line_end);
            }
            // The end marker counts as the last event of a stream.
            outcome.complete = ended && res.status() == StatusCode::OK;
            outcome.complete &= !streamed || outcome.events > 0;
        }
        outcome.total = planned.elapsed();
        outcome
    }
}

/// Counts events, each of which ends with an empty line.
fn count_events(bytes: &[u8], last_line_end: &mut bool) -> u64 {
    let mut events = 0;
    for &byte in bytes {
        let line_end = byte == b'\n';
        if line_end && *last_line_end {
            events += 1;
            *last_line_end = false;
            continue;
        }
        *last_line_end = line_end;
    }
    events
}

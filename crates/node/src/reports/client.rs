//! HTTP client that polls runners.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, http::StatusCode};
use comfreyway_core::pool::{CacheEvent, LoadReport};
use comfreyway_proto::headers;
use serde::de::DeserializeOwned;

use super::response::{CacheCursor, CacheEventsResponse, LoadResponse};

/// Timeout for one call to a runner.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest accepted response body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Result of one poll of a runner.
#[derive(Clone, Debug, Default)]
pub(super) struct PollResult {
    /// Its load, if it reports one.
    pub(super) load: Option<LoadReport>,
    /// New events of its prefix cache.
    pub(super) cache: Vec<CacheEvent>,
    /// True if it says that it is leaving; none if it did not respond.
    pub(super) leaving: Option<bool>,
}

/// Polls runners for their reports.
#[derive(Clone)]
pub(super) struct ReportsClient {
    client: Client,
}

struct RunnerResponse<T> {
    leaving: bool,
    body: Option<T>,
}

impl ReportsClient {
    pub(super) fn new() -> Self {
        Self { client: Client::builder().timeout(CALL_TIMEOUT).finish() }
    }

    /// Polls a runner for its load and, for an engine, its cache events.
    pub(super) async fn poll(
        &self,
        address: SocketAddr,
        engine: bool,
        mut cursor: CacheCursor,
    ) -> (PollResult, CacheCursor) {
        let mut result = PollResult::default();
        if let Some(load) = self.get::<LoadResponse>(format!("http://{address}/v1/load")).await {
            result.leaving = Some(load.leaving);
            result.load = load.body.map(LoadReport::from);
        }
        if engine {
            let url = format!("http://{address}/v1/cache-events?after={}", cursor.last);
            let cache =
                self.get::<CacheEventsResponse>(url).await.and_then(|response| response.body);
            result.cache = cache.map(|response| cursor.advance(response)).unwrap_or_default();
        }
        (result, cursor)
    }

    async fn get<T>(&self, url: String) -> Option<RunnerResponse<T>>
    where
        T: DeserializeOwned,
    {
        let mut res = self.client.get(url).send().await.ok()?;
        let leaving = res.headers().get(headers::LEAVING).is_some_and(|value| value == "true");
        if res.status() != StatusCode::OK {
            return Some(RunnerResponse { leaving, body: None });
        }
        let body = res.body().limit(MAX_BODY_BYTES).await.ok()?;
        Some(RunnerResponse { leaving, body: serde_json::from_slice(&body).ok() })
    }
}

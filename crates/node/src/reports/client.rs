//! HTTP client that polls runners.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, http::StatusCode};
use comfreyway_core::pool::{CacheEvent, LoadReport};
use comfreyway_proto::headers;
use serde::de::DeserializeOwned;

use super::answer::{CacheAnswer, CacheCursor, LoadAnswer};

/// Timeout for one call to a runner.
const TIME_LIMIT: Duration = Duration::from_millis(1_000);

/// Largest accepted response body, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Result of one poll of a runner.
#[derive(Clone, Debug, Default)]
pub(super) struct RunnerReport {
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

struct Answer<T> {
    leaving: bool,
    body: Option<T>,
}

impl ReportsClient {
    pub(super) fn new() -> Self {
        Self { client: Client::builder().timeout(TIME_LIMIT).finish() }
    }

    /// Polls a runner for its load and, for an engine, its cache events.
    pub(super) async fn ask(
        &self,
        address: SocketAddr,
        engine: bool,
        mut cursor: CacheCursor,
    ) -> (RunnerReport, CacheCursor) {
        let mut report = RunnerReport::default();
        if let Some(load) = self.get::<LoadAnswer>(format!("http://{address}/v1/load")).await {
            report.leaving = Some(load.leaving);
            report.load = load.body.map(LoadReport::from);
        }
        if engine {
            let url = format!("http://{address}/v1/cache-events?after={}", cursor.last);
            let cache = self.get::<CacheAnswer>(url).await.and_then(|answer| answer.body);
            report.cache = cache.map(|answer| cursor.read(answer)).unwrap_or_default();
        }
        (report, cursor)
    }

    async fn get<T>(&self, url: String) -> Option<Answer<T>>
    where
        T: DeserializeOwned,
    {
        let mut res = self.client.get(url).send().await.ok()?;
        let leaving = res.headers().get(headers::LEAVING).is_some_and(|value| value == "true");
        if res.status() != StatusCode::OK {
            return Some(Answer { leaving, body: None });
        }
        let body = res.body().limit(MAX_REPORT_BYTES).await.ok()?;
        Some(Answer { leaving, body: serde_json::from_slice(&body).ok() })
    }
}

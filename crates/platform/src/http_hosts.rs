//! The host list over HTTP.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, http::StatusCode};
use futures_util::future::{FutureExt, LocalBoxFuture};
use serde::{Deserialize, Serialize};

use crate::{HostList, ListedHost, PlatformError, http};

/// Body of `GET /v1/hosts`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostsDocument {
    /// The listed hosts and runners.
    pub hosts: Vec<ListedHost>,
}

/// Reads the list with `GET /v1/hosts`.
#[derive(Clone)]
pub struct HttpHostList {
    client: Client,
    endpoints: Vec<SocketAddr>,
    time_limit: Duration,
}

impl HttpHostList {
    /// A client that asks these addresses in turn, within `time_limit` each.
    #[must_use]
    pub fn new(endpoints: Vec<SocketAddr>, time_limit: Duration) -> Self {
        Self { client: http::client(time_limit), endpoints, time_limit }
    }

    async fn read(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let mut last = PlatformError::NotDone("no address of the host list is set".to_owned());
        for &endpoint in &self.endpoints {
            match tokio::time::timeout(self.time_limit, self.read_from(endpoint)).await {
                Ok(Ok(hosts)) => return Ok(hosts),
                Ok(Err(e)) => last = e,
                Err(_) => last = PlatformError::NotDone(format!("{endpoint}: no reply in time")),
            }
        }
        Err(last)
    }

    async fn read_from(&self, endpoint: SocketAddr) -> Result<Vec<ListedHost>, PlatformError> {
        let req = self.client.get(format!("http://{endpoint}/v1/hosts"));
        let mut res = req.send().await.map_err(|e| http::send_error(&e))?;
        if res.status() != StatusCode::OK {
            return Err(PlatformError::NotDone(format!("{endpoint}: status {}", res.status())));
        }
        let body = http::read_body(&mut res).await?;
        let document: HostsDocument =
            serde_json::from_slice(&body).map_err(|e| PlatformError::Malformed(e.to_string()))?;
        Ok(document.hosts)
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> LocalBoxFuture<'_, Result<Vec<ListedHost>, PlatformError>> {
        self.read().boxed_local()
    }
}

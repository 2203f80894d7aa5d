//! One call to the gateway, over several endpoints.

use std::{cell::Cell, net::SocketAddr};

use awc::{Client, http::StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{PlatformError, http};

use super::{EtcdConfig, wire::ErrorBody};

/// Codes of gRPC that the gateway reports.
mod code {
    pub(super) const INVALID_ARGUMENT: i32 = 3;
    pub(super) const NOT_FOUND: i32 = 5;
    pub(super) const PERMISSION_DENIED: i32 = 7;
    pub(super) const RESOURCE_EXHAUSTED: i32 = 8;
    pub(super) const FAILED_PRECONDITION: i32 = 9;
    pub(super) const UNIMPLEMENTED: i32 = 12;
    pub(super) const UNAUTHENTICATED: i32 = 16;
}

/// What a repeated call would do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Repeat {
    /// The same as one call; any failure moves on to the next endpoint.
    Harmless,
    /// A second effect; only a call that had none moves on.
    Harmful,
}

/// Sends calls to the endpoint that answered last, then to the others.
pub(super) struct Caller {
    pub(super) client: Client,
    pub(super) config: EtcdConfig,
    preferred: Cell<usize>,
}

impl Caller {
    pub(super) fn new(config: EtcdConfig) -> Self {
        Self { client: http::client(config.time_limit), config, preferred: Cell::new(0) }
    }

    /// The endpoint that answered last.
    pub(super) fn endpoint(&self) -> Result<SocketAddr, PlatformError> {
        let endpoints = &self.config.endpoints;
        let unset = || PlatformError::NotDone("no address of the service is set".to_owned());
        endpoints.get(self.preferred.get()).copied().ok_or_else(unset)
    }

    /// Makes the next endpoint the preferred one.
    pub(super) fn advance(&self) {
        let count = self.config.endpoints.len().max(1);
        self.preferred.set((self.preferred.get() + 1) % count);
    }

    /// Sends a call. The time limit holds for each endpoint that is tried.
    pub(super) async fn call<Q, R>(
        &self,
        path: &str,
        message: &Q,
        repeat: Repeat,
    ) -> Result<R, PlatformError>
    where
        Q: Serialize,
        R: DeserializeOwned,
    {
        let body =
            serde_json::to_vec(message).map_err(|e| PlatformError::NotDone(e.to_string()))?;
        let mut attempts = self.config.endpoints.len();
        loop {
            let result = self.call_once(path, body.clone()).await;
            attempts = attempts.saturating_sub(1);
            let e = match result {
                Ok(body) => return parse(&body),
                Err(e) => e,
            };
            if matches!(e, PlatformError::LeaseLapsed) {
                return Err(e);
            }
            self.advance();
            let safe = repeat == Repeat::Harmless || matches!(e, PlatformError::NotDone(_));
            if attempts == 0 || !safe {
                return Err(e);
            }
        }
    }

    async fn call_once(&self, path: &str, body: Vec<u8>) -> Result<Vec<u8>, PlatformError> {
        let endpoint = self.endpoint()?;
        let limit = self.config.time_limit;
        match tokio::time::timeout(limit, self.exchange(endpoint, path, body)).await {
            Ok(result) => result,
            Err(_) => {
                let cause = format!("{endpoint}{path}: no reply within {} ms", limit.as_millis());
                Err(PlatformError::Uncertain(cause))
            }
        }
    }

    async fn exchange(
        &self,
        endpoint: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, PlatformError> {
        let req = self.client.post(format!("http://{endpoint}{path}"));
        let mut res = req
            .content_type("application/json")
            .send_body(body)
            .await
            .map_err(|e| http::send_error(&e))?;
        let status = res.status();
        let body = http::read_body(&mut res).await?;
        if status == StatusCode::OK { Ok(body) } else { Err(refusal(status, &body)) }
    }
}

fn parse<R>(body: &[u8]) -> Result<R, PlatformError>
where
    R: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed(e.to_string()))
}

/// Sorts an answered error by whether the call can have had its effect.
pub(super) fn refusal(status: StatusCode, body: &[u8]) -> PlatformError {
    let error: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
    let cause = format!("status {}: {}", status.as_u16(), error.error);
    match error.code {
        code::NOT_FOUND if error.error.contains("lease") => PlatformError::LeaseLapsed,
        code::INVALID_ARGUMENT
        | code::NOT_FOUND
        | code::PERMISSION_DENIED
        | code::RESOURCE_EXHAUSTED
        | code::FAILED_PRECONDITION
        | code::UNIMPLEMENTED
        | code::UNAUTHENTICATED => PlatformError::NotDone(cause),
        _ if status == StatusCode::TOO_MANY_REQUESTS => PlatformError::NotDone(cause),
        _ => PlatformError::Uncertain(cause),
    }
}
